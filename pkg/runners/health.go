package runners

import (
	"math"
	"time"
)

const (
	// newestWeight is the weight of the newest outcome in the moving averages of failures,
	// refusals and latency.
	newestWeight = 0.25
	// ejectThreshold is the failure rate at which a runner is ejected.
	ejectThreshold = 0.6
	// minCoolDown is how long a runner is ejected the first time. The time (cool-down) doubles with
	// each ejection, up to maxCoolDown.
	minCoolDown = 500 * time.Millisecond
	maxCoolDown = 4 * time.Second
	// coolDownResetAfter is how long after the end of the last ejection a success resets the
	// cool-down to minCoolDown, if the failure rate is low. A runner that fails and recovers every
	// few seconds is ejected longer each time, up to maxCoolDown.
	coolDownResetAfter = 10 * time.Second
	// failureDecay is the time in which a failure rate without new outcomes decays to a third
	// (1/e).
	failureDecay = 4 * time.Second
)

// refusalDecay is the time in which a refusal rate without new requests decays to a third (1/e),
// about as long as a full queue takes to drain.
const refusalDecay = time.Second

// health holds the failure rate, refusal rate, ejection and latency of a runner, derived from the
// outcomes of requests. coolDown is the length of its last ejection, 0 if the next one is to be as
// short as the first.
type health struct {
	// refusals is the share of requests that the runner refused without running them, as of
	// refusedAt.
	refusals  float64
	refusedAt time.Time
	// failures is the share of requests that the runner failed, as of failuresAt.
	failures   float64
	failuresAt time.Time
	// losses is the share of requests whose responses were lost, as of lostAt.
	losses       float64
	lostAt       time.Time
	coolDown     time.Duration
	ejectedUntil time.Time
	// latency is the mean response time in seconds; 0 is unknown.
	latency float64
}

// failureRate returns the failure rate at the time now.
func (h *health) failureRate(now time.Time) float64 {
	if h.failuresAt.IsZero() {
		return 0
	}
	return h.failures * math.Exp(-now.Sub(h.failuresAt).Seconds()/failureDecay.Seconds())
}

// refusalRate returns the refusal rate at the time now.
func (h *health) refusalRate(now time.Time) float64 {
	if h.refusedAt.IsZero() {
		return 0
	}
	return h.refusals * math.Exp(-now.Sub(h.refusedAt).Seconds()/refusalDecay.Seconds())
}

// Declined records a refusal: the runner did not run a request, for example because it is full.
// MarkUnusable records a refusal of a call that was meant for a different runner or stage.
func (s *State) Declined(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.health
	h.refusals = h.refusalRate(now) + (1-h.refusalRate(now))*newestWeight
	h.refusedAt = now
}

// Refusals returns the share of requests that the runner refused. Recent requests count most, and
// the share decays with time.
func (s *State) Refusals(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.refusalRate(now)
}

// Failed records a request that the runner failed or did not respond to.
func (s *State) Failed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.add(now, true)
	h := &s.health
	h.failures = h.failureRate(now) + (1-h.failureRate(now))*newestWeight
	h.failuresAt = now
	if h.failures < ejectThreshold || now.Before(h.ejectedUntil) {
		return
	}
	h.coolDown = min(max(2*h.coolDown, minCoolDown), maxCoolDown)
	h.ejectedUntil = now.Add(h.coolDown)
}

// Lost records that the response to a request was lost, in addition to Failed. A response with a
// failure status is not lost.
func (s *State) Lost(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.health
	h.losses = h.lossRate(now) + (1-h.lossRate(now))*newestWeight
	h.lostAt = now
}

// Losses returns the share of requests whose responses were lost. Recent requests count most, and the
// share decays with time.
func (s *State) Losses(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.lossRate(now)
}

// lossRate returns the rate of lost responses at the time now.
func (h *health) lossRate(now time.Time) float64 {
	if h.lostAt.IsZero() {
		return 0
	}
	return h.losses * math.Exp(-now.Sub(h.lostAt).Seconds()/failureDecay.Seconds())
}

// Unreachable records that a connection could not be established. The runner is ejected at once.
func (s *State) Unreachable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.add(now, true)
	h := &s.health
	h.failures = max(h.failureRate(now), ejectThreshold)
	h.failuresAt = now
	h.coolDown = min(max(2*h.coolDown, minCoolDown), maxCoolDown)
	h.ejectedUntil = now.Add(h.coolDown)
}

// Completed records a complete response of the runner and how long it took.
func (s *State) Completed(took time.Duration) { s.answered(took, time.Now()) }

func (s *State) answered(took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.health
	s.own.add(now, false)
	h.failures = h.failureRate(now) * (1 - newestWeight)
	h.failuresAt = now
	h.refusals *= 1 - newestWeight
	h.losses *= 1 - newestWeight
	if h.failures < ejectThreshold/2 && now.Sub(h.ejectedUntil) > coolDownResetAfter {
		h.coolDown = 0
	}
	if h.latency == 0 {
		h.latency = took.Seconds()
		return
	}
	h.latency += (took.Seconds() - h.latency) * newestWeight
}

// Ejected reports whether the runner is ejected because of its failures.
func (s *State) Ejected(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.health.ejectedUntil)
}

// Failures returns the share of requests that the runner failed, including those that other
// gateways reported. Recent requests count most, and the share decays with time.
func (s *State) Failures(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.combinedFailureRate(now)
}

// Latency returns the mean response time; 0 is unknown.
func (s *State) Latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.health.latency * float64(time.Second))
}

// Healthy returns the runners that are not ejected. If fewer than half of the list would remain, it
// returns the whole list, because failures of that many runners at once have a cause outside the
// single runner.
func Healthy(list []*State, now time.Time) []*State {
	out := make([]*State, 0, len(list))
	for _, s := range list {
		if !s.Ejected(now) {
			out = append(out, s)
		}
	}
	if 2*len(out) < len(list) {
		return list
	}
	return out
}
