package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/forecast"
	"github.com/hopwell/hopwell/pkg/runners"
)

// planner returns the planner of a service and creates it if needed.
func (g *Ingress) planner(service string) *forecast.Planner {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.planners[service]
	if p == nil {
		p = forecast.NewPlanner()
		g.planners[service] = p
	}
	return p
}

// forecast returns the forecast of room for the request's service.
func (s *generation) forecast(now time.Time) *forecast.Forecast {
	s.g.mu.Lock()
	gateways := s.g.gateways
	s.g.mu.Unlock()
	return s.planner.Forecast(func() forecast.Observation {
		return observation(s.pool.Backlog(now), s.pool.Running(now), gateways)
	}, now)
}

// observation returns what a forecast is made from. Answers on engines that take no new ones, such as
// those that leave, neither use nor free memory that a request could get.
func observation(b enginepool.Backlog, running []enginepool.Running, gateways int) forecast.Observation {
	o := forecast.Observation{Capacity: b.Capacity, Here: b.Here, Waiting: b.Waiting, Peers: b.Peers, Gateways: gateways}
	for _, r := range running {
		if b.Engines[r.Runner] {
			o.Running = append(o.Running, forecast.Load{Memory: r.Memory, Left: r.Left})
		}
	}
	return o
}

// room returns a decode runner that has room for the request. It waits for one until a time, unless
// the forecast shows that none has room even much later.
func (s *generation) room(latest time.Time) (*runners.State, error) {
	if s.rank == enginepool.Returning {
		return s.waitForSpare(latest)
	}
	w := s.newWaiter()
	if runner := s.roomNow(w); runner != nil {
		return runner, nil
	}
	if s.hopeless(latest, time.Now()) {
		return nil, &enginepool.ErrNoRoom{ID: s.job.ID}
	}
	ctx, cancel := context.WithDeadline(s.ctx, latest)
	defer cancel()
	return s.pool.Wait(ctx, w)
}

// spareInterval is the interval at which a returning request looks for room that no new one needs.
const spareInterval = 50 * time.Millisecond

// waitForSpare waits until a time for room that new requests leave: a returning request is late
// already, while they can still be in time. It looks once even if the time is past.
func (s *generation) waitForSpare(latest time.Time) (*runners.State, error) {
	began := time.Now()
	tick := time.NewTicker(spareInterval)
	defer tick.Stop()
	for now := began; ; {
		if memory := s.job.MeanMemory(); s.planner.TakeSpare(s.forecast(now), memory) {
			if runner := s.roomNow(s.newWaiter()); runner != nil {
				return runner, nil
			}
			s.planner.GiveBack(memory)
		}
		if s.hopeless(latest, now) || !now.Before(latest) {
			return nil, &enginepool.ErrNoRoom{ID: s.job.ID, Waited: time.Since(began)}
		}
		select {
		case <-s.ctx.Done():
			return nil, s.ctx.Err()
		case now = <-tick.C:
		}
	}
}

// newWaiter returns a waiter for the request.
func (s *generation) newWaiter() *enginepool.Waiter {
	w := s.pool.NewWaiter(s.job, s.rank)
	for id := range s.failedDecode {
		w.Avoid(id)
	}
	if s.cacheHolder != nil {
		w.Prefer(s.cacheHolder.ID)
	}
	return w
}

// roomNow returns a runner that has room for the request now, nil if there is none.
func (s *generation) roomNow(w *enginepool.Waiter) *runners.State {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	runner, err := s.pool.Wait(ended, w)
	if err != nil {
		return nil
	}
	return runner
}

// hopeless reports whether a request that may wait until a time is refused at once: room is forecast
// for more than twice that wait, or not at all. A forecast that is a little later than the request
// can wait is no reason, since it is not that exact. Each request is compared with the forecast
// once, and a request that has begun is never refused for it.
func (s *generation) hopeless(latest, now time.Time) bool {
	if s.rank == enginepool.Begun || s.forecastMade {
		return false
	}
	s.forecastMade = true
	f, memory := s.forecast(now), s.job.MeanMemory()
	wait, ok := f.Wait(memory)
	if s.rank == enginepool.Returning {
		wait, ok = f.WaitBehindNew(memory)
	}
	atOnce := !ok || wait > 2*latest.Sub(now)
	if ok {
		s.fields = append(s.fields, decisionlog.F("forecast_wait", wait))
	} else {
		s.fields = append(s.fields, decisionlog.F("forecast_wait", "none"))
	}
	s.g.metrics.forecast(atOnce)
	if atOnce {
		s.fields = append(s.fields, decisionlog.F("refused_at_once", true))
	}
	return atOnce
}

// streamRetryAfter returns the Retry-After of a refused stream: the end of the first pause if all
// runners are paused, otherwise a time at which room is expected, well before the client's
// timeout. The return is counted, so that all gateways expect it.
func (s *generation) streamRetryAfter(last error) time.Duration {
	now := time.Now()
	if after := roomAfter(last); after > 0 {
		after = spread(max(after, shortRetryAfter))
		s.planner.Promises.Add(now.Add(after))
		return after
	}
	longest := min(maxStreamRetryAfter, time.Duration(float64(s.timeLeft())*retryAfterShare))
	r := s.planner.Promise(s.forecast(now), s.job.MeanMemory(), min(minReturnAfter, longest/2), longest, rand.Float64, now)
	s.g.metrics.promised(r.Kept)
	s.fields = append(s.fields, decisionlog.F("kept", r.Kept), decisionlog.F("prompt_id", s.call.PromptID))
	return max(r.After, shortRetryAfter)
}

// minReturnAfter is the shortest Retry-After of a refused stream whose client has time enough. A
// client that comes back sooner takes part in the burst in which it was refused.
const minReturnAfter = 3 * time.Second
