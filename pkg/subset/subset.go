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
	self string
	// gateways are the names of all, with the own one.
	gateways []string

	mu    sync.Mutex
	users map[string][]string
}

// New returns the view of a gateway that knows others.
func New(self string, others []string) *Subset {
	return &Subset{self: self, gateways: append([]string{self}, others...), users: map[string][]string{}}
}

// Gateways returns how many gateways there are.
func (s *Subset) Gateways() int { return len(s.gateways) }

// Uses reports whether this gateway uses an engine.
func (s *Subset) Uses(engine string) bool {
	return len(s.gateways) <= Users || slices.Contains(s.Of(engine), s.self)
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
	list := s.rank(engine)
	s.users[engine] = list
	return list
}

// rank picks an engine's users by rendezvous hashing: when a gateway comes or goes,
// only the engines that it uses change their users, by one each.
func (s *Subset) rank(engine string) []string {
	type ranked struct {
		name string
		hash uint64
	}
	all := make([]ranked, len(s.gateways))
	for i, name := range s.gateways {
		all[i] = ranked{name, xxhash.Sum64String(engine + "/" + name)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name)) })
	out := make([]string, Users)
	for i := range out {
		out[i] = all[i].name
	}
	return out
}
