// Package plainload limits the requests that a gateway has open at plain runners which turn requests
// away, and orders the requests that wait for room. It does no I/O and reads no clock.
//
// A runner has no limit until it turns a request away. The limit then follows its responses: it falls
// with each request that is turned away and grows slowly while requests wait. All gateways exchange
// what they have open, so that each uses the part of the runner that corresponds to its demand. A
// runner that turned nothing away for pressureTime has no limit again.
package plainload

import (
	"math"
	"sync"
	"time"
)

const (
	// pressureTime is how long a runner that turned a request away keeps a limit.
	pressureTime = 3 * time.Second
	// refusalPause is the time after a refusal until the gateway sends the runner another request.
	refusalPause = 10 * time.Millisecond
	// growth is the part of a request by which the limit grows with each response.
	growth = 0.05
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

// Table holds the load of the plain runners as far as this gateway knows it. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	shared  bool
	runners map[string]*runner
	queues  map[string]*Queue
}

// NewTable returns an empty table. If shared is set, the reports of other gateways are part of the
// limits.
func NewTable(shared bool) *Table {
	return &Table{shared: shared, runners: map[string]*runner{}, queues: map[string]*Queue{}}
}

// runner is the load of one plain runner.
type runner struct {
	inFlight int
	// queue is the queue of the runner's service.
	queue *Queue
	// limit bounds inFlight while the runner is under pressure. refusedAt is when the runner last
	// turned a request of this gateway away.
	limit     float64
	refusedAt time.Time
	// turnedAwayAt is when the runner last turned a request of any gateway away; turnedAway counts
	// those of this one.
	turnedAwayAt time.Time
	turnedAway   uint64
	// latency is the mean response time in seconds; 0 is unknown.
	latency float64
	// total is the number of open requests of all gateways that the runner is believed to take;
	// 0 is unknown. peers are the reports of other gateways, by name.
	total float64
	peers map[string]peerLoad
}

func (t *Table) runner(id string) *runner {
	r := t.runners[id]
	if r == nil {
		r = &runner{peers: map[string]peerLoad{}}
		t.runners[id] = r
	}
	return r
}

// waiting returns the number of requests that wait for room at the runner or at another one of its
// service.
func (r *runner) waiting() int {
	if r.queue == nil {
		return 0
	}
	return r.queue.Len()
}

// pressed reports whether the runner turned a request of this gateway away lately.
func (r *runner) pressed(now time.Time) bool {
	return !r.turnedAwayAt.IsZero() && now.Sub(r.turnedAwayAt) < pressureTime
}

// room reports whether one more request may be sent to the runner.
func (r *runner) room(now time.Time) bool {
	if !r.pressed(now) {
		return true
	}
	return now.Sub(r.refusedAt) >= refusalPause && float64(r.inFlight+1) <= max(1, r.bound(now))
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
// latency target of its route.
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

// fall lowers the limit to what the runner has of this gateway: it takes no more.
func (r *runner) fall(now time.Time) {
	open := float64(r.inFlight)
	r.press(now)
	r.refusedAt = now
	r.limit = max(1, min(r.limit, open))
	r.turnedAway++
	r.fallTotal(now)
}

// press puts the runner under pressure, or keeps it there.
func (r *runner) press(now time.Time) {
	if !r.pressed(now) {
		r.limit, r.total = math.Inf(1), 0
	}
	r.turnedAwayAt = now
}

func (r *runner) answered(took, target time.Duration, now time.Time) {
	if r.latency == 0 {
		r.latency = took.Seconds()
	}
	r.latency += latencyWeight * (took.Seconds() - r.latency)
	if !r.pressed(now) {
		return
	}
	step := growth
	if r.latency > runnerShare*target.Seconds() {
		step = -growth
	}
	r.limit = max(1, r.limit+step)
	if r.total > 0 {
		r.total = max(1, r.total+step)
	}
}

// Sweep forgets runners that are idle and not under pressure.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.runners {
		r.dropStale(now)
		if r.inFlight == 0 && !r.pressed(now) && len(r.peers) == 0 {
			delete(t.runners, id)
		}
	}
}
