package enginepool

import (
	"math"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
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
	// Allows reports whether the job may run in a failure domain; nil allows all.
	Allows func(domain string) bool
	// Version is the only software version at which the job may run; empty for any.
	Version string
	// AllowsVersion reports whether the job may run at a software version; nil allows all.
	AllowsVersion func(version string) bool
}

// Accepts reports whether the job may run on a runner.
func (j Job) Accepts(s *runners.State) bool {
	return (j.Version == "" || j.Version == s.Version) && (j.Allows == nil || j.Allows(s.Domain)) && (j.AllowsVersion == nil || j.AllowsVersion(s.Version))
}

// filter returns Accepts, or nil if the job may run on all runners.
func (j Job) filter() func(*runners.State) bool {
	if j.Version == "" && j.Allows == nil && j.AllowsVersion == nil {
		return nil
	}
	return j.Accepts
}

// footprint returns the memory that the job takes when it begins.
func (j Job) footprint() footprint {
	return footprint{now: float64(j.Prompt), length: j.Length}
}

// size is the memory that the job is expected to take when it ends, in tokens.
func (j Job) size() int { return j.Prompt + int(j.Length.Expected(0)) }

// reservation is a job on a decode runner.
type reservation struct {
	job Job
	// generated is how many tokens of the response have been received.
	generated int
	// firstTokenAt is when the first token was received; zero before.
	firstTokenAt time.Time
	// lastEventAt is when the last event was received, and eventTokens how many tokens it added;
	// 0 before there were two events.
	lastEventAt time.Time
	eventTokens int
}

// Load is a reservation as it is reported to other gateways: the memory that it takes
// now, how much its response is expected to add, and how much of the response has been received,
// in tokens.
type Load struct {
	Now, Left, Generated int
}

// peerLoads holds another gateway's reservations at one engine, as reported at a time.
type peerLoads struct {
	loads []peerLoad
	at    time.Time
}

// peerLoad is a reservation of another gateway, with the estimate of the response's length that
// follows from the report, and the longest length that is assumed.
type peerLoad struct {
	Load
	length  Estimate
	longest float64
}

// footprint returns the memory that the response takes when it has grown by a number of tokens
// since it was reported. Ends are reported at once, so that a response that outlives its estimate
// is still running. It is not assumed to be longer than nearly all responses are: then the report
// of its end was lost.
func (l peerLoad) footprint(grown float64) footprint {
	generated := float64(l.Generated) + grown
	if generated > l.longest {
		grown = max(0, l.longest-float64(l.Generated))
		return footprint{now: float64(l.Now) + grown}
	}
	return footprint{float64(l.Now) + grown, generated, l.length}
}

// engine is this gateway's model of one engine: its own reservations and prefills, and
// those that other gateways reported.
type engine struct {
	id       string
	capacity int
	slots    int
	own      ordered[*reservation]
	// peers holds the reservations of other gateways, by gateway.
	peers ordered[peerLoads]
	// prefillTokens is how many prompt tokens of other gateways are waiting or being
	// processed on the engine, by gateway.
	prefillTokens map[string]int
	// changedRevision is the pool's revision at the last change of this gateway's own
	// reservations or prefills on the engine.
	changedRevision uint64
	// refusedUntil is when the runner becomes a candidate again after it refused a
	// reservation.
	refusedUntil time.Time
	// fullAt is when a job last found no room on the engine, and endedAt when a response of this
	// gateway last ended there. turnSize is the size of the smallest job that has found room since,
	// and waits for the turn of this gateway; 0 is none.
	fullAt, endedAt time.Time
	turnSize        int
	// idHash is the hash of id.
	idHash uint64
	// unseen is memory that must be in use by requests that no gateway reported, in tokens: the
	// engine refused a reservation for which it seemed to have room.
	unseen decayed
	// speed is the learned decode speed.
	speed decodeSpeed
	// footprintList is the result of footprints at a time and a rate.
	footprintList []footprint
	footprintsAt  time.Time
	footprintRate float64
	// profile is computed from footprintList for a typical length, 0 if it is not.
	profile        profile
	profileTypical float64
}

// remaining estimates how many more tokens the response will have.
func (b *reservation) remaining() int {
	return max(0, int(b.job.Length.Expected(b.generated))-b.generated)
}

// footprint returns the memory that the response takes.
func (b *reservation) footprint() footprint {
	return footprint{float64(b.job.Prompt + b.generated), float64(b.generated), b.job.Length}
}

// footprint is the memory of one request: tokens now, the tokens generated so far and the estimated
// length of the response. Without an estimate the response is about to end.
type footprint struct {
	now, generated float64
	length         Estimate
}

// left returns the number of tokens that are expected to come.
func (f footprint) left() float64 {
	if f.length.median <= 0 {
		return 0
	}
	return max(0, f.length.expected(f.generated)-f.generated)
}

// footprints lists the memory use of all requests on the engine, at a time.
// Requests of other gateways are assumed to have grown since they were reported, at a rate in tokens
// per second. The list is valid until the next call.
func (e *engine) footprints(now time.Time, rate float64) []footprint {
	if !e.footprintsAt.IsZero() && now.Sub(e.footprintsAt).Abs() < footprintTTL &&
		math.Abs(rate-e.footprintRate) <= footprintRateChange*e.footprintRate {
		return e.footprintList
	}
	out := e.footprintList[:0]
	for _, b := range e.own.values {
		out = append(out, b.footprint())
	}
	for _, reported := range e.peers.values {
		grown := max(0, rate*now.Sub(reported.at).Seconds())
		for _, l := range reported.loads {
			out = append(out, l.footprint(grown))
		}
	}
	e.footprintList, e.footprintsAt, e.footprintRate, e.profileTypical = out, now, rate, 0
	return out
}

// footprintTTL is how long the list of footprints is reused, as long as the reservations don't change.
// Responses grow little in it, compared with the error of the estimates.
const footprintTTL = 20 * time.Millisecond

// footprintRateChange is the relative change of the rate up to which the list is reused: a learned rate
// changes a little all the time.
const footprintRateChange = 0.05

// changed makes the next call of footprints compute them again.
func (e *engine) changed() { e.footprintsAt = time.Time{} }

// reservationCount returns the number of reservations of all gateways.
func (e *engine) reservationCount() int {
	n := e.own.len()
	for _, reported := range e.peers.values {
		n += len(reported.loads)
	}
	return n
}

// profileOf returns the profile of all requests on the engine.
func (e *engine) profileOf(now time.Time, rate, typical float64) *profile {
	if list := e.footprints(now, rate); e.profileTypical != typical {
		e.profile, e.profileTypical = profile{}, typical
		for _, f := range list {
			e.profile.add(f, typical)
		}
	}
	return &e.profile
}

// room returns how much memory is left with a job added, in tokens, at the time when least is. A
// negative value means that the job does not fit.
//
// An engine that is out of memory preempts a request and prefills its prompt again. To bound the
// probability of that, room reserves a margin: deviations times the standard deviation of the memory
// in use. An engine that preempted requests lately gets a larger one: the estimates don't hold there.
func (e *engine) room(job *profile, now time.Time, rate, typical, deviations float64) float64 {
	if e.reservationCount() >= e.slots {
		return -1
	}
	deviations *= 1 + min(maxPreemptionMargin, preemptionMargin*e.speed.preemptions(now))
	return float64(e.capacity) - e.unseen.value(now) - e.profileOf(now, rate, typical).most(job, deviations)
}

const (
	// preemptionMargin is the part by which each recent preemption raises an engine's margin, and
	// maxPreemptionMargin the most.
	preemptionMargin    = 0.25
	maxPreemptionMargin = 1
)

// unseenTime is the time in which memory of unknown requests is forgotten to a third (1/e). Reports
// of other gateways arrive sooner unless they are lost.
const unseenTime = 200 * time.Millisecond

// addUnseen records that the engine had no room for a job. If there seemed to be room, as much memory
// must be taken by requests that were not reported, unless fewer of them take the last slots.
func (e *engine) addUnseen(j Job, now time.Time, rate float64) {
	free := float64(e.capacity - j.Prompt)
	for _, f := range e.footprints(now, rate) {
		free -= f.now
	}
	if slots := e.slots - e.reservationCount(); float64(slots*max(1, j.size())) < free {
		return
	}
	if free > e.unseen.value(now) {
		e.unseen = decayed{free, now, unseenTime}
	}
}
