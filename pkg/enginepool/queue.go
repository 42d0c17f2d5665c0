package enginepool

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/fairness"
	"github.com/hopwell/hopwell/pkg/runners"
)

// Rank orders waiting jobs of the same priority: the lower rank goes first. Begun jobs go
// before all others and Late jobs after all others, whatever their priority; see tier.
type Rank int

const (
	// Begun is for requests that have made an attempt, so that engines may have spent time
	// on them.
	Begun Rank = iota
	// Returning is for requests that were refused once and sent again as instructed by
	// Retry-After.
	Returning
	// Fresh is for requests received for the first time.
	Fresh
	// Late is for requests that can no longer meet their latency target.
	Late
)

// Waiter is a job that waits for room on a decode runner.
type Waiter struct {
	job    Job
	rank   Rank
	serial uint64
	avoid  map[string]bool
	// prefer is the ID of the runner that is chosen if it has room; empty for none.
	prefer string
	// granted receives the runner on which memory is reserved.
	granted chan *runners.State
	// lateAt is when the job can no longer meet its latency target; zero for never.
	lateAt time.Time
	// since is when it began to wait, mayWait how long it may.
	since   time.Time
	mayWait time.Duration
	// yielded is how long it left room to requests of other gateways, yieldedAt when it last did so.
	yielded   time.Duration
	yieldedAt time.Time
}

// LateFrom sets the time from which a job is ranked Late. It must be called before Wait.
func (w *Waiter) LateFrom(at time.Time) { w.lateAt = at }

// ErrNoRoom reports that a job got no memory on a decode runner before its context ended.
type ErrNoRoom struct {
	ID     string
	Waited time.Duration
	// Ahead is how many jobs were ahead of it in the queue.
	Ahead int
}

// Error implements error.
func (e *ErrNoRoom) Error() string {
	return fmt.Sprintf("no room on any decode runner: request=%s waited=%s ahead=%d", e.ID, e.Waited, e.Ahead)
}

// NewWaiter returns a waiter for a job. Wait adds it to the queue.
func (p *Pool) NewWaiter(j Job, rank Rank) *Waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serial++
	w := &Waiter{job: j, rank: rank, serial: p.serial, avoid: map[string]bool{}, granted: make(chan *runners.State, 1)}
	return w
}

// Avoid excludes a runner that failed the job.
func (w *Waiter) Avoid(runner string) { w.avoid[runner] = true }

// Prefer sets the runner that is chosen if it has room, even if others have more.
func (w *Waiter) Prefer(runner string) { w.prefer = runner }

// maxWait is how long a job is taken to wait if its context has no deadline.
const maxWait = time.Second

// recordYield records that the job leaves room to others.
func (w *Waiter) recordYield(now time.Time) {
	if !w.yieldedAt.IsZero() {
		w.yielded += min(now.Sub(w.yieldedAt), maxYieldStep)
	}
	w.yieldedAt = now
}

// Yielded returns how long a job has left room to requests of other gateways.
func (p *Pool) Yielded(w *Waiter) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return w.yielded
}

// maxYieldStep is the longest time between two dispatches that counts as one yield.
const maxYieldStep = 50 * time.Millisecond

// Wait returns the decode runner on which memory is reserved for the job, as soon as
// there is room. It fails with *ErrNoRoom when the context ends first.
func (p *Pool) Wait(ctx context.Context, w *Waiter) (*runners.State, error) {
	began := time.Now()
	w.since, w.mayWait = began, maxWait
	if deadline, ok := ctx.Deadline(); ok {
		w.mayWait = deadline.Sub(began)
	}
	p.enqueue(w)
	p.Dispatch(began)
	select {
	case s := <-w.granted:
		return s, nil
	default:
	}
	select {
	case s := <-w.granted:
		return s, nil
	case <-ctx.Done():
	}
	ahead, granted := p.leave(w)
	if granted != nil {
		return granted, nil
	}
	return nil, &ErrNoRoom{ID: w.job.ID, Waited: time.Since(began), Ahead: ahead}
}

// tier groups ranks into classes that take precedence over priority: Begun jobs go
// before all others, and Late jobs after all others.
func (r Rank) tier() int {
	switch r {
	case Begun:
		return 0
	case Late:
		return 2
	}
	return 1
}

// compareWaiters orders two waiters by tier, priority, rank and time of arrival.
func compareWaiters(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.rank.tier(), b.rank.tier()), cmp.Compare(a.job.Priority, b.job.Priority),
		cmp.Compare(a.rank, b.rank), cmp.Compare(a.serial, b.serial))
}

func (p *Pool) enqueue(w *Waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.order.sizes.Observe(w.job.size())
	at, _ := slices.BinarySearchFunc(p.waiting, w, compareWaiters)
	p.waiting = slices.Insert(p.waiting, at, w)
}

// leave removes a waiter and returns how many were ahead of it. It returns the runner
// instead if one was granted at the same moment.
func (p *Pool) leave(w *Waiter) (int, *runners.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.waiting, w)
	if at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
		p.reportClasses()
		return at, nil
	}
	select {
	case s := <-w.granted:
		return 0, s
	default:
		return 0, nil
	}
}

// Dispatch reserves memory for waiting jobs, in the order of all gateways. A job that does not fit is
// skipped, and smaller jobs may pass it. Jobs of the same or a larger size than the first
// job that does not fit wait too, so that they do not starve it. Large jobs, for which memory is kept
// free on some engines, wait only for large ones. A job leaves room to more urgent
// requests of other gateways; see package fairness.
func (p *Pool) Dispatch(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 {
		return
	}
	p.demote(now)
	p.updateReserve(now)
	shares := p.shares(now)
	sortWaiting(p.waiting, shares)
	promoted := p.promote()
	var left []*Waiter
	var blocked blockedSizes
	for rest := p.waiting; len(rest) > 0; {
		w := rest[0]
		rest = rest[1:]
		first := promoted && len(left)+len(rest)+1 == len(p.waiting)
		s := p.dispatch(w, &blocked, shares, first, now)
		if s == nil {
			left = append(left, w)
			continue
		}
		p.granted(w, s, shares, now)
		if slices.ContainsFunc(left, w.precedes) || slices.ContainsFunc(rest, w.precedes) {
			p.order.floor.Granted(w.job.size())
		}
		sortWaiting(rest, shares)
	}
	clear(p.waiting)
	p.waiting = append(p.waiting[:0], left...)
	p.reportClasses()
}

// dispatch reserves memory for one waiting job. It returns nil if the job does not fit, is blocked by
// one ahead of it or leaves the room to others. A promoted job leaves it to none. The caller holds the lock.
func (p *Pool) dispatch(w *Waiter, blocked *blockedSizes, shares *fairness.Shares, promoted bool, now time.Time) *runners.State {
	large := p.order.sizes.Large(w.job.size())
	if blocked.blocks(w.job.size(), large) {
		return nil
	}
	if !promoted && p.mustYield(w, shares, now) {
		w.recordYield(now)
		return nil
	}
	s := p.place(w, now)
	switch {
	case s == nil:
		blocked.add(w.job.size(), large)
	case promoted:
		p.order.floor.Repay(w.job.size())
	}
	return s
}

// blockedSizes holds the size of the first job that did not fit, for large jobs and for the others; 0
// for none.
type blockedSizes struct{ large, other int }

func (b *blockedSizes) of(large bool) *int {
	if large {
		return &b.large
	}
	return &b.other
}

func (b *blockedSizes) blocks(size int, large bool) bool {
	first := *b.of(large)
	return first > 0 && size >= first
}

func (b *blockedSizes) add(size int, large bool) {
	if first := b.of(large); *first == 0 {
		*first = size
	}
}

// demote moves waiting jobs that have become late to the end. The caller holds the lock.
func (p *Pool) demote(now time.Time) {
	changed := false
	for _, w := range p.waiting {
		if w.rank != Late && !w.lateAt.IsZero() && now.After(w.lateAt) {
			w.rank = Late
			changed = true
		}
	}
	if changed {
		slices.SortStableFunc(p.waiting, compareWaiters)
	}
}

// Waiting returns how many jobs wait at this gateway, and at all gateways that reported
// including this one.
func (p *Pool) Waiting() (here, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all = len(p.waiting)
	for _, n := range p.peerWaiting {
		all += n
	}
	return len(p.waiting), all
}
