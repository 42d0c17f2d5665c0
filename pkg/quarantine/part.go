package quarantine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxParts limits the prompt parts that are considered per request. Clients choose the parts of their
// prompts and could send thousands.
const MaxParts = 64

// Part identifies a part of a prompt that other prompts may share, by a hash of the ID that clients give
// it.
type Part uint64

// PartOf returns the part with an ID.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// String returns the part in hexadecimal.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// Parts are the parts of one prompt in their order, without the last, which belongs to its request or
// session alone.
type Parts []Part

// String returns the parts separated by commas.
func (p Parts) String() string {
	out := make([]string, 0, len(p))
	for _, part := range p {
		out = append(out, part.String())
	}
	return strings.Join(out, ",")
}
