// Package subset bounds which gateways use an engine, so that the cost of knowing
// each other does not grow with their number: an engine is used by a few gateways,
// which report to each other what they have reserved there. All gateways that know
// the same members come to the same subsets without asking.
package subset

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Users is how many gateways use one engine. Below it all use all. A gateway reports
// a change to one fewer, and has, of E engines among G gateways, some E·Users/G to
// choose from.
const Users = 24

// Subset is the view of one gateway. It is safe for concurrent use.
type Subset struct {
	// gateways are the names of all, the own one first, and hashes those of the names.
	gateways []string
	hashes   []uint64

	mu    sync.Mutex
	users map[string][]string
}

// New returns the view of a gateway that knows others.
func New(self string, others []string) *Subset {
	s := &Subset{gateways: append([]string{self}, others...), users: map[string][]string{}}
	s.hashes = make([]uint64, len(s.gateways))
	for i, name := range s.gateways {
		s.hashes[i] = xxhash.Sum64String(name)
	}
	return s
}

// Gateways returns how many gateways there are.
func (s *Subset) Gateways() int { return len(s.gateways) }

// Uses reports whether this gateway uses an engine. It is asked for all engines whenever
// a gateway comes or goes, and counts those before this one without ordering them.
func (s *Subset) Uses(engine string) bool {
	if len(s.gateways) <= Users {
		return true
	}
	hash := xxhash.Sum64String(engine)
	own := ranked{s.gateways[0], mix(hash ^ s.hashes[0])}
	before := 0
	for i := 1; i < len(s.gateways) && before < Users; i++ {
		if compare(ranked{s.gateways[i], mix(hash ^ s.hashes[i])}, own) < 0 {
			before++
		}
	}
	return before < Users
}

// Of returns the gateways that use an engine.
func (s *Subset) Of(engine string) []string {
	if len(s.gateways) <= Users {
		return s.gateways
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if list := s.users[engine]; list != nil {
		return list
	}
	list := s.First(engine, Users)
	s.users[engine] = list
	return list
}

// Chosen returns the gateways that a key falls to, as many as use one engine; nothing of it is
// kept, so that keys may be any number.
func (s *Subset) Chosen(key string) []string {
	if len(s.gateways) <= Users {
		return s.gateways
	}
	return s.First(key, Users)
}

// ranked is a gateway's place in the order of an engine's users.
type ranked struct {
	name string
	hash uint64
}

func compare(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
}

// mix spreads the bits of two hashes that were joined: the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// First returns the n gateways that a key falls to first, all if they are fewer, by rendezvous hashing:
// when a gateway comes or goes, only the keys that it had change, by one gateway each.
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
