// Package quarantine detects requests that crash the runners that serve them. An attempt is one
// execution of a request at a runner; a client's try may make several. An attempt breaks off when
// its connection to the runner breaks before the response is complete and the runner turns out to
// have crashed. All gateways refuse a request after attempts at it broke off at several runners and
// none completed since. Breaks before any part of the response arrived weigh more than later ones.
//
// Requests that differ may share parts of their prompts that crash runners. PartTable finds these from the
// requests that had no response yet at each crash of a runner, as all gateways report them.
//
// The package does no I/O and takes the current time as an argument.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the length of a truncated SHA-256. 128 bits prevent a client from constructing
// a request with the digest of another client's request, which would get that request refused.
const digestBytes = 16

// Digest identifies a request by its content. Two tries of a client, which it makes by sending the
// request again, have the same digest although their request IDs differ. The digest reveals nothing
// of the request.
type Digest [digestBytes]byte

// RequestContent is the content that identifies a request.
type RequestContent struct {
	// Workspace is the workspace that sent the request; empty if no API key is required.
	Workspace string
	// Method, Host and Path exclude the query, because clients vary it between tries.
	Method, Host, Path string
	Body               []byte
}

// Digest returns the digest of the request.
func (a RequestContent) Digest() Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(a.Workspace), []byte(a.Method), []byte(a.Host), []byte(a.Path), a.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// Short returns a part of the digest, which distinguishes the requests that ran at one runner.
func (d Digest) Short() uint64 { return binary.BigEndian.Uint64(d[:]) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
