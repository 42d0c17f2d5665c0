package runners

import (
	"time"

	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/runnerlimit"
)

// callsPerDecode is how many calls a request takes at an engine that decodes: its reservation and
// itself. Runners' limits speak of requests; what else they count as one is not known, so all calls
// count.
const callsPerDecode = 2

// calls returns how many calls a request takes at the runner.
func (r *Runner) calls() int {
	if r.Stage == Decode {
		return callsPerDecode
	}
	return 1
}

// Observe takes what an answer of the runner says of it.
func (s *State) Observe(n notice.Notice, now time.Time) {
	n.Limit.Calls = s.calls()
	s.limits.Observe(s.ID, n.Limit, now)
	s.notices.Observe(s.ID, n, now)
	if n.ColdFor > 0 {
		s.tellCold(n.ColdFor, now)
	}
}

// Room reports whether the runner may get one more request from this gateway now: one that is cold,
// names a limit, or had a pause a moment ago, bears less than others.
func (s *State) Room(now time.Time) bool {
	s.mu.Lock()
	room := s.coldRoom(now)
	s.mu.Unlock()
	return room && s.limits.Room(s.ID, s.calls(), now) && s.notices.Room(s.ID, now)
}

// Limit returns the limit that the runner names, false for none.
func (s *State) Limit(now time.Time) (runnerlimit.Status, bool) { return s.limits.Of(s.ID, now) }

// RoomAfter returns in what time a runner that names a limit, or had a pause a moment ago, will bear one
// more request; 0 for now.
func (s *State) RoomAfter(now time.Time) time.Duration {
	return max(s.limits.After(s.ID, s.calls(), now), s.notices.RoomAfter(s.ID, now))
}

// Claim keeps a place for a request at the runner until it is sent there, and reports whether there
// is one.
func (s *State) Claim(request string, now time.Time) bool {
	if !s.claimCold(request, now) {
		return false
	}
	if !s.limits.Claim(s.ID, request, s.calls(), now) {
		s.releaseCold(request)
		return false
	}
	if !s.notices.Claim(s.ID, request, now) {
		s.releaseCold(request)
		s.limits.Release(s.ID, request)
		return false
	}
	return true
}

// Sent records that a request is sent to the runner now.
func (s *State) Sent(request string, now time.Time) {
	s.sentCold(request, now)
	s.limits.Sent(s.ID, request, now)
}

// Called records a call that is made to the runner for a request now, or for none.
func (s *State) Called(request string, now time.Time) { s.limits.Sent(s.ID, request, now) }

// Release gives up the place of a request that is not sent.
func (s *State) Release(request string) {
	s.releaseCold(request)
	s.limits.Release(s.ID, request)
	s.notices.Release(s.ID, request)
}
