// Package plainload limits the requests that a gateway has open at plain runners which turn requests
// away, and orders the requests that wait for room. It does no I/O and reads no clock.
//
// A runner has no limit until it turns a request away. The limit then follows its responses: it falls
// to what the gateway has open when a request is turned away, grows slowly with responses, and falls
// while the time in the runner's own queue is long. Each gateway learns its limits alone: at all
// gateways together they add up to what the runner takes. A runner that turned nothing away for
// pressureTime has no limit again.
package plainload

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// pressureTime is how long a runner that turned a request away keeps a limit.
	pressureTime = 3 * time.Second
	// refusalPause is the time after a refusal until the gateway sends the runner another request.
	refusalPause = 10 * time.Millisecond
	// growth is the part of a request by which the limit grows with each response while the runner's
	// queue is short, and decline that by which it falls otherwise.
	growth  = 0.25
	decline = 0.05
	// runnerShare is the share of the latency target that a request may take at the runner. The rest
	// is for the wait at the gateway, where the most urgent request goes first.
	runnerShare = 0.5
	// latencyWeight is the weight of the newest response in the mean response time.
	latencyWeight = 0.2
	// defaultLatency is the response time that is assumed before the first response.
	defaultLatency = 50 * time.Millisecond
)

// Outcome is how a request at a runner ended.
type Outcome int

const (
	// NotSent is a request that was not sent, or whose client left.
	NotSent Outcome = iota
	// Answered is a request that the runner responded to, whatever the status.
	Answered
	// TurnedAway is a request that the runner refused without running it.
	TurnedAway
	// Lost is a request whose response was lost.
	Lost
)

// Table holds the load that this gateway has at plain runners. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	runners map[string]*runner
	queues  map[string]*Queue
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{runners: map[string]*runner{}, queues: map[string]*Queue{}}
}

// runner is the load of one plain runner.
type runner struct {
	inFlight int
	// queue is the queue of the runner's service.
	queue *Queue
	// limit bounds inFlight while the runner is under pressure. refusedAt is when the runner last
	// turned a request away, turnedAway how many it has.
	limit      float64
	refusedAt  time.Time
	turnedAway uint64
	// latency is the mean response time in seconds; 0 is unknown.
	latency float64
}

func (t *Table) runner(id string) *runner {
	r := t.runners[id]
	if r == nil {
		r = &runner{}
		t.runners[id] = r
	}
	return r
}

// pressed reports whether the runner turned a request away lately.
func (r *runner) pressed(now time.Time) bool {
	return !r.refusedAt.IsZero() && now.Sub(r.refusedAt) < pressureTime
}

// room reports whether one more request may be sent to the runner.
func (r *runner) room(now time.Time) bool {
	if !r.pressed(now) {
		return true
	}
	return now.Sub(r.refusedAt) >= refusalPause && float64(r.inFlight+1) <= r.limit
}

// Room reports whether the gateway may send a runner one more request now.
func (t *Table) Room(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runners[id]
	return r == nil || r.room(now)
}

// Claim takes a place at a runner of a service for one request, and reports whether there was one.
// End gives it back.
func (t *Table) Claim(service, id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runner(id)
	if r.queue == nil {
		r.queue = t.queue(service)
	}
	if !r.room(now) {
		return false
	}
	r.inFlight++
	return true
}

// End records the end of a request that had a place at a runner, the time that it took there, and the
// latency target of its route, 0 for none.
func (t *Table) End(id string, o Outcome, took, target time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runner(id)
	r.inFlight = max(0, r.inFlight-1)
	switch o {
	case TurnedAway:
		r.fall(now)
	case Answered:
		r.answered(took, target, now)
		if r.queue != nil {
			r.queue.responded(took, now)
		}
	}
}

// fall lowers the limit to what the gateway has open at the runner, which takes no more.
func (r *runner) fall(now time.Time) {
	if !r.pressed(now) {
		r.limit = math.Inf(1)
	}
	r.limit = max(1, min(r.limit, float64(r.inFlight)))
	r.refusedAt = now
	r.turnedAway++
}

func (r *runner) answered(took, target time.Duration, now time.Time) {
	if r.latency == 0 {
		r.latency = took.Seconds()
	}
	r.latency += latencyWeight * (took.Seconds() - r.latency)
	if !r.pressed(now) {
		return
	}
	r.limit = max(1, r.limit+r.step(target))
}

// step returns the change of the limit with a response. Without a latency target it is growth.
func (r *runner) step(target time.Duration) float64 {
	if target > 0 && r.latency > runnerShare*target.Seconds() {
		return -decline
	}
	return growth
}

// Sweep forgets runners that are idle and not under pressure.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.runners {
		if r.inFlight == 0 && !r.pressed(now) {
			delete(t.runners, id)
		}
	}
}

// Status is the load of one runner under pressure.
type Status struct {
	Runner string
	// InFlight is the number of open requests of this gateway, Limit their limit.
	InFlight int
	Limit    float64
	// TurnedAway counts the requests that the runner turned away from this gateway.
	TurnedAway uint64
}

// Statuses returns the load of the runners under pressure, by name.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for id, r := range t.runners {
		if r.pressed(now) {
			out = append(out, Status{id, r.inFlight, r.limit, r.turnedAway})
		}
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Runner, b.Runner) })
	return out
}

// Waiting returns the number of waiting requests, by service.
func (t *Table) Waiting() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.queues))
	for service, q := range t.queues {
		out[service] = q.Len()
	}
	return out
}
