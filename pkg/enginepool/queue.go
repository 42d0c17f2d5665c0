package enginepool

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

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
	// profile is the job's memory, computed for a typical length.
	profile profile
	typical float64
}

// filter returns which runners are considered for the job; nil is all. A job bound to a software version
// has few: those that failed it are left out before runners with many failures are, so that these
// are used if no others are left.
func (w *Waiter) filter() func(*runners.State) bool {
	if w.job.Version == "" {
		return w.job.filter()
	}
	return func(s *runners.State) bool { return w.job.Accepts(s) && !w.avoid[s.ID] }
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
	defer p.unlock()
	p.serial++
	w := &Waiter{job: j, rank: rank, serial: p.serial, avoid: map[string]bool{}, granted: make(chan *runners.State, 1)}
	return w
}

// Avoid excludes a runner that failed the job.
func (w *Waiter) Avoid(runner string) { w.avoid[runner] = true }

// Prefer sets the runner that is chosen if it has room, even if others have more.
func (w *Waiter) Prefer(runner string) { w.prefer = runner }

// Wait returns the decode runner on which memory is reserved for the job, as soon as
// there is room. It fails with *ErrNoRoom when the context ends first.
func (p *Pool) Wait(ctx context.Context, w *Waiter) (*runners.State, error) {
	began := time.Now()
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
	defer p.unlock()
	at, _ := slices.BinarySearchFunc(p.waiting, w, compareWaiters)
	p.waiting = slices.Insert(p.waiting, at, w)
}

// leave removes a waiter and returns how many were ahead of it. It returns the runner
// instead if one was granted at the same moment.
func (p *Pool) leave(w *Waiter) (int, *runners.State) {
	p.mu.Lock()
	defer p.unlock()
	at := slices.Index(p.waiting, w)
	if at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
		p.reportWaiting()
		return at, nil
	}
	select {
	case s := <-w.granted:
		return 0, s
	default:
		return 0, nil
	}
}

// Dispatch reserves memory for waiting jobs, in order. A job that does not fit is
// skipped, and smaller jobs may pass it. Jobs of the same or a larger size than the first
// job that does not fit wait too, so that they do not starve it. A job that is bound to a software
// version blocks only the runners of that version.
func (p *Pool) Dispatch(now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	p.demote(now)
	p.kept = map[string]int{}
	defer func() { p.kept = nil }()
	left := p.waiting[:0]
	blockedSize := 0
	for _, w := range p.waiting {
		if blockedSize > 0 && w.job.size() >= blockedSize {
			left = append(left, w)
			continue
		}
		s := p.place(w, now)
		if s == nil {
			if version := w.job.Version; version != "" {
				p.keep(version, w.job.size())
			} else if blockedSize == 0 {
				blockedSize = w.job.size()
			}
			left = append(left, w)
			continue
		}
		w.granted <- s
	}
	clear(p.waiting[len(left):])
	p.waiting = left
	p.reportWaiting()
}

// keep keeps the runners of a software version for a blocked job. The caller holds the lock.
func (p *Pool) keep(version string, size int) {
	if before, ok := p.kept[version]; !ok || size < before {
		p.kept[version] = size
	}
}

// keptForOthers reports whether a runner is kept for a job ahead that is bound to its software version.
// The caller holds the lock.
func (p *Pool) keptForOthers(s *runners.State, w *Waiter) bool {
	size, ok := p.kept[s.Version]
	return ok && w.job.size() >= size
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
	defer p.unlock()
	all = len(p.waiting)
	for _, n := range p.peerWaiting {
		all += n
	}
	return len(p.waiting), all
}
