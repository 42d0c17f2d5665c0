package enginepool

import (
	"math"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// Speed is how fast an engine works, in tokens a second; 0 is unknown.
type Speed struct{ Decode, Prefill float64 }

// Running is one response in progress: the memory that it holds, in tokens, and the time until it
// is expected to end.
type Running struct {
	Runner string
	Memory int
	Left   time.Duration
}

const (
	// speedWeight is the weight of the newest interval between two events in the learned speed.
	speedWeight = 0.2
	// steadyTime is the measured time after which the long-term speed has followed a change to two
	// thirds, and the time in which an unobserved speed returns to the long-term one as far.
	steadyTime = 10 * time.Second
	// staleSpeed is the age from which a measured speed is replaced by the next interval, instead
	// of averaged with it.
	staleSpeed = 2 * time.Second
	// pauseFactor is how many times the usual interval a pause must last to be no variation of
	// the speed: the response was preempted, or the engine turned slow.
	pauseFactor = 4
	// reportedChange is the factor by which a speed must differ from the reported one to be
	// reported at once.
	reportedChange = 1.5
	// preemptionTime is the time in which a count of preemptions falls to a third (1/e).
	preemptionTime = 10 * time.Second
)

// pace is a learned time per token, in seconds. Zero is unknown. Times per token are averaged, not
// speeds: events that arrive together after a delay then count with their mean.
type pace struct {
	perToken float64
	at       time.Time
}

// learn averages a measured time per token, and replaces a stale one.
func (p *pace) learn(perToken, weight float64, at time.Time) {
	if p.perToken == 0 || at.Sub(p.at) > staleSpeed {
		weight = 1
	}
	p.perToken += (perToken - p.perToken) * weight
	p.at = at
}

// decodeSpeed is the learned decode speed of one response on an engine.
type decodeSpeed struct {
	// own is measured by this gateway, and known also by others that reported it.
	own, known pace
	// steady is the long-term time per token, in seconds; 0 is unknown.
	steady float64
	// paused is set if the last interval was a pause.
	paused bool
	// reported is the own time per token that was last reported.
	reported float64
	// preempted counts this gateway's responses that the engine preempted, peersPreempted those of
	// each other gateway.
	preempted      decayedCount
	peersPreempted map[string]decayedCount
}

// observe learns from the time between two events of a response. The first pause counts as a
// preemption of the response; a second one in a row shows that the engine is slow, and its speed
// is followed at once. It returns true if the speed should be reported now.
func (d *decodeSpeed) observe(tokens int, took time.Duration, now time.Time) bool {
	perToken := took.Seconds() / float64(tokens)
	if d.known.perToken > 0 && perToken > pauseFactor*d.known.perToken {
		if !d.paused {
			d.paused = true
			d.preempted.add(1, now)
			return true
		}
		d.preempted.add(-1, now)
		d.own, d.known = pace{}, pace{}
	}
	d.paused = false
	d.own.learn(perToken, speedWeight, now)
	d.known.learn(perToken, speedWeight, now)
	d.follow(perToken, took)
	changed := d.own.perToken > reportedChange*d.reported || d.own.perToken*reportedChange < d.reported
	if changed {
		d.reported = d.own.perToken
	}
	return changed
}

// receive learns a speed that another gateway measured at a time, unless a newer one is known.
func (d *decodeSpeed) receive(speed float64, at time.Time) {
	if speed <= 0 || !at.After(d.known.at) {
		return
	}
	took := steadyTime
	if !d.known.at.IsZero() {
		took = at.Sub(d.known.at)
	}
	d.known.learn(1/speed, 1, at)
	d.follow(1/speed, took)
}

// follow moves the long-term speed towards one that was measured for a time.
func (d *decodeSpeed) follow(perToken float64, took time.Duration) {
	if d.steady == 0 {
		d.steady = perToken
		return
	}
	d.steady += (perToken - d.steady) * min(1, took.Seconds()/steadyTime.Seconds())
}

// rate returns the speed of one response in tokens per second, 0 if it is unknown. Without new
// measurements it returns to the long-term speed, so that a slow phase doesn't keep all work off
// an engine that has recovered.
func (d *decodeSpeed) rate(now time.Time) float64 {
	if d.known.perToken == 0 {
		return 0
	}
	recent := math.Exp(-max(0, now.Sub(d.known.at).Seconds()) / steadyTime.Seconds())
	return 1 / (d.steady + (d.known.perToken-d.steady)*recent)
}

// preemptions returns the recent number of preempted responses of all gateways.
func (d *decodeSpeed) preemptions(now time.Time) float64 {
	n := d.preempted.count(now)
	for _, c := range d.peersPreempted {
		n += c.count(now)
	}
	return n
}

// decayedCount counts events and forgets them within preemptionTime.
type decayedCount struct {
	n  float64
	at time.Time
}

func (c *decayedCount) count(now time.Time) float64 {
	if c.n == 0 {
		return 0
	}
	return c.n * math.Exp(-max(0, now.Sub(c.at).Seconds())/preemptionTime.Seconds())
}

func (c *decayedCount) add(n float64, now time.Time) {
	c.n, c.at = max(0, c.count(now)+n), now
}

// decodeRate returns the speed of one response on an engine, in tokens per second, or the learned
// mean if that of the engine is unknown. While all of this gateway's responses there are silent
// for longer than a pause, the engine is no faster than that shows. The caller holds the lock.
func (p *Pool) decodeRate(e *engine, now time.Time) float64 {
	rate := e.speed.rate(now)
	if rate == 0 {
		rate = p.rate
	}
	silent, tokens := e.silence(now)
	if silent.Seconds()*rate > pauseFactor*float64(tokens) && silent > 0 {
		rate = float64(tokens) / silent.Seconds()
	}
	return rate
}

// silence returns the least time since the last event of this gateway's responses on the engine,
// and how many tokens that event had. It returns 0 if fewer than two responses have begun: one
// that is silent may have been preempted.
func (e *engine) silence(now time.Time) (time.Duration, int) {
	least, tokens, begun := time.Duration(math.MaxInt64), 0, 0
	for _, b := range e.own {
		if b.eventTokens == 0 {
			continue
		}
		begun++
		if silent := now.Sub(b.lastEventAt); silent < least {
			least, tokens = silent, b.eventTokens
		}
	}
	if begun < 2 {
		return 0, 0
	}
	return least, tokens
}

// Speed returns the learned speed of an engine, or the mean of the service if it is unknown.
func (p *Pool) Speed(runner string, now time.Time) Speed {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := Speed{Decode: p.rate, Prefill: p.prefillRate(runner)}
	if e := p.engines[runner]; e != nil {
		out.Decode = p.decodeRate(e, now)
	}
	return out
}

// Running returns the responses of all gateways on the decode engines of the service.
func (p *Pool) Running(now time.Time) []Running {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Running
	for _, s := range p.directory.Stage(p.service, runners.Decode) {
		e := p.engines[s.ID]
		if e == nil {
			continue
		}
		rate := p.decodeRate(e, now)
		for _, f := range e.footprints(now, rate, p.Lengths.Spread()) {
			out = append(out, Running{Runner: s.ID, Memory: int(f.now), Left: time.Duration(f.left / rate * float64(time.Second))})
		}
	}
	return out
}
