package runners

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.25
	// ejectAbove is the failure rate from which a runner is left out.
	ejectAbove = 0.6
	// firstRest is how long a runner is left out the first time; it doubles up
	// to longestRest.
	firstRest   = 500 * time.Millisecond
	longestRest = 4 * time.Second
	// steadyFor is how long a runner must have done well since its last rest for the
	// next to be short again: one that goes down and up every few seconds rests longer
	// each time, up to longestRest.
	steadyFor = 10 * time.Second
	// forgiveIn is the time in which a failure rate without new outcomes falls
	// to a third.
	forgiveIn = 4 * time.Second
)

// refusalsIn is the time in which a refusal rate without new requests falls to a third:
// about as long as a full queue takes to empty.
const refusalsIn = time.Second

// health is a runner's state by the outcomes of requests.
type health struct {
	// refusals is the rate of requests that the runner turned away unrun, as it was at
	// the time refusedAt.
	refusals  float64
	refusedAt time.Time
	// failures is the rate as it was at the time seen.
	failures float64
	seen     time.Time
	rest     time.Duration
	until    time.Time
	// latency is the mean time of an answer, in seconds; 0 is unknown.
	latency float64
}

// rate returns the failure rate as it is now.
func (h *health) rate(now time.Time) float64 {
	if h.seen.IsZero() {
		return 0
	}
	return h.failures * math.Exp(-now.Sub(h.seen).Seconds()/forgiveIn.Seconds())
}

// refusalRate returns the refusal rate as it is now.
func (h *health) refusalRate(now time.Time) float64 {
	if h.refusedAt.IsZero() {
		return 0
	}
	return h.refusals * math.Exp(-now.Sub(h.refusedAt).Seconds()/refusalsIn.Seconds())
}

// Declined records a request that the runner turned away: it is full, or says so.
func (s *State) Declined(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.health
	h.refusals = h.refusalRate(now) + (1-h.refusalRate(now))*failureWeight
	h.refusedAt = now
}

// Refusals returns the share of requests that the runner turned away, the newest
// counting most; it falls with time.
func (s *State) Refusals(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.refusalRate(now)
}

// Failed records a request that the runner failed, or did not answer.
func (s *State) Failed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.count(now, true)
	h := &s.health
	h.failures = h.rate(now) + (1-h.rate(now))*failureWeight
	h.seen = now
	if h.failures < ejectAbove || now.Before(h.until) {
		return
	}
	h.rest = min(max(2*h.rest, firstRest), longestRest)
	h.until = now.Add(h.rest)
}

// Unreachable records that no connection came up: the runner rests at once.
func (s *State) Unreachable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.count(now, true)
	h := &s.health
	h.failures = max(h.rate(now), ejectAbove)
	h.seen = now
	h.rest = min(max(2*h.rest, firstRest), longestRest)
	h.until = now.Add(h.rest)
}

// Answered records a whole answer and how long it took.
func (s *State) Answered(took time.Duration) { s.answered(took, time.Now()) }

func (s *State) answered(took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.health
	s.own.count(now, false)
	h.failures = h.rate(now) * (1 - failureWeight)
	h.seen = now
	h.refusals *= 1 - failureWeight
	if h.failures < ejectAbove/2 && now.Sub(h.until) > steadyFor {
		h.rest = 0
	}
	if h.latency == 0 {
		h.latency = took.Seconds()
		return
	}
	h.latency += (took.Seconds() - h.latency) * failureWeight
}

// Resting reports whether the runner is left out for its failures.
func (s *State) Resting(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.health.until)
}

// Failures returns the share of failed requests, the newest counting most, with
// what other gateways reported; it falls with time.
func (s *State) Failures(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pooled(now)
}

// Latency returns the mean time of an answer; 0 is unknown.
func (s *State) Latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.health.latency * float64(time.Second))
}

// Healthy leaves out the resting runners, unless that leaves fewer than half:
// failures that all have in common are not those of a runner.
func Healthy(list []*State, now time.Time) []*State {
	out := make([]*State, 0, len(list))
	for _, s := range list {
		if !s.Resting(now) {
			out = append(out, s)
		}
	}
	if 2*len(out) < len(list) {
		return list
	}
	return out
}
