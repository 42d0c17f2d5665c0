package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/upstream"
)

// reservation is room reserved on a decode runner, confirmed by a hold.
type reservation struct {
	runner *runners.State
	hold   string
	at     time.Time
}

// reserve waits for room on a decode runner and takes a hold there.
func (s *generation) reserve() (*reservation, error) {
	began := time.Now()
	latest, unanswered := s.roomDeadline(), 0
	s.logPassedOver(runners.Decode)
	for {
		if err := s.unavailable(latest); err != nil {
			return nil, firstError(s.endReason(), err)
		}
		runner, err := s.room(latest)
		if err != nil {
			return nil, firstError(s.endReason(), err)
		}
		// A call that began before the deadline may end after it: if it were cut off, that would
		// show nothing about the runner.
		hold, err := s.hold(runner)
		if err == nil {
			s.g.metrics.wait.UpdateDuration(began)
			s.fields = append(s.fields, decisionlog.F("decode", runner.ID), decisionlog.F("room_after", time.Since(s.arrived)))
			return &reservation{runner: runner, hold: hold, at: time.Now()}, nil
		}
		s.pool.Refused(runner.ID, s.job.ID, noRoom(err), time.Now())
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

// unavailable returns *runners.ErrUnavailable if all decode runners are leaving, or paused for
// longer than the request may wait. A request that has begun keeps waiting, since a new runner may
// start.
func (s *generation) unavailable(latest time.Time) error {
	now := time.Now()
	err := s.g.Directory.Unavailable(s.service, runners.Decode, s.job.Accepts, now)
	after := roomAfter(err)
	if err == nil || after > 0 && now.Add(after).Before(latest) || after == 0 && s.rank == enginepool.Begun {
		return nil
	}
	return err
}

const (
	// maxUnansweredHolds is the number of holds without a response that don't end the wait.
	// Connections to several runners may be dead while there is room.
	maxUnansweredHolds = 2
	// extraRoomWait is the time for which another runner is waited for after such a hold.
	extraRoomWait = 50 * time.Millisecond
)

// noResponse reports whether a call got no response, which doesn't show whether the runner has
// room.
func noResponse(err error) bool {
	var exchange *upstream.ErrExchange
	return errors.As(err, &exchange)
}

// noRoom reports whether a runner responded to a hold that it has no room.
func noRoom(err error) bool {
	var declined *ErrDeclined
	return errors.As(err, &declined) && declined.Status == http.StatusServiceUnavailable
}

// recordFailure records a runner's failure of a call.
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
		if declined.WrongRunner {
			runner.MarkUnusable(time.Now())
		}
	default:
		runner.Failed(time.Now())
	}
}

// roomDeadline returns the time until which the request may wait for room.
func (s *generation) roomDeadline() time.Time {
	reserve := s.planner.Serving.Reserve(serveReserve)
	switch s.rank {
	case enginepool.Fresh:
		share := time.Duration(newRequestWaitShare * float64(s.route.LatencyTarget))
		return s.arrived.Add(max(share, s.route.LatencyTarget-reserve))
	default:
		clientTimeout := max(minClientTimeout, latencyFactor*s.route.LatencyTarget, gapFactor*s.route.GapTarget)
		latest := s.arrived.Add(clientTimeout - max(serveReserve, min(reserve, clientTimeout/2)))
		if s.rank == enginepool.Returning {
			return s.boundByAnswer(latest, reserve)
		}
		return latest
	}
}

// boundByAnswer returns the earlier of a time and the latest one at which room leaves time for the
// whole answer before the request's deadline: for its first event, and for its expected length at
// the service's usual speed.
func (s *generation) boundByAnswer(latest time.Time, firstEvent time.Duration) time.Time {
	end, ok := s.ctx.Deadline()
	if !ok {
		return latest
	}
	seconds := s.job.Length.Expected(0) / s.pool.Speed("", time.Now()).Decode
	if last := end.Add(-firstEvent - time.Duration(seconds*float64(time.Second))); last.Before(latest) {
		return last
	}
	return latest
}

func (s *generation) hold(runner *runners.State) (string, error) {
	ctx, cancel := context.WithTimeout(s.ctx, holdTimeout)
	defer cancel()
	runner.CallSent(s.job.ID, time.Now())
	return s.g.options.Runners.Hold(ctx, runner, s.missingTokens(runner)+holdOutputTokens, s.holdTTL())
}

// holdTTL returns how long a hold lasts. A hold is not needed for longer than the latency target: by
// then the decode has begun, or the first event is late anyway. A hold whose response was lost
// can't be released, and occupies memory until it expires.
func (s *generation) holdTTL() time.Duration {
	if s.route.LatencyTarget > 0 {
		return min(s.engine.MaxHold, s.route.LatencyTarget)
	}
	return s.engine.MaxHold
}

// missingTokens returns the number of tokens of the prompt that are not in a runner's KV cache.
func (s *generation) missingTokens(runner *runners.State) int {
	if s.cacheHolder != nil && s.cacheHolder.ID == runner.ID {
		return max(0, s.job.Prompt-s.cachedTokens)
	}
	return s.job.Prompt
}

// dropHold releases a hold. It does not wait for the call, which continues after the request ends.
func (s *generation) dropHold(p *reservation) {
	p.runner.CallSent("", time.Now())
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), releaseTimeout)
		defer cancel()
		_ = s.g.options.Runners.Drop(ctx, p.runner, p.hold)
	}()
}
