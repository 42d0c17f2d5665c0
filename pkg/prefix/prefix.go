// Package prefix splits prompts into blocks whose chained hashes name the
// prompt's prefixes, as the prefix caches of model engines do.
package prefix

import "github.com/cespare/xxhash/v2"

const (
	// BlockBytes is the length of one block of prompt text in bytes.
	BlockBytes = 1024
	// TokenBytes is the assumed length of one token in bytes. Engines count
	// tokens exactly; hopwell runs no tokenizer and only estimates.
	TokenBytes = 4
	// BlockTokens is the length of one block in tokens.
	BlockTokens = BlockBytes / TokenBytes
)

// Tokens estimates the length of a text in tokens.
func Tokens(text string) int {
	return (len(text) + TokenBytes - 1) / TokenBytes
}

// Blocks appends to dst one hash for each whole block of text and returns it.
// The hash of a block covers the block and all before it. The salt keeps
// models, versions and adapters apart.
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

// Salt hashes what decides whether two caches may be shared.
func Salt(model, version, adapter string) uint64 {
	return xxhash.Sum64String(model + "\x00" + version + "\x00" + adapter)
}
