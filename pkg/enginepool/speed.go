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
	// slowFactor is how many times the usual interval a slow one lasts at least, and pauseFactor a
	// pause, in which the prompt of a preempted response is processed again.
	slowFactor  = 2
	pauseFactor = 4
	// burstFactor is how many times shorter than usual the interval to an event is that was generated
	// together with the one before, or delayed with it.
	burstFactor = 16
	// reportedChange is the factor by which a speed must differ from the reported one to be
	// reported at once.
	reportedChange = 1.25
	// speedInterval is the least time between two reports of an engine's speed, so that events of many
	// responses cause few datagrams.
	speedInterval = 100 * time.Millisecond
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
	// known is measured by this gateway and others that reported it, and own is known at the last
	// measurement of this gateway, which is reported.
	own, known pace
	// steady is the long-term time per token, in seconds; 0 is unknown.
	steady float64
	// slow is set if the last interval was slow, and paused if it was a pause. slowAt is when it ended.
	slow, paused bool
	slowAt       time.Time
	// reported is the own time per token that was last reported, at reportedAt.
	reported   float64
	reportedAt time.Time
	// preempted counts this gateway's responses that the engine preempted, peersPreempted those of
	// each other gateway.
	preempted      decayed
	peersPreempted ordered[decayed]
}

// observe learns from the time between two events of a response. The first slow interval is left out:
// the response was preempted if it is a pause. Intervals of other responses that began before it ended
// are of the same pause. A slow one that began later shows that the engine is slow, and its speed is
// followed at once. An event that follows a late one immediately shows that the engine had generated it
// before, and that only the delivery was late. It returns true if there is something to be reported now.
func (d *decodeSpeed) observe(tokens int, took time.Duration, now time.Time) bool {
	perToken := took.Seconds() / float64(tokens)
	if perToken*burstFactor < d.known.perToken && now.Sub(d.known.at) < staleSpeed {
		d.retractPause(now)
		return false
	}
	if d.known.perToken > 0 && perToken > slowFactor*d.known.perToken {
		if !d.slow {
			d.slow, d.slowAt, d.paused = true, now, perToken > pauseFactor*d.known.perToken
			if d.paused {
				d.preempted = decayed{d.preempted.value(now) + 1, now, preemptionTime}
			}
			return d.paused
		}
		if now.Add(-took).Before(d.slowAt) {
			return false
		}
		d.retractPause(now)
		d.own, d.known = pace{}, pace{}
	}
	d.slow, d.paused = false, false
	d.known.learn(perToken, speedWeight, now)
	d.own = d.known
	d.follow(perToken, took)
	differs := d.own.perToken > reportedChange*d.reported || d.own.perToken*reportedChange < d.reported
	if !differs || now.Sub(d.reportedAt) < speedInterval {
		return false
	}
	d.reported, d.reportedAt = d.own.perToken, now
	return true
}

// retractPause forgets the last pause: it was no preemption.
func (d *decodeSpeed) retractPause(now time.Time) {
	if d.paused {
		d.preempted = decayed{max(0, d.preempted.value(now)-1), now, preemptionTime}
	}
	d.slow, d.paused = false, false
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

// maxPreemptedBy bounds the gateways whose preempted responses are counted for an engine: some times as many as
// use it.
const maxPreemptedBy = 64

// receivePreempted records the number of responses that another gateway saw preempted. Beyond the bound further
// gateways are left out until others have seen none for some time.
func (d *decodeSpeed) receivePreempted(gateway string, n decayed) {
	if _, known := d.peersPreempted.index[gateway]; known || d.peersPreempted.len() < maxPreemptedBy {
		d.peersPreempted.set(gateway, n)
	}
}

// preemptions returns the recent number of preempted responses of all gateways.
func (d *decodeSpeed) preemptions(now time.Time) float64 {
	n := d.preempted.value(now)
	for gateway, c := range d.peersPreempted.all() {
		v := c.value(now)
		if v < negligible {
			d.peersPreempted.remove(gateway)
			continue
		}
		n += v
	}
	return n
}

// decayed is an amount that falls to a third (1/e) within a time.
type decayed struct {
	n    float64
	at   time.Time
	time time.Duration
}

func (c decayed) value(now time.Time) float64 {
	if c.n == 0 {
		return 0
	}
	return c.n * math.Exp(-max(0, now.Sub(c.at).Seconds())/c.time.Seconds())
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
	for _, b := range e.own.values {
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
	defer p.unlock()
	out := Speed{Decode: p.rate, Prefill: p.prefillRate(runner)}
	if e := p.engines.get(runner); e != nil {
		out.Decode = p.decodeRate(e, now)
	}
	return out
}

// maxLeft bounds Running.Left on an engine that is silent.
const maxLeft = 24 * time.Hour

// Running returns the responses of all gateways on the decode engines of the service.
func (p *Pool) Running(now time.Time) []Running {
	p.mu.Lock()
	defer p.unlock()
	var out []Running
	for _, s := range p.directory.Stage(p.service, runners.Decode) {
		e := p.engines.get(s.ID)
		if e == nil {
			continue
		}
		rate := p.decodeRate(e, now)
		for _, f := range e.footprints(now, rate) {
			left := min(f.left()/rate, maxLeft.Seconds())
			out = append(out, Running{Runner: s.ID, Memory: int(f.now), Left: time.Duration(left * float64(time.Second))})
		}
	}
	return out
}
