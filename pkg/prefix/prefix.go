// Package prefix splits prompts into blocks and computes chained hashes that
// identify the prompt's prefixes, like the prefix caches of model engines.
package prefix

import "github.com/cespare/xxhash/v2"

const (
	// BlockBytes is the length of one block of prompt text in bytes.
	BlockBytes = 1024
	// TokenBytes is the assumed length of one token in bytes. Engines count
	// tokens exactly, but hopwell has no tokenizer and estimates them.
	TokenBytes = 4
	// BlockTokens is the length of one block in tokens.
	BlockTokens = BlockBytes / TokenBytes
)

// Tokens estimates the length of a text in tokens.
func Tokens(text string) int {
	return (len(text) + TokenBytes - 1) / TokenBytes
}

// Blocks appends one hash per whole block of text to dst and returns the result.
// The hash of a block covers the block and all preceding ones. The salt
// distinguishes models, versions and adapters.
func Blocks(dst []uint64, salt uint64, text string) []uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(salt)
	for len(text) >= BlockBytes {
		_, _ = d.WriteString(text[:BlockBytes])
		dst = append(dst, d.Sum64())
		text = text[BlockBytes:]
	}
	return dst
}

// Salt hashes the model, version and adapter: only prompts for which all three
// are equal can share a prefix cache.
func Salt(model, version, adapter string) uint64 {
	return xxhash.Sum64String(model + "\x00" + version + "\x00" + adapter)
}
