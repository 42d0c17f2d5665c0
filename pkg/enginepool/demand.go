package enginepool

import (
	"math"
	"time"
)

// demand learns from the requests served how an engine's time divides between prefill and
// decode. The ratio is a property of the requests, whatever number of engines serves them.
// All numbers are exponentially decayed sums.
type demand struct {
	// prompts is the number of prompt tokens. decode is the memory that responses occupy, as a fraction
	// of one engine's memory, times their length in tokens.
	prompts, decode float64
	// responses is the number of responses; at is when the last one began.
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
	// minPrompts is the least decayed number of responses from which the mean length of prompts is
	// known: it differs less between the requests of a service.
	minPrompts = 3
)

// add records a response that begins, with the length of its prompt in tokens and its expected
// occupation of memory, as a fraction of one engine's memory times its length in tokens.
func (d *demand) add(prompt int, decode float64, now time.Time) {
	decay := 1.0
	if !d.at.IsZero() {
		decay = math.Exp(-max(0, now.Sub(d.at).Seconds()) / demandDecayTime.Seconds())
	}
	d.prompts = d.prompts*decay + float64(prompt)
	d.decode = d.decode*decay + decode
	d.responses = d.responses*decay + 1
	d.at = now
}

// share returns the fraction of the engines' time that prefill takes, for engines that prefill and
// decode at given rates in tokens per second; false if fewer than minResponses responses count.
func (d *demand) share(prefillRate, decodeRate float64) (float64, bool) {
	prefill, decode := d.prompts/prefillRate, d.decode/decodeRate
	if d.responses < minResponses || prefill+decode <= 0 {
		return 0, false
	}
	return prefill / (prefill + decode), true
}

// PrefillShare returns the fraction of the engines' time that prefill takes, learned from
// the requests that this gateway served recently; false if they are too few.
func (p *Pool) PrefillShare() (float64, bool) {
	p.mu.Lock()
	defer p.unlock()
	return p.demand.share(p.meanPrefillRate(), p.meanDecodeRate())
}

// PromptTime returns how long an engine of a speed takes for the mean prompt, where the mean speed is 1;
// 0 if too few requests were served recently.
func (p *Pool) PromptTime(speed float64) time.Duration {
	p.mu.Lock()
	defer p.unlock()
	if p.demand.responses < minPrompts || speed <= 0 {
		return 0
	}
	mean := p.demand.prompts / p.demand.responses
	return time.Duration(mean / (speed * p.meanPrefillRate()) * float64(time.Second))
}

// learnDemand records a response that begins. The length of a finished response would be
// exact, but short responses finish first and would bias the mean. The caller holds the lock.
func (p *Pool) learnDemand(j Job, now time.Time) {
	generated := j.Length.Expected(0)
	// The response grows at an even rate, so that on average half of it occupies memory.
	memory := (float64(j.Prompt) + generated/2) / float64(max(1, p.capacity()))
	p.demand.add(j.Prompt, memory*generated, now)
}

// meanPrefillRate returns the mean of the learned rates of the prefill runners, in tokens
// per second, including one runner of the initial rate. It is the rate of their mean time per
// token: a prompt that was found in the KV cache makes a rate far too high, and hardly changes that
// time. The caller holds the lock.
func (p *Pool) meanPrefillRate() float64 {
	perToken, n := 1.0/initialPrefillRate, 1
	for _, r := range p.prefillRunners.values {
		if r.known > 0 {
			perToken += 1 / r.known
			n++
		}
	}
	return float64(n) / perToken
}

// meanDecodeRate returns the rate of the mean time per token on the engines whose speed is known, in tokens
// per second, or the learned mean if there are none. The caller holds the lock.
func (p *Pool) meanDecodeRate() float64 {
	perToken, n := 0.0, 0
	for _, e := range p.engines.values {
		if e.speed.steady > 0 {
			perToken += e.speed.steady
			n++
		}
	}
	if n == 0 {
		return p.rate
	}
	return float64(n) / perToken
}
