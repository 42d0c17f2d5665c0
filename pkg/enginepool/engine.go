package enginepool

import (
	"math"
	"time"
)

// Job is a generation's need of a decode runner's memory.
type Job struct {
	// ID is the request's.
	ID string
	// Prompt is the length of the prompt, in tokens.
	Prompt int
	// Length is the estimate of the answer's.
	Length Estimate
	// Priority is how urgent operators say that the job is, 0 most.
	Priority int
	// Allows reports whether the job may run in a failure domain; nil for all.
	Allows func(domain string) bool
}

// allows reports whether the job may run in a failure domain.
func (j Job) allows(domain string) bool { return j.Allows == nil || j.Allows(domain) }

// size is the memory that the job is expected to take at its end, in tokens.
func (j Job) size() int { return j.Prompt + int(j.Length.Expected(0)) }

// reservation is a job on a decode runner.
type reservation struct {
	job Job
	// made is how many tokens of the answer have been seen.
	made int
	// begun is when the first token came; zero before.
	begun time.Time
}

// Load is a reservation as other gateways need to know it: the memory that it takes
// now, and what its answer may still take, in tokens.
type Load struct {
	Now, Left int
}

// peerLoads is another gateway's reservations at one engine, as they were at a time.
type peerLoads struct {
	loads []Load
	at    time.Time
}

// engine is the model of one decode runner: the reservations of this gateway, and
// those that other gateways reported.
type engine struct {
	id       string
	capacity int
	slots    int
	own      map[string]*reservation
	// others are the reservations of other gateways, by gateway.
	others map[string]peerLoads
	// reading is the prompt tokens that other gateways have under way there, by
	// gateway.
	reading map[string]int
	// changed is the pool's revision at the last change of own reservations or
	// prefills.
	changed uint64
	// refusedUntil is until when the runner is not asked again after it has
	// refused a reservation.
	refusedUntil time.Time
}

// remaining estimates how many tokens an answer still has.
func (b *reservation) remaining() int {
	return max(0, int(b.job.Length.Expected(b.made))-b.made)
}

// part is one stay in memory: tokens now, tokens still to come, and the variance of these.
type part struct{ now, left, variance float64 }

// parts lists all stays in the runner's memory. Those of other gateways have grown
// since they were reported, at the given rate in tokens a second.
// Spread is that of the lengths of answers whose own is not known.
func (e *engine) parts(now time.Time, rate, spread float64) []part {
	out := make([]part, 0, len(e.own)+8)
	for _, b := range e.own {
		left := float64(b.remaining())
		out = append(out, part{float64(b.job.Prompt + b.made), left, variance(left, b.job.Length.spread)})
	}
	for _, reported := range e.others {
		grown := max(0, rate*now.Sub(reported.at).Seconds())
		for _, l := range reported.loads {
			made := min(grown, float64(l.Left))
			left := float64(l.Left) - made
			out = append(out, part{float64(l.Now) + made, left, variance(left, spread)})
		}
	}
	return out
}

// peak returns the most memory that stays will take together if one more is added: all answers grow at the same pace, and each goes when it is
// complete. Candidates for the maximum are the moments just before an end.
func peak(stays []part, add part) float64 {
	all := append(stays, add)
	most := 0.0
	for _, at := range all {
		sum := 0.0
		for _, p := range all {
			if p.left >= at.left {
				sum += p.now + at.left
			}
		}
		most = math.Max(most, sum)
	}
	return most
}

// variance returns that of a rest of an answer, in tokens squared, for a spread of the logarithm of
// lengths.
func variance(left, spread float64) float64 { return left * left * math.Expm1(spread*spread) }

// running returns how many requests are reserved for.
func (e *engine) running() int {
	n := len(e.own)
	for _, reported := range e.others {
		n += len(reported.loads)
	}
	return n
}

// room returns how much memory is left at the peak with a job added, in tokens;
// below 0 there is none.
//
// Answers are longer than expected as often as not, and what other gateways reported is up to seconds
// old. When memory runs out a runner puts a request back and reads its prompt anew, so that room is
// kept for deviations times the standard deviation of all that is still to come.
func (e *engine) room(j Job, now time.Time, rate, spread, deviations float64) float64 {
	if e.running() >= e.slots {
		return -1
	}
	stays := e.parts(now, rate, spread)
	expected := j.Length.Expected(0)
	taken, varies := float64(j.Prompt), variance(expected, j.Length.spread)
	for _, s := range stays {
		taken += s.now
		varies += s.variance
	}
	if left := float64(e.capacity) - taken; left < 0 {
		return left
	}
	add := part{now: float64(j.Prompt), left: expected}
	return float64(e.capacity) - peak(stays, add) - deviations*math.Sqrt(varies)
}
