package runners

import (
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/coldstart"
)

const (
	// coldAfterRestore is how long the runners of a failure domain count as cold after its
	// evacuation was taken back, whatever their entries say: they may have turned cold shortly
	// before, and an entry that says so comes within two heartbeats of 1.2 s, and a second more
	// by way of other gateways.
	coldAfterRestore = 4 * time.Second
	// unsentFor bounds how long a place at a cold runner is kept for a request that is not sent
	// there: room is reserved, and the prompt read, in less.
	unsentFor = 5 * time.Second
	// coldShareFor is how long this gateway's share of a cold runner is used before it is asked for
	// again: gateways come and go.
	coldShareFor = 200 * time.Millisecond
)

// coldness is what a runner bears while it is cold; the zero value is that of a warm one.
type coldness struct {
	// until is when the runner will be warm by its entry, told when by its answers: an entry that is
	// older than an answer takes nothing back.
	until, told time.Time
	// share is how many requests in any coldstart.Window it may get from this gateway, as it was
	// asked for at the time sharedAt; bounded is false for any number.
	share    int
	bounded  bool
	sharedAt time.Time
	claims   []claim
}

// claim is a request's place at a cold runner.
type claim struct {
	request string
	at      time.Time
	sent    bool
}

// over reports whether a claim counts no more.
func (c claim) over(now time.Time) bool {
	if c.sent {
		return now.Sub(c.at) >= coldstart.Window
	}
	return now.Sub(c.at) >= unsentFor
}

// Cold reports whether the runner has started a short time ago and bears less than it will.
func (s *State) Cold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isCold(now)
}

func (s *State) isCold(now time.Time) bool {
	if now.Before(s.cold.until) || now.Before(s.cold.told) {
		return true
	}
	restored := s.evacuated.restoredAt(s.Domain)
	return !restored.IsZero() && now.Sub(restored) < coldAfterRestore
}

func (s *State) coldRoom(now time.Time) bool {
	if !s.isCold(now) {
		return true
	}
	c := &s.cold
	if s.coldShare != nil && now.Sub(c.sharedAt) >= coldShareFor {
		c.share, c.bounded = s.coldShare(s.Runner)
		c.sharedAt = now
	}
	c.claims = slices.DeleteFunc(c.claims, func(k claim) bool { return k.over(now) })
	return !c.bounded || len(c.claims) < c.share
}

// claimCold keeps a place for a request at the runner until it is sent there, and reports whether
// there is one. A warm runner has places for all.
func (s *State) claimCold(request string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.coldRoom(now) {
		return false
	}
	if s.isCold(now) {
		s.cold.claims = append(s.cold.claims, claim{request: request, at: now})
	}
	return true
}

// sentCold records that a request is sent to the runner now.
func (s *State) sentCold(request string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isCold(now) {
		return
	}
	for i := range s.cold.claims {
		if k := &s.cold.claims[i]; k.request == request && !k.sent {
			k.at, k.sent = now, true
			return
		}
	}
	s.cold.claims = append(s.cold.claims, claim{request: request, at: now, sent: true})
}

// releaseCold gives the place of a request up that is not sent.
func (s *State) releaseCold(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.claims = slices.DeleteFunc(s.cold.claims, func(k claim) bool { return k.request == request && !k.sent })
}

// tellCold records how much longer an answer says that the runner stays cold.
func (s *State) tellCold(left time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := now.Add(left); until.After(s.cold.told) {
		s.cold.told = until
	}
}

// setCold records how much longer the runner's entry says that it stays cold.
func (s *State) setCold(left time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.until = time.Time{}
	if left > 0 {
		s.cold.until = now.Add(left)
	}
}
