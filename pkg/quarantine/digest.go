// Package quarantine finds requests that crash the runners that run them, and keeps them
// from runners: what broke off before its first event or answer at several runners, and
// never ended well, is refused by all gateways. It does no I/O and takes the time as an
// argument.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is how much of a SHA-256 is kept: 128 bits, so that nobody finds a request
// that has another's digest and so gets that one refused.
const digestBytes = 16

// Digest tells what a request asks from what others ask: two tries of a client have the same,
// although each has an ID of its own. Nothing of the request can be read from it.
type Digest [digestBytes]byte

// Asked is what a request asks.
type Asked struct {
	// Workspace is whom the request is for; empty where no key is asked for.
	Workspace string
	// Method, Host and Path are without the query, which clients vary.
	Method, Host, Path string
	Body               []byte
}

// Digest returns the digest of what is asked.
func (a Asked) Digest() Digest {
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

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
