package runners

import (
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/coldstart"
)

const (
	// coldAfterRestore is how long the runners of a failure domain count as cold after the domain
	// was restored from an evacuation, whatever their entries report. They may have become cold
	// shortly before the restoration. An entry that reports this arrives within two heartbeats of
	// 1.2 s, plus one second if other gateways relay it.
	coldAfterRestore = 4 * time.Second
	// unsentClaimTTL bounds how long a claim at a cold runner is kept for a request that was not
	// sent. Reserving room and prefilling the prompt take less time.
	unsentClaimTTL = 5 * time.Second
	// coldShareTTL is how long this gateway's share of a cold runner is used before it is computed
	// again, because gateways join and leave.
	coldShareTTL = 200 * time.Millisecond
)

// coldState is the cold-start state of a runner; the zero value is that of a warm runner.
type coldState struct {
	// entryUntil is when the runner will be warm according to its entry, responseUntil according to
	// its responses. They are kept apart so that an entry that is older than a response does not
	// shorten the time that the response reported.
	entryUntil, responseUntil time.Time
	// share is the number of requests that this gateway may send to the runner in any
	// coldstart.Window, as computed at sharedAt. It applies only if bounded is set.
	share    int
	bounded  bool
	sharedAt time.Time
	claims   []claim
}

// claim is a slot that a request takes at a cold runner. at is when it was claimed or, once sent is
// set, when the request was sent.
type claim struct {
	request string
	at      time.Time
	sent    bool
}

// expired reports whether a claim no longer counts against the share.
func (c claim) expired(now time.Time) bool {
	if c.sent {
		return now.Sub(c.at) >= coldstart.Window
	}
	return now.Sub(c.at) >= unsentClaimTTL
}

// Cold reports whether the runner counts as cold: it started recently and has not reached its full
// capacity, or its failure domain was restored less than coldAfterRestore ago.
func (s *State) Cold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isCold(now)
}

func (s *State) isCold(now time.Time) bool {
	if now.Before(s.cold.entryUntil) || now.Before(s.cold.responseUntil) {
		return true
	}
	restored := s.evacuated.restoredAt(s.Domain)
	return !restored.IsZero() && now.Sub(restored) < coldAfterRestore
}

// lockWithShare takes the lock, with this gateway's share of a cold runner up to date. ColdShare is
// called without the lock, see docs/design/lock-order.md.
func (s *State) lockWithShare(now time.Time) {
	s.mu.Lock()
	if s.coldShare == nil || !s.isCold(now) || now.Sub(s.cold.sharedAt) < coldShareTTL {
		return
	}
	s.mu.Unlock()
	share, bounded := s.coldShare(s.Runner)
	s.mu.Lock()
	s.cold.share, s.cold.bounded, s.cold.sharedAt = share, bounded, now
}

// coldRoom reports whether the runner is warm or has a free slot for a request of this gateway. It
// removes expired claims. The caller has called lockWithShare.
func (s *State) coldRoom(now time.Time) bool {
	if !s.isCold(now) {
		return true
	}
	c := &s.cold
	c.claims = slices.DeleteFunc(c.claims, func(k claim) bool { return k.expired(now) })
	return !c.bounded || len(c.claims) < c.share
}

// claimCold claims a slot at the runner for a request until the request is sent, and reports
// whether a slot was free. The slots of a warm runner are not limited.
func (s *State) claimCold(request string, now time.Time) bool {
	s.lockWithShare(now)
	defer s.mu.Unlock()
	if !s.coldRoom(now) {
		return false
	}
	if s.isCold(now) {
		s.cold.claims = append(s.cold.claims, claim{request: request, at: now})
	}
	return true
}

// sentCold records that a request is sent to the runner now. At a cold runner it marks the claim of
// the request as sent, or adds a sent claim if there is none.
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

// releaseCold releases the slot of a request that was not sent.
func (s *State) releaseCold(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.claims = slices.DeleteFunc(s.cold.claims, func(k claim) bool { return k.request == request && !k.sent })
}

// extendCold records for how much longer the runner is cold according to a response. It never
// shortens a time reported by another response.
func (s *State) extendCold(left time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := now.Add(left); until.After(s.cold.responseUntil) {
		s.cold.responseUntil = until
	}
}

// setEntryCold records for how much longer the runner is cold according to its entry.
func (s *State) setEntryCold(left time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.entryUntil = time.Time{}
	if left > 0 {
		s.cold.entryUntil = now.Add(left)
	}
}
