package runners

import (
	"time"

	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/runnerlimit"
)

// callsPerDecode is the number of calls that a request makes to a decode engine: its reservation
// and the request itself. Runners report their rate limits in HTTP requests. Which calls they count
// is not known, so all calls are counted.
const callsPerDecode = 2

// callsPerRequest returns how many calls a request makes to the runner.
func (r *Runner) callsPerRequest() int {
	if r.Stage == Decode {
		return callsPerDecode
	}
	return 1
}

// Observe records what a response of the runner reports about the runner.
func (s *State) Observe(n notice.Notice, now time.Time) {
	n.Limit.Calls = s.callsPerRequest()
	s.limits.Observe(s.ID, n.Limit, now)
	s.notices.Observe(s.ID, n, now)
	if n.ColdFor > 0 {
		s.extendCold(n.ColdFor, now)
	}
}

// Room reports whether this gateway may send the runner one more request now. A runner that is
// cold, reported a rate limit or is in the slow start after a pause takes fewer requests than
// others.
func (s *State) Room(now time.Time) bool {
	s.lockWithShare(now)
	room := s.coldRoom(now)
	s.mu.Unlock()
	return room && s.limits.Room(s.ID, s.callsPerRequest(), now) && s.notices.Room(s.ID, now)
}

// Limit returns the rate limit that the runner reported, false for none.
func (s *State) Limit(now time.Time) (runnerlimit.Status, bool) { return s.limits.Status(s.ID, now) }

// RoomAfter returns the time until a runner that reported a rate limit, or is in the slow start
// after a pause, takes one more request; 0 is now. The wait for a cold runner is not included.
func (s *State) RoomAfter(now time.Time) time.Duration {
	return max(s.limits.After(s.ID, s.callsPerRequest(), now), s.notices.RoomAfter(s.ID, now))
}

// Claim claims room at the runner for a request until the request is sent, and reports whether
// there was room.
func (s *State) Claim(request string, now time.Time) bool {
	if !s.claimCold(request, now) {
		return false
	}
	if !s.limits.Claim(s.ID, request, s.callsPerRequest(), now) {
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

// CallSent records a call to the runner now that does not send the request itself, such as a
// reservation, with the ID of the request that it belongs to, if any.
func (s *State) CallSent(request string, now time.Time) { s.limits.Sent(s.ID, request, now) }

// Release releases the room that was claimed for a request that is not sent.
func (s *State) Release(request string) {
	s.releaseCold(request)
	s.limits.Release(s.ID, request)
	s.notices.Release(s.ID, request)
}
