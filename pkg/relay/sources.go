package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sources are the relays that a gateway is subscribed to.
type Sources struct {
	self string
	pace Pace
	// started is when Choose was first called.
	started time.Time
	relays  map[string]*source
	// excluded holds, by relay, until when it must not be chosen.
	excluded map[string]time.Time
	// freshAt is the time up to which all changes of the store were received from relays.
	freshAt time.Time
}

type source struct {
	// chosenAt is when the relay was chosen, subscribedAt when the last subscription was sent to it,
	// updatedAt when its last update arrived.
	chosenAt, subscribedAt, updatedAt time.Time
	// freshAt is the time up to which the relay had all changes of the store.
	freshAt time.Time
	// resubscribe is set when the relay should be asked again for changes that were lost.
	resubscribe bool
}

// NewSources returns the sources of a gateway, without relays.
func NewSources(self string, p Pace) *Sources {
	return &Sources{self: self, pace: p, relays: map[string]*source{}, excluded: map[string]time.Time{}}
}

// Choose chooses relays among the alive gateways and drops those that fell silent. All gateways
// that see the same ones alive, and exclude none, choose among the same few.
func (s *Sources) Choose(alive []string, now time.Time) {
	if s.started.IsZero() {
		s.started = now
	}
	if now.Sub(s.started) < startupWait {
		return
	}
	s.excludeSilent(now)
	candidates := s.candidates(alive, now)
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(pairHash(s.self, a), pairHash(s.self, b)) })
	chosen := candidates[:min(relaysPerGateway, len(candidates))]
	for name := range s.relays {
		if !slices.Contains(chosen, name) {
			delete(s.relays, name)
		}
	}
	for _, name := range chosen {
		if s.relays[name] == nil {
			s.relays[name] = &source{chosenAt: now}
		}
	}
}

// Any reports whether any relay is chosen.
func (s *Sources) Any() bool { return len(s.relays) > 0 }

// excludeSilent excludes the relays that sent no update within the silence timeout, and removes
// expired exclusions.
func (s *Sources) excludeSilent(now time.Time) {
	for name, r := range s.relays {
		if now.Sub(later(r.chosenAt, r.updatedAt)) > s.pace.silenceTimeout() {
			s.excluded[name] = now.Add(exclusionTime)
		}
	}
	for name, until := range s.excluded {
		if now.After(until) {
			delete(s.excluded, name)
		}
	}
}

// candidates returns the first alive gateways that are not excluded. It leaves out this gateway:
// relays choose each other.
func (s *Sources) candidates(alive []string, now time.Time) []string {
	ordered := slices.DeleteFunc(slices.Clone(alive), func(name string) bool { return now.Before(s.excluded[name]) })
	slices.SortFunc(ordered, compareGateways)
	first := ordered[:min(s.pace.Relays(len(alive)), len(ordered))]
	return slices.DeleteFunc(first, func(name string) bool { return name == s.self })
}

// AlwaysRelay reports whether a gateway is among the first alive ones, which always watch the store.
func (p Pace) AlwaysRelay(self string, alive []string) bool {
	before := 0
	for _, name := range alive {
		if name != self && compareGateways(name, self) < 0 {
			before++
		}
	}
	return before < p.Relays(len(alive))
}

// compareGateways orders gateways by the hashes of their names. This spreads the first ones over
// the failure domains, assuming that names contain the failure domain.
func compareGateways(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

func pairHash(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }

// Due returns the relays to which a subscription should be sent now.
func (s *Sources) Due(now time.Time) []string {
	var out []string
	for name, r := range s.relays {
		since := now.Sub(r.subscribedAt)
		if since >= s.pace.RenewEvery || r.resubscribe && since >= rerequestAfter {
			r.subscribedAt, r.resubscribe = now, false
			out = append(out, name)
		}
	}
	return out
}

// RecordUpdate records an update of a relay. applied reports whether this gateway now has all changes up
// to its end; if not, the relay is asked again for the lost ones.
func (s *Sources) RecordUpdate(name string, u *Update, applied bool, now time.Time) {
	freshAt := now.Add(-u.Age)
	if applied && !u.Truncated {
		s.freshAt = later(s.freshAt, freshAt)
	}
	if r := s.relays[name]; r != nil {
		r.updatedAt, r.freshAt, r.resubscribe = now, later(r.freshAt, freshAt), !applied
	}
}

// FreshUntil returns the time until which the data from relays can be relied on.
func (s *Sources) FreshUntil() time.Time { return s.freshAt.Add(s.pace.StaleAfter) }

// AnyResponding reports whether any relay sends updates, including one that can't reach the store.
func (s *Sources) AnyResponding(now time.Time) bool {
	for _, r := range s.relays {
		if now.Sub(r.updatedAt) <= s.pace.silenceTimeout() {
			return true
		}
	}
	return false
}

// RecordStoreResponse records that the store responds to this gateway. Relays that can't reach the store
// are excluded and thus replaced.
func (s *Sources) RecordStoreResponse(now time.Time) {
	for name, r := range s.relays {
		if !r.updatedAt.IsZero() && now.Sub(r.freshAt) > 2*s.pace.StaleAfter {
			s.excluded[name] = now.Add(exclusionTime)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
