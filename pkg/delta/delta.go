// Package delta describes a value by how it differs from an earlier one, so that a small change of a
// large document takes few bytes, whatever the document's size. It knows nothing of what the bytes
// mean: both values are cut into pieces where their content says so, and pieces that the earlier one
// has too are named by their place there.
package delta

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastPiece and mostPiece bound the pieces, in bytes; cutMask makes them some 100 bytes on
	// average: about one entry of a list. A change costs the pieces that it touches, and each
	// run of pieces that are the same up to 6 bytes.
	leastPiece = 32
	mostPiece  = 1024
	cutMask    = 1<<6 - 1
	// maxValue bounds what Apply makes, in bytes, whatever a description says.
	maxValue = 8 << 20
	// sumBytes is what the checksum of the value takes at a description's end.
	sumBytes = 8
)

// ErrDelta reports that a description does not fit the earlier value, or can't be read.
type ErrDelta struct {
	Why string
	// At is the place in the description.
	At int
}

// Error implements error.
func (e *ErrDelta) Error() string { return fmt.Sprintf("bad delta: why=%q at=%d", e.Why, e.At) }

// cut returns the length of the first piece of a value. It ends where the sum of its last bytes says
// so, which the same bytes do everywhere.
func cut(value []byte) int {
	var sum uint32
	for i, b := range value[:min(len(value), mostPiece)] {
		sum = sum<<1 + uint32(b)*2654435761
		if i+1 >= leastPiece && sum>>16&cutMask == 0 {
			return i + 1
		}
	}
	return min(len(value), mostPiece)
}

// Encode describes a value by an earlier one.
func Encode(before, after []byte) []byte {
	places := map[uint64]int{}
	for at := 0; at < len(before); {
		n := cut(before[at:])
		places[xxhash.Sum64(before[at:at+n])] = at
		at += n
	}
	e := encoder{}
	for at := 0; at < len(after); {
		piece := after[at : at+cut(after[at:])]
		at += len(piece)
		if next := e.from + e.n; e.n > 0 && len(e.literal) == 0 && bytes.HasPrefix(before[next:], piece) {
			e.copy(next, len(piece))
			continue
		}
		from, known := places[xxhash.Sum64(piece)]
		if known && bytes.HasPrefix(before[from:], piece) {
			e.copy(from, len(piece))
		} else {
			e.literal = append(e.literal, piece...)
		}
	}
	e.flush()
	return binary.BigEndian.AppendUint64(e.out, xxhash.Sum64(after))
}

// encoder joins what follows each other. Each entry of a description is a number: of bytes that
// follow, times two, or of bytes of the earlier value, times two and one, and their place there.
type encoder struct {
	out, literal []byte
	from, n      int
}

func (e *encoder) copy(from, n int) {
	if len(e.literal) == 0 && e.n > 0 && e.from+e.n == from {
		e.n += n
		return
	}
	e.flush()
	e.from, e.n = from, n
}

// flush writes what was joined: a copy goes before the bytes that came after it.
func (e *encoder) flush() {
	if e.n > 0 {
		e.out = binary.AppendUvarint(e.out, uint64(e.n)<<1|1)
		e.out = binary.AppendUvarint(e.out, uint64(e.from))
	}
	if len(e.literal) > 0 {
		e.out = binary.AppendUvarint(e.out, uint64(len(e.literal))<<1)
		e.out = append(e.out, e.literal...)
	}
	e.n, e.literal = 0, e.literal[:0]
}

// Apply makes a value from an earlier one and a description. It fails with *ErrDelta, also where the
// earlier value is not the one that was described.
func Apply(before, description []byte) ([]byte, error) {
	if len(description) < sumBytes {
		return nil, &ErrDelta{Why: "no checksum"}
	}
	rest := description[:len(description)-sumBytes]
	end := len(rest)
	var out []byte
	for len(rest) > 0 {
		at := end - len(rest)
		head, size := binary.Uvarint(rest)
		if size <= 0 || head>>1 > maxValue || len(out)+int(head>>1) > maxValue {
			return nil, &ErrDelta{Why: "bad length", At: at}
		}
		rest = rest[size:]
		n := int(head >> 1)
		from := rest
		if head&1 == 1 {
			place, size := binary.Uvarint(rest)
			if size <= 0 || place > uint64(len(before)) {
				return nil, &ErrDelta{Why: "bad place", At: at}
			}
			rest, from = rest[size:], before[place:]
		}
		if n > len(from) {
			return nil, &ErrDelta{Why: "beyond the end", At: at}
		}
		out = append(out, from[:n]...)
		if head&1 == 0 {
			rest = rest[n:]
		}
	}
	if xxhash.Sum64(out) != binary.BigEndian.Uint64(description[end:]) {
		return nil, &ErrDelta{Why: "made from another value", At: end}
	}
	return out, nil
}
