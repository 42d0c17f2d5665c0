package ingress

import (
	"context"
	"errors"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/upstream"
)

// place is room on a decode runner.
type reservation struct {
	runner *runners.State
	hold   string
}

// reserve waits for room on a decode runner and has it reserved there.
func (s *generation) reserve() (*reservation, error) {
	began := time.Now()
	latest, unanswered := s.roomDeadline(), 0
	w := s.pool.Join(s.job, s.rank)
	for id := range s.failedDecode {
		w.Avoid(id)
	}
	if s.cacheHolder != nil {
		w.Prefer(s.cacheHolder.ID)
	}
	if s.rank == enginepool.Returning {
		w.LateFrom(s.arrived.Add(s.route.Latency - serveReserve))
	}
	s.logPassedOver(runners.Decode)
	for {
		if err := s.unavailable(latest); err != nil {
			return nil, firstError(s.endReason(), err)
		}
		runner, err := s.waitForRoom(w, latest)
		if err != nil {
			return nil, firstError(s.endReason(), err)
		}
		// A hold that was asked for in time is waited for beyond it: one that is
		// cut off says nothing about the runner.
		hold, err := s.hold(runner)
		if err == nil {
			s.g.metrics.wait.UpdateDuration(began)
			s.fields = append(s.fields, decisionlog.F("decode", runner.ID), decisionlog.F("room_after", time.Since(s.arrived)))
			return &reservation{runner, hold}, nil
		}
		s.pool.Refused(runner.ID, s.job.ID, time.Now())
		s.logStep("hold_refused", decisionlog.F("runner", runner.ID), decisionlog.F("error", err))
		s.recordFailure(runner, err)
		if noResponse(err) && unanswered < maxUnansweredHolds {
			unanswered++
			if next := time.Now().Add(extraRoomWait); next.After(latest) {
				latest = next
			}
		}
		if s.ctx.Err() != nil || !time.Now().Before(latest) {
			return nil, firstError(s.endReason(), &enginepool.ErrNoRoom{ID: s.job.ID, Waited: time.Since(began)})
		}
	}
}

// unavailable returns *runners.ErrUnavailable if all decode runners leave or pause for longer than the
// request may wait. What has begun waits for a runner that may start.
func (s *generation) unavailable(latest time.Time) error {
	now := time.Now()
	err := s.g.Directory.Unavailable(s.service, runners.Decode, s.job.Allows, now)
	after := roomAfter(err)
	if err == nil || after > 0 && now.Add(after).Before(latest) || after == 0 && s.rank == enginepool.Begun {
		return nil
	}
	return err
}

// waitForRoom waits for room on a decode runner until a time.
func (s *generation) waitForRoom(w *enginepool.Waiter, latest time.Time) (*runners.State, error) {
	ctx, cancel := context.WithDeadline(s.ctx, latest)
	defer cancel()
	return s.pool.Wait(ctx, w)
}

const (
	// maxUnansweredHolds is how many reservations may go unanswered without an end to the wait:
	// connections to several runners may have fallen silent while there is room.
	maxUnansweredHolds = 2
	// extraRoomWait is how long room elsewhere is waited for after that.
	extraRoomWait = 50 * time.Millisecond
)

// noResponse reports whether a call had no answer, which says nothing about room.
func noResponse(err error) bool {
	var exchange *upstream.ErrExchange
	return errors.As(err, &exchange)
}

// recordFailure records a call that a runner failed.
func (s *generation) recordFailure(runner *runners.State, err error) {
	if s.ctx.Err() != nil {
		return
	}
	var dial *upstream.ErrDial
	var declined *ErrDeclined
	switch {
	case notAdmitted(err):
	case errors.As(err, &dial):
		runner.Unreachable(time.Now())
	case errors.As(err, &declined):
		if declined.Elsewhere {
			runner.MarkUnusable(time.Now())
		}
	default:
		runner.Failed(time.Now())
	}
}

// latest returns until when the request may wait for room.
func (s *generation) roomDeadline() time.Time {
	switch s.rank {
	case enginepool.Fresh:
		return s.arrived.Add(time.Duration(newRequestWaitShare * float64(s.route.Latency)))
	default:
		patience := max(minClientTimeout, latencyFactor*s.route.Latency, gapFactor*s.route.Gap)
		return s.arrived.Add(patience - serveReserve)
	}
}

func (s *generation) hold(runner *runners.State) (string, error) {
	ctx, cancel := context.WithTimeout(s.ctx, holdTimeout)
	defer cancel()
	runner.Called(s.job.ID, time.Now())
	return s.g.options.Engines.Hold(ctx, runner, s.missingTokens(runner)+holdOutputTokens, s.holdTTL())
}

// holdFor returns how long a reservation lasts: it is used before the first event is
// due, or that is late anyway. One whose answer was lost can't be given back, and
// keeps the memory for that long.
func (s *generation) holdTTL() time.Duration {
	if s.route.Latency > 0 {
		return min(s.engine.HoldFor, s.route.Latency)
	}
	return s.engine.HoldFor
}

// missing returns how many tokens of the prompt a runner does not have in its KV cache.
func (s *generation) missingTokens(runner *runners.State) int {
	if s.cacheHolder != nil && s.cacheHolder.ID == runner.ID {
		return max(0, s.job.Prompt-s.cachedTokens)
	}
	return s.job.Prompt
}

// drop gives a reservation back, after the request's end too.
func (s *generation) dropHold(p *reservation) {
	p.runner.Called("", time.Now())
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), releaseTimeout)
		defer cancel()
		_ = s.g.options.Engines.Drop(ctx, p.runner, p.hold)
	}()
}
