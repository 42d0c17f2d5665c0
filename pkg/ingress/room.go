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
		b := s.pool.Backlog(now)
		o := forecast.Observation{Capacity: b.Capacity, Here: b.Here, Waiting: b.Ahead, Late: b.Late, Peers: b.Peers, Gateways: gateways}
		for _, r := range s.pool.Running(now) {
			o.Running = append(o.Running, forecast.Load{Memory: r.Memory, Left: r.Left})
		}
		return o
	}, now)
}

// room returns a decode runner that has room for the request. It waits for one until a time, unless
// the forecast shows that none has room until then. A returning request first waits for room that
// no new one needs: it is late already, while they can still be in time. In the last part of its
// wait it goes ahead of them, as it was promised a place.
func (s *generation) room(latest time.Time) (*runners.State, error) {
	if s.rank != enginepool.Returning {
		return s.wait(s.rank, latest)
	}
	urgent := forecast.Urgent(s.arrived, latest)
	if now := time.Now(); now.Before(urgent) && s.hopeless(now) {
		return nil, &enginepool.ErrNoRoom{ID: s.job.ID}
	}
	tick := time.NewTicker(spareInterval)
	defer tick.Stop()
	for now := time.Now(); now.Before(urgent); {
		if s.forecast(now).Spare(0) >= float64(s.job.MeanMemory()) {
			if runner := s.roomNow(s.newWaiter(enginepool.Late)); runner != nil {
				return runner, nil
			}
		}
		select {
		case <-s.ctx.Done():
			return nil, s.ctx.Err()
		case now = <-tick.C:
		}
	}
	return s.wait(enginepool.Returning, latest)
}

// spareInterval is the interval at which a returning request looks for room that no new one needs.
const spareInterval = 50 * time.Millisecond

// newWaiter returns a waiter for the request with a rank.
func (s *generation) newWaiter(rank enginepool.Rank) *enginepool.Waiter {
	w := s.pool.NewWaiter(s.job, rank)
	for id := range s.failedDecode {
		w.Avoid(id)
	}
	if s.cacheHolder != nil {
		w.Prefer(s.cacheHolder.ID)
	}
	return w
}

// wait waits for room with a rank until a time.
func (s *generation) wait(rank enginepool.Rank, until time.Time) (*runners.State, error) {
	w := s.newWaiter(rank)
	if runner := s.roomNow(w); runner != nil {
		return runner, nil
	}
	if s.hopeless(time.Now()) {
		return nil, &enginepool.ErrNoRoom{ID: s.job.ID}
	}
	ctx, cancel := context.WithDeadline(s.ctx, until)
	defer cancel()
	return s.pool.Wait(ctx, w)
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

// hopeless reports whether the forecast shows that the request gets no room before its deadline, so
// that it is refused at once. This is determined once per request, and a request that has begun is
// never refused for a forecast.
func (s *generation) hopeless(now time.Time) bool {
	if s.rank == enginepool.Begun || s.forecastMade {
		return false
	}
	s.forecastMade = true
	f, memory := s.forecast(now), s.job.MeanMemory()
	wait, ok := f.Wait(memory)
	if s.rank == enginepool.Returning {
		wait, ok = f.WaitBehindAll(memory)
	}
	if ok {
		s.fields = append(s.fields, decisionlog.F("forecast_wait", wait))
	} else {
		s.fields = append(s.fields, decisionlog.F("forecast_wait", "none"))
	}
	latest := s.roomDeadline()
	if s.rank == enginepool.Fresh {
		latest = latest.Add(forecastMargin)
	}
	if ok && !now.Add(wait).After(latest) {
		return false
	}
	s.fields = append(s.fields, decisionlog.F("refused_at_once", true))
	return true
}

// forecastMargin is how much longer than a new request may wait the forecast wait must be for the
// request to be refused at once: room may come sooner than forecast, and a wait in vain is short.
const forecastMargin = time.Second

// streamRetryAfter returns the Retry-After of a refused stream: the end of the first pause if all
// runners are paused, otherwise a time at which room is expected, well before the client's
// timeout. The return is counted, so that all gateways expect it.
func (s *generation) streamRetryAfter(last error) time.Duration {
	now := time.Now()
	if after := roomAfter(last); after > 0 {
		after = max(after, shortRetryAfter)
		s.planner.Promises.Add(now.Add(after))
		return after
	}
	longest := min(maxStreamRetryAfter, time.Duration(float64(s.timeLeft())*retryAfterShare))
	r := s.planner.Promise(s.forecast(now), s.job.MeanMemory(), minReturnAfter, longest, rand.Float64, now)
	s.fields = append(s.fields, decisionlog.F("kept", r.Kept), decisionlog.F("prompt_id", s.call.PromptID))
	return max(r.After, shortRetryAfter)
}

// minReturnAfter is the shortest Retry-After of a refused stream: a client needs some time to
// return, and a place that is free earlier is filled by those who wait.
const minReturnAfter = time.Second
