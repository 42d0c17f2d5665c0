package enginepool

import (
	"math"
	"time"
)

// Job is a request that needs memory on a decode runner.
type Job struct {
	// ID is the ID of the request.
	ID string
	// Prompt is the length of the prompt, in tokens.
	Prompt int
	// Length is the estimated length of the response.
	Length Estimate
	// Priority is the priority that operators gave the job, 0 for the most urgent.
	Priority int
	// Workspace is the hash of the name of the workspace that sent the job, 0 if there is none.
	Workspace uint64
	// Allows reports whether the job may run in a failure domain; nil allows all.
	Allows func(domain string) bool
}

// allows reports whether the job may run in a failure domain.
func (j Job) allows(domain string) bool { return j.Allows == nil || j.Allows(domain) }

// size is the memory that the job is expected to take when it ends, in tokens.
func (j Job) size() int { return j.Prompt + int(j.Length.Expected(0)) }

// reservation is a job on a decode runner.
type reservation struct {
	job Job
	// generated is how many tokens of the response have been received.
	generated int
	// firstTokenAt is when the first token was received; zero before.
	firstTokenAt time.Time
}

// Load is a reservation as it is reported to other gateways: the memory that it takes
// now, and how much its response is expected to add, in tokens.
type Load struct {
	Now, Left int
}

// peerLoads holds another gateway's reservations at one engine, as reported at a time.
type peerLoads struct {
	loads []Load
	at    time.Time
}

// engine is this gateway's model of one engine: its own reservations and prefills, and
// those that other gateways reported.
type engine struct {
	id       string
	capacity int
	slots    int
	own      map[string]*reservation
	// peers holds the reservations of other gateways, by gateway.
	peers map[string]peerLoads
	// prefillTokens is how many prompt tokens of other gateways are waiting or being
	// processed on the engine, by gateway.
	prefillTokens map[string]int
	// changedRevision is the pool's revision at the last change of this gateway's own
	// reservations or prefills on the engine.
	changedRevision uint64
	// refusedUntil is when the runner becomes a candidate again after it refused a
	// reservation.
	refusedUntil time.Time
}

// remaining estimates how many more tokens the response will have.
func (b *reservation) remaining() int {
	return max(0, int(b.job.Length.Expected(b.generated))-b.generated)
}

// footprint is the memory of one request: tokens now, tokens still to come, and the
// variance of the latter.
type footprint struct{ now, left, variance float64 }

// footprints lists the memory use of all requests on the runner. Those of other gateways
// are assumed to have grown since they were reported, at a rate in tokens per second.
// spread is the standard deviation of the logarithm of response lengths. It is used for
// the requests of other gateways; this gateway's own have theirs in Job.Length.
func (e *engine) footprints(now time.Time, rate, spread float64) []footprint {
	out := make([]footprint, 0, len(e.own)+8)
	for _, b := range e.own {
		left := float64(b.remaining())
		out = append(out, footprint{float64(b.job.Prompt + b.generated), left, variance(left, b.job.Length.spread)})
	}
	for _, reported := range e.peers {
		grown := max(0, rate*now.Sub(reported.at).Seconds())
		for _, l := range reported.loads {
			generated := min(grown, float64(l.Left))
			left := float64(l.Left) - generated
			out = append(out, footprint{float64(l.Now) + generated, left, variance(left, spread)})
		}
	}
	return out
}

// peak returns the most memory that all requests will take together if one more is
// added. All responses are assumed to grow at the same rate, and each request frees its
// memory when its response is complete. The maximum is reached just before one of them ends.
func peak(footprints []footprint, add footprint) float64 {
	all := append(footprints, add)
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

// variance returns the variance of the remaining length of a response, in tokens squared,
// for a spread (standard deviation) of the logarithm of lengths.
func variance(left, spread float64) float64 { return left * left * math.Expm1(spread*spread) }

// reservationCount returns the number of reservations of all gateways.
func (e *engine) reservationCount() int {
	n := len(e.own)
	for _, reported := range e.peers {
		n += len(reported.loads)
	}
	return n
}

// room returns how much memory is left at the peak with a job added, in tokens. A
// negative value means that the job does not fit.
//
// About half of the responses are longer than expected, and the reports of other gateways are
// up to seconds old. A runner that is out of memory preempts a request and prefills its
// prompt again. To avoid that, room reserves a margin: deviations times the standard
// deviation of all tokens still to come.
func (e *engine) room(j Job, now time.Time, rate, spread, deviations float64) float64 {
	if e.reservationCount() >= e.slots {
		return -1
	}
	footprints := e.footprints(now, rate, spread)
	expected := j.Length.Expected(0)
	used, sumVariance := float64(j.Prompt), variance(expected, j.Length.spread)
	for _, s := range footprints {
		used += s.now
		sumVariance += s.variance
	}
	if left := float64(e.capacity) - used; left < 0 {
		return left
	}
	add := footprint{now: float64(j.Prompt), left: expected}
	return float64(e.capacity) - peak(footprints, add) - deviations*math.Sqrt(sumVariance)
}
