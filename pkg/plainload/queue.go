package plainload

import (
	"slices"
	"sync"
	"time"
)

// rateWindow is the time over which the rate of responses is averaged.
const rateWindow = 500 * time.Millisecond

// yieldTime is how long requests that are late in any case wait after one waited that could be served
// in time: the room is needed for those.
const yieldTime = 200 * time.Millisecond

// serviceMargin is the factor on the mean time at a runner within which most responses come.
const serviceMargin = 1.3

// minResponses is the number of responses in rateWindow below which a forecast is unknown.
const minResponses = 2

// sortInterval is how long the order of the waiting requests holds while none comes and no room does.
const sortInterval = time.Millisecond

// Request is a request that waits for room at the plain runners of a service.
type Request struct {
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	// Workspace is the workspace of the request, empty if there is none.
	Workspace string
	Arrived   time.Time
	// Target is when the response is due, Deadline when it is of no more use.
	Target, Deadline time.Time
	// Returning is set if the client was refused before, so that its response is late in any case,
	// and will not return once more.
	Returning bool
	// Lane tells requests apart that may use different runners.
	Lane string
	// InTime is set by the queue while the request can be served by its target.
	InTime bool
}

// Order compares two waiting requests for the same room; below 0 means that a goes first.
type Order interface{ Compare(a, b Request) int }

// ByUrgency is the order by route priority, then by whether a request can be served by its target,
// then by arrival.
type ByUrgency struct{}

// Compare implements Order.
func (ByUrgency) Compare(a, b Request) int {
	switch {
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case a.InTime != b.InTime:
		if a.InTime {
			return -1
		}
		return 1
	}
	return a.Arrived.Compare(b.Arrived)
}

// Waiter is a request in a queue. Turn holds a value when it is its turn to look for room.
type Waiter struct {
	Request
	Turn chan struct{}
	// committed is set when the request has waited so long that a refusal would make its response
	// late.
	committed bool
}

// Queue holds the requests of one service that wait for room at its plain runners. It is safe for
// concurrent use.
type Queue struct {
	mu      sync.Mutex
	order   Order
	waiting []*Waiter
	// sortedAt is when the waiting requests were sorted, unsorted that they have to be sorted anew.
	sortedAt time.Time
	unsorted bool
	// responses is the number of responses in about rateWindow, as of countedAt.
	responses float64
	countedAt time.Time
	// service is the mean time from sending a request to its response, in seconds.
	service float64
	// inTimeAt is when a request last waited that could be served in time.
	inTimeAt time.Time
	// promised are the times at which refused clients were told to return.
	promised []time.Time
}

// Queue returns the queue of a service and creates it if needed.
func (t *Table) Queue(service string) *Queue {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue(service)
}

func (t *Table) queue(service string) *Queue {
	q := t.queues[service]
	if q == nil {
		q = &Queue{order: ByUrgency{}}
		t.queues[service] = q
	}
	return q
}

// SetOrder replaces the order of the queue.
func (q *Queue) SetOrder(o Order) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.order, q.unsorted = o, true
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Busy reports whether a request that arrives now has to wait behind others: any if some wait, and one
// of a returning client also if one needed the room lately that can be served in time.
func (q *Queue) Busy(returning bool, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 || returning && q.contested(now)
}

// contested reports whether a request waited lately that could be served in time. The caller holds the
// lock.
func (q *Queue) contested(now time.Time) bool { return now.Sub(q.inTimeAt) < yieldTime }

// Enter adds a request. Leave must be called when it no longer waits.
func (q *Queue) Enter(r Request) *Waiter {
	w := &Waiter{Request: r, Turn: make(chan struct{}, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting, q.unsorted = append(q.waiting, w), true
	return w
}

// Leave removes a request and gives the turn to the next one.
func (q *Queue) Leave(w *Waiter, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(o *Waiter) bool { return o == w })
	q.wake(now)
}

// Wake gives the turn to the first waiting request of each lane.
func (q *Queue) Wake(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake(now)
}

func (q *Queue) wake(now time.Time) {
	q.unsorted = true
	q.sort(now)
	q.giveTurns()
}

// giveTurns gives the turn to the first waiting request of each lane. The caller holds the lock.
func (q *Queue) giveTurns() {
	for i, w := range q.waiting {
		if q.first(i) {
			select {
			case w.Turn <- struct{}{}:
			default:
			}
		}
	}
}

// first reports whether no waiting request of the same lane goes before the one at an index.
func (q *Queue) first(i int) bool {
	for _, w := range q.waiting[:i] {
		if w.Lane == q.waiting[i].Lane {
			return false
		}
	}
	return true
}

// sort sorts the waiting requests, unless they were sorted within sortInterval. If one got late, so that
// others go before it now, it gives turns. The caller holds the lock.
func (q *Queue) sort(now time.Time) {
	if !q.unsorted && now.Sub(q.sortedAt) < sortInterval {
		return
	}
	due, late := now.Add(q.serviceTime()), false
	for _, w := range q.waiting {
		if w.InTime {
			q.inTimeAt = now
		}
		if inTime := !w.Returning && !due.After(w.Target); inTime != w.InTime {
			late = late || w.InTime
			w.InTime, q.unsorted = inTime, true
		}
	}
	q.sortedAt = now
	if !q.unsorted {
		return
	}
	q.unsorted = false
	slices.SortStableFunc(q.waiting, func(a, b *Waiter) int { return q.order.Compare(a.Request, b.Request) })
	if late {
		q.giveTurns()
	}
}

// look sorts the waiting requests for one of them that looks for room. The caller holds the lock.
func (q *Queue) look(w *Waiter, now time.Time) {
	if w.InTime {
		q.inTimeAt = now
	}
	q.sort(now)
}

// First reports whether it is the turn of a request, so that none that goes before it is overtaken.
func (q *Queue) First(w *Waiter, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.look(w, now)
	if !w.InTime && q.contested(now) {
		return false
	}
	i := slices.Index(q.waiting, w)
	return i >= 0 && q.first(i)
}

// serviceTime returns the time from sending a request within which most responses come. The caller
// holds the lock.
func (q *Queue) serviceTime() time.Duration {
	if q.service == 0 {
		return defaultLatency
	}
	return time.Duration(serviceMargin * q.service * float64(time.Second))
}

// responded records a response of any runner of the service.
func (q *Queue) responded(took time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.responses = q.decayed(now) + 1
	q.countedAt = now
	if q.service == 0 {
		q.service = took.Seconds()
	}
	q.service += latencyWeight * (took.Seconds() - q.service)
}
