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
	// began is when it first looked for relays.
	began  time.Time
	relays map[string]*source
	// suspects are relays that are not chosen until a time.
	suspects map[string]time.Time
	// confirmed is up to when all changes of the store are known from relays.
	confirmed time.Time
}

type source struct {
	// since is when it was chosen, asked when the last subscription was sent, heard
	// when the last update came.
	since, asked, heard time.Time
	// confirmed is up to when it knew the store.
	confirmed time.Time
	// lacking is set when it should be asked for changes that were lost.
	lacking bool
}

// NewSources returns the sources of a gateway, none yet.
func NewSources(self string, p Pace) *Sources {
	return &Sources{self: self, pace: p, relays: map[string]*source{}, suspects: map[string]time.Time{}}
}

// Choose chooses relays among the living gateways, and drops those that were silent. All
// gateways that see the same ones living, and suspect none, choose among the same few.
func (s *Sources) Choose(living []string, now time.Time) {
	if s.began.IsZero() {
		s.began = now
	}
	if now.Sub(s.began) < settleFor {
		return
	}
	s.suspectSilent(now)
	candidates := s.candidates(living, now)
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(pairHash(s.self, a), pairHash(s.self, b)) })
	chosen := candidates[:min(sourcesEach, len(candidates))]
	for name := range s.relays {
		if !slices.Contains(chosen, name) {
			delete(s.relays, name)
		}
	}
	for _, name := range chosen {
		if s.relays[name] == nil {
			s.relays[name] = &source{since: now}
		}
	}
}

// Any reports whether any relay is chosen.
func (s *Sources) Any() bool { return len(s.relays) > 0 }

// suspectSilent leaves relays alone that said nothing for long.
func (s *Sources) suspectSilent(now time.Time) {
	for name, r := range s.relays {
		if now.Sub(later(r.since, r.heard)) > s.pace.silentAfter() {
			s.suspects[name] = now.Add(suspectFor)
		}
	}
	for name, until := range s.suspects {
		if now.After(until) {
			delete(s.suspects, name)
		}
	}
}

// candidates returns the first living gateways that are not suspected. The own one, if it
// is among them, is left out: relays choose each other.
func (s *Sources) candidates(living []string, now time.Time) []string {
	ordered := slices.DeleteFunc(slices.Clone(living), func(name string) bool { return now.Before(s.suspects[name]) })
	slices.SortFunc(ordered, inOrder)
	first := ordered[:min(s.pace.Relays(len(living)), len(ordered))]
	return slices.DeleteFunc(first, func(name string) bool { return name == s.self })
}

// First reports whether a gateway is among the first of the living ones, which watch the
// store in any case.
func (p Pace) First(self string, living []string) bool {
	before := 0
	for _, name := range living {
		if name != self && inOrder(name, self) < 0 {
			before++
		}
	}
	return before < p.Relays(len(living))
}

// inOrder orders gateways in a way that spreads them over the failure domains, whose
// names tell them apart.
func inOrder(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

func pairHash(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }

// Due returns the relays that a subscription should be sent to now.
func (s *Sources) Due(now time.Time) []string {
	var out []string
	for name, r := range s.relays {
		since := now.Sub(r.asked)
		if since >= s.pace.RenewEvery || r.lacking && since >= askAgain {
			r.asked, r.lacking = now, false
			out = append(out, name)
		}
	}
	return out
}

// Heard notes an update of a relay. Applied says that all changes up to its end are known
// now; if not, the relay is asked for what was lost.
func (s *Sources) Heard(name string, u *Update, applied bool, now time.Time) {
	confirmed := now.Add(-u.Age)
	if applied && !u.More {
		s.confirmed = later(s.confirmed, confirmed)
	}
	if r := s.relays[name]; r != nil {
		r.heard, r.confirmed, r.lacking = now, later(r.confirmed, confirmed), !applied
	}
}

// FreshUntil returns until when what relays told can be relied on.
func (s *Sources) FreshUntil() time.Time { return s.confirmed.Add(s.pace.StaleAfter) }

// Answering reports whether a relay answers at all, also one that has lost the store.
func (s *Sources) Answering(now time.Time) bool {
	for _, r := range s.relays {
		if now.Sub(r.heard) <= s.pace.silentAfter() {
			return true
		}
	}
	return false
}

// StoreAnswers notes that the store answered this gateway: relays that have lost it give
// way to others.
func (s *Sources) StoreAnswers(now time.Time) {
	for name, r := range s.relays {
		if !r.heard.IsZero() && now.Sub(r.confirmed) > 2*s.pace.StaleAfter {
			s.suspects[name] = now.Add(suspectFor)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
