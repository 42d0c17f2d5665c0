// Package subset limits how many gateways use an engine, so that the cost of exchanging
// reports between gateways does not grow with their number. Each engine is used by a few
// gateways, which report to each other what they have reserved there. All gateways with
// the same membership list compute the same subsets without communication.
package subset

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// GatewaysPerEngine is how many gateways use one engine. If there are fewer gateways, all use all
// engines. A gateway reports a change to GatewaysPerEngine-1 others, and with E engines and G gateways
// has about E·GatewaysPerEngine/G engines to choose from.
const GatewaysPerEngine = 24

// Subset determines which gateways use which engines, from one gateway's membership list. It
// is safe for concurrent use.
type Subset struct {
	// gateways holds the names of all gateways, this one first; hashes holds the hashes of
	// the names.
	gateways []string
	hashes   []uint64

	mu    sync.Mutex
	users map[string][]string
}

// New returns the Subset of gateway self, whose membership list also contains the others.
func New(self string, others []string) *Subset {
	s := &Subset{gateways: append([]string{self}, others...), users: map[string][]string{}}
	s.hashes = make([]uint64, len(s.gateways))
	for i, name := range s.gateways {
		s.hashes[i] = xxhash.Sum64String(name)
	}
	return s
}

// Gateways returns the number of gateways, including this one.
func (s *Subset) Gateways() int { return len(s.gateways) }

// Uses reports whether this gateway uses an engine. It is called for all engines whenever
// the set of gateways changes, so it counts the gateways that rank before this one without
// sorting them.
func (s *Subset) Uses(engine string) bool {
	if len(s.gateways) <= GatewaysPerEngine {
		return true
	}
	hash := xxhash.Sum64String(engine)
	own := ranked{s.gateways[0], mix(hash ^ s.hashes[0])}
	before := 0
	for i := 1; i < len(s.gateways) && before < GatewaysPerEngine; i++ {
		if compare(ranked{s.gateways[i], mix(hash ^ s.hashes[i])}, own) < 0 {
			before++
		}
	}
	return before < GatewaysPerEngine
}

// GatewaysOf returns the gateways that use an engine.
func (s *Subset) GatewaysOf(engine string) []string {
	if len(s.gateways) <= GatewaysPerEngine {
		return s.gateways
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if list := s.users[engine]; list != nil {
		return list
	}
	list := s.First(engine, GatewaysPerEngine)
	s.users[engine] = list
	return list
}

// GatewaysForKey returns the gateways that rank first for a key, as many as use one engine. The
// result is not cached, since the number of keys is not limited.
func (s *Subset) GatewaysForKey(key string) []string {
	if len(s.gateways) <= GatewaysPerEngine {
		return s.gateways
	}
	return s.First(key, GatewaysPerEngine)
}

// ranked is a gateway with its hash for a key, which determines its rank.
type ranked struct {
	name string
	hash uint64
}

func compare(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
}

// mix spreads the bits of two hashes combined by XOR: the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// First returns the n gateways that rank first for a key by rendezvous hashing, in the order
// of their rank. If there are no more than n, it returns all in the order of the membership
// list. If a gateway is added or removed, the result changes only for the keys for which it
// is among the first n, and by one gateway each.
func (s *Subset) First(key string, n int) []string {
	if len(s.gateways) <= n {
		return s.gateways
	}
	hash := xxhash.Sum64String(key)
	all := make([]ranked, len(s.gateways))
	for i, name := range s.gateways {
		all[i] = ranked{name, mix(hash ^ s.hashes[i])}
	}
	slices.SortFunc(all, compare)
	out := make([]string, n)
	for i := range out {
		out[i] = all[i].name
	}
	return out
}
