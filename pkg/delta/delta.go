// Package delta encodes a value as its difference from an earlier one, so that a small change of a
// large document takes few bytes, whatever the document's size. It works on any bytes: both values
// are split into content-defined chunks, and chunks that the earlier value also has are encoded as
// references to their offset there.
package delta

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// minChunk and maxChunk bound the length of a chunk, in bytes. boundaryMask sets the average to
	// about 100 bytes, which is about one entry of a list. A delta takes the bytes of the changed
	// chunks, and up to 6 bytes for each run of unchanged ones.
	minChunk     = 32
	maxChunk     = 1024
	boundaryMask = 1<<6 - 1
	// maxOutput limits the value that Apply returns, in bytes, for any delta: the store's values have 1 MB
	// at most.
	maxOutput = 1 << 20
	// checksumBytes is the length of the value's checksum, which ends each delta.
	checksumBytes = 8
)

// ErrDelta reports that a delta is malformed or does not fit the earlier value.
type ErrDelta struct {
	Why string
	// At is the offset in the delta at which the error was found.
	At int
}

// Error implements error.
func (e *ErrDelta) Error() string { return fmt.Sprintf("bad delta: why=%q at=%d", e.Why, e.At) }

// chunkLength returns the length of the first chunk of a value. A rolling hash of the last bytes sets
// the end of a chunk, so that equal bytes are split in the same way at any offset.
func chunkLength(value []byte) int {
	var hash uint32
	for i, b := range value[:min(len(value), maxChunk)] {
		hash = hash<<1 + uint32(b)*2654435761
		if i+1 >= minChunk && hash>>16&boundaryMask == 0 {
			return i + 1
		}
	}
	return min(len(value), maxChunk)
}

// Encode returns the delta that turns the value before into the value after.
func Encode(before, after []byte) []byte {
	offsets := map[uint64]int{}
	for at := 0; at < len(before); {
		n := chunkLength(before[at:])
		offsets[xxhash.Sum64(before[at:at+n])] = at
		at += n
	}
	e := encoder{}
	for at := 0; at < len(after); {
		chunk := after[at : at+chunkLength(after[at:])]
		at += len(chunk)
		if next := e.copyFrom + e.copyLength; e.copyLength > 0 && len(e.literal) == 0 && bytes.HasPrefix(before[next:], chunk) {
			e.copy(next, len(chunk))
			continue
		}
		from, known := offsets[xxhash.Sum64(chunk)]
		if known && bytes.HasPrefix(before[from:], chunk) {
			e.copy(from, len(chunk))
		} else {
			e.literal = append(e.literal, chunk...)
		}
	}
	e.flush()
	return binary.BigEndian.AppendUint64(e.out, xxhash.Sum64(after))
}

// encoder builds a delta, and merges adjacent operations of the same kind. An operation begins with
// the uvarint n*2 or n*2+1. n*2 is followed by n literal bytes. n*2+1 copies n bytes of the earlier
// value and is followed by the uvarint of their offset in that value.
type encoder struct {
	out, literal         []byte
	copyFrom, copyLength int
}

func (e *encoder) copy(from, n int) {
	if len(e.literal) == 0 && e.copyLength > 0 && e.copyFrom+e.copyLength == from {
		e.copyLength += n
		return
	}
	e.flush()
	e.copyFrom, e.copyLength = from, n
}

// flush writes the pending copy and then the pending literal, which follows it in the value.
func (e *encoder) flush() {
	if e.copyLength > 0 {
		e.out = binary.AppendUvarint(e.out, uint64(e.copyLength)<<1|1)
		e.out = binary.AppendUvarint(e.out, uint64(e.copyFrom))
	}
	if len(e.literal) > 0 {
		e.out = binary.AppendUvarint(e.out, uint64(len(e.literal))<<1)
		e.out = append(e.out, e.literal...)
	}
	e.copyLength, e.literal = 0, e.literal[:0]
}

// Apply returns the value that a delta makes from an earlier value. It fails with *ErrDelta if the
// delta is malformed, or if the result differs from the encoded value because before is not the value
// that the delta was encoded for.
func Apply(before, delta []byte) ([]byte, error) {
	if len(delta) < checksumBytes {
		return nil, &ErrDelta{Why: "checksum is missing"}
	}
	rest := delta[:len(delta)-checksumBytes]
	end := len(rest)
	var out []byte
	for len(rest) > 0 {
		at := end - len(rest)
		opHeader, size := binary.Uvarint(rest)
		if size <= 0 || opHeader>>1 > maxOutput || len(out)+int(opHeader>>1) > maxOutput {
			return nil, &ErrDelta{Why: "invalid length", At: at}
		}
		rest = rest[size:]
		n := int(opHeader >> 1)
		source := rest
		if opHeader&1 == 1 {
			offset, size := binary.Uvarint(rest)
			if size <= 0 || offset > uint64(len(before)) {
				return nil, &ErrDelta{Why: "invalid offset", At: at}
			}
			rest, source = rest[size:], before[offset:]
		}
		if n > len(source) {
			return nil, &ErrDelta{Why: "length is beyond the end of the source", At: at}
		}
		out = append(out, source[:n]...)
		if opHeader&1 == 0 {
			rest = rest[n:]
		}
	}
	if xxhash.Sum64(out) != binary.BigEndian.Uint64(delta[end:]) {
		return nil, &ErrDelta{Why: "result does not match the checksum", At: end}
	}
	return out, nil
}
