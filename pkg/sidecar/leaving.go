package sidecar

import (
	"context"
	"time"

	"github.com/hopwell/hopwell/pkg/trace"
)

const (
	// leavingEvery is how often the sidecar looks whether its instance leaves.
	leavingEvery = 500 * time.Millisecond
	// drainPoll is how often a drain looks whether work is left.
	drainPoll = 20 * time.Millisecond
)

// Leave takes the instance out of service: no new work from now on. A deadline
// other than zero is when the instance ends; what can't finish before moves.
func (s *Sidecar) Leave(deadline time.Time, why string) {
	if !deadline.IsZero() {
		s.deadline.Store(deadline.UnixNano())
	}
	if s.leaving.Swap(true) {
		return
	}
	s.Log.Add(trace.Event{Type: trace.Leaving, Instance: s.Self.Name, Detail: "why=" + why})
	s.log.Info("leaving", "instance", s.Self.Name, "why", why, "deadline", deadline)
}

// watchLeaving notices when the instance list shows the instance as leaving, and
// moves work away when the deadline comes near.
func (s *Sidecar) watchLeaving(ctx context.Context) {
	for ctx.Err() == nil {
		if in, ok := s.Members.Listed(s.Self.Name); ok && in.Leaving && in.Inner == s.Self.Inner {
			s.Leave(in.Deadline, "instance_list")
		}
		s.moveLate()
		select {
		case <-time.After(leavingEvery):
		case <-ctx.Done():
		}
	}
}

// moveMargin is the time that a handover and the import elsewhere may take.
const moveMargin = 3 * time.Second

// moveLate hands over the streams that will not end before the deadline.
func (s *Sidecar) moveLate() {
	ns := s.deadline.Load()
	if ns == 0 || !s.leaving.Load() {
		return
	}
	left := time.Until(time.Unix(0, ns)) - moveMargin
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, a := range s.attempts {
		if s.ledger.Left(key) > left {
			offer(a.handover, struct{}{})
		}
	}
}

// Drain takes the instance out of service and waits until no attempt is open,
// or until the context ends; it reports whether all work ended.
func (s *Sidecar) Drain(ctx context.Context, deadline time.Time) bool {
	s.Leave(deadline, "drain")
	for s.open.Load() > 0 {
		s.moveLate()
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return false
		}
	}
	s.Log.Add(trace.Event{Type: trace.Drained, Instance: s.Self.Name})
	return true
}
