package enginepool

import (
	"math"
	"time"
)

// demand learns how an engine's time divides between prefill and decode, from what is
// served: it is a property of the requests, whatever number of engines serves them.
type demand struct {
	// prefill is the time of an engine that prompts take, decode that of an engine's
	// memory that answers take, both weighted; in seconds.
	prefill, decode float64
	// answers is how many answers were seen, weighted; at is when the last one began.
	answers float64
	at      time.Time
}

const (
	// demandFor is the time in which what was seen falls to a third: long beside a
	// burst, short beside a change of the load that lasts.
	demandFor = 30 * time.Second
	// leastAnswers is how many answers must have been seen for a share to count: the
	// mean of so many differs by a fifth from that of all, where lengths spread by 0.7.
	leastAnswers = 12
)

// add records an answer that begins, with the times that its prompt and its stay in
// memory are expected to take of an engine.
func (d *demand) add(prefill, decode float64, now time.Time) {
	keep := 1.0
	if !d.at.IsZero() {
		keep = math.Exp(-max(0, now.Sub(d.at).Seconds()) / demandFor.Seconds())
	}
	d.prefill = d.prefill*keep + prefill
	d.decode = d.decode*keep + decode
	d.answers = d.answers*keep + 1
	d.at = now
}

// share returns the part of the engines' time that prefill takes, false while too
// little was seen.
func (d *demand) share() (float64, bool) {
	if d.answers < leastAnswers || d.prefill+d.decode <= 0 {
		return 0, false
	}
	return d.prefill / (d.prefill + d.decode), true
}

// PrefillShare returns the part of the engines' time that prefill takes, by what this
// gateway has served lately; false while that is too little.
func (p *Pool) PrefillShare() (float64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.share()
}

// learnDemand learns from an answer that begins. One that is over would say more, but
// short answers are over first. The caller holds the lock.
func (p *Pool) learnDemand(j Job, now time.Time) {
	made := j.Length.Expected(0)
	// The answer grows evenly: half of it is there in the mean.
	memory := (float64(j.Prompt) + made/2) / float64(max(1, p.capacity()))
	p.demand.add(float64(j.Prompt)/p.meanPace(), memory*made/p.rate, now)
}

// meanPace returns what a prefill runner reads in a second, by those that were learned.
// The caller holds the lock.
func (p *Pool) meanPace() float64 {
	sum, n := 0.0, 0
	for _, r := range p.readers {
		sum += r.pace
		n++
	}
	if n == 0 {
		return firstPace
	}
	return sum / float64(n)
}
