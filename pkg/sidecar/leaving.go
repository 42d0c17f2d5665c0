package sidecar

import (
	"context"
	"time"

	"github.com/hopwell/hopwell/pkg/trace"
)

const (
	// leavingPoll is the interval at which the sidecar checks whether its
	// instance is leaving.
	leavingPoll = 500 * time.Millisecond
	// drainPoll is the interval at which a drain checks for open attempts.
	drainPoll = 20 * time.Millisecond
)

// Leave takes the instance out of service: it accepts no new work from now on.
// deadline is when the instance ends, zero if unknown; streams that can't
// finish before it are handed over.
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

// watchLeaving checks whether the instance list shows the instance as leaving,
// and hands streams over when the deadline comes near.
func (s *Sidecar) watchLeaving(ctx context.Context) {
	for ctx.Err() == nil {
		if in, ok := s.Members.Listed(s.Self.Name); ok && in.Leaving && in.Inner == s.Self.Inner {
			s.Leave(in.Deadline, "instance_list")
		}
		s.handOverUnfinished()
		select {
		case <-time.After(leavingPoll):
		case <-ctx.Done():
		}
	}
}

// handoverMargin is the time reserved before the deadline for a handover and
// the import by another engine.
const handoverMargin = 3 * time.Second

// handOverUnfinished hands over the streams that will not end before the
// deadline.
func (s *Sidecar) handOverUnfinished() {
	ns := s.deadline.Load()
	if ns == 0 || !s.leaving.Load() {
		return
	}
	left := time.Until(time.Unix(0, ns)) - handoverMargin
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, a := range s.attempts {
		if s.ledger.Left(key) > left {
			trySend(a.handover, struct{}{})
		}
	}
}

// Drain takes the instance out of service and waits until no attempt is open or
// the context ends. It reports whether all work ended.
func (s *Sidecar) Drain(ctx context.Context, deadline time.Time) bool {
	s.Leave(deadline, "drain")
	for s.openAttempts.Load() > 0 {
		s.handOverUnfinished()
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return false
		}
	}
	s.Log.Add(trace.Event{Type: trace.Drained, Instance: s.Self.Name})
	return true
}
