package enginepool

import (
	"math"
	"time"
)

// demand learns from the requests served how an engine's time divides between prefill and
// decode. The ratio is a property of the requests, whatever number of engines serves them.
type demand struct {
	// prefill is the engine time that prompts take, in seconds. decode is the memory that
	// responses occupy, as a fraction of one engine's memory, times the duration in seconds.
	// Both are exponentially decayed sums.
	prefill, decode float64
	// responses is the decayed number of responses; at is when the last one began.
	responses float64
	at        time.Time
}

const (
	// demandDecayTime is the time in which the weight of a response falls to a third (1/e):
	// long compared with a burst, short compared with a lasting change of the load.
	demandDecayTime = 30 * time.Second
	// minResponses is the least decayed number of responses for which share returns a value:
	// the mean of 12 differs by a fifth from the true mean if the logarithm of the lengths
	// has a standard deviation of 0.7.
	minResponses = 12
)

// add records a response that begins, with the expected engine time of its prompt and the
// expected occupation of memory, both in seconds.
func (d *demand) add(prefill, decode float64, now time.Time) {
	decay := 1.0
	if !d.at.IsZero() {
		decay = math.Exp(-max(0, now.Sub(d.at).Seconds()) / demandDecayTime.Seconds())
	}
	d.prefill = d.prefill*decay + prefill
	d.decode = d.decode*decay + decode
	d.responses = d.responses*decay + 1
	d.at = now
}

// share returns the fraction of the engines' time that prefill takes, false if fewer than
// minResponses responses count.
func (d *demand) share() (float64, bool) {
	if d.responses < minResponses || d.prefill+d.decode <= 0 {
		return 0, false
	}
	return d.prefill / (d.prefill + d.decode), true
}

// PrefillShare returns the fraction of the engines' time that prefill takes, learned from
// the requests that this gateway served recently; false if they are too few.
func (p *Pool) PrefillShare() (float64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.share()
}

// learnDemand records a response that begins. The length of a finished response would be
// exact, but short responses finish first and would bias the mean. The caller holds the lock.
func (p *Pool) learnDemand(j Job, now time.Time) {
	generated := j.Length.Expected(0)
	// The response grows at an even rate, so that on average half of it occupies memory.
	memory := (float64(j.Prompt) + generated/2) / float64(max(1, p.capacity()))
	p.demand.add(float64(j.Prompt)/p.meanPrefillRate(), memory*generated/p.rate, now)
}

// meanPrefillRate returns the mean of the learned rates of the prefill runners, in tokens
// per second. The caller holds the lock.
func (p *Pool) meanPrefillRate() float64 {
	sum, n := 0.0, 0
	for _, r := range p.prefillRunners {
		if r.rate > 0 {
			sum += r.rate
			n++
		}
	}
	if n == 0 {
		return initialPrefillRate
	}
	return sum / float64(n)
}
