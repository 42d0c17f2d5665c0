package enginepool

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// Rank orders what waits and is equally urgent: the lower goes first.
type Rank int

// The ranks.
const (
	// Begun work has cost something already.
	Begun Rank = iota
	// Returning requests were refused once and come back as they were told.
	Returning
	// Fresh requests are asked for the first time.
	Fresh
	// Late requests can't be in time any more.
	Late
)

// Waiter is a job that waits for room on a decode runner.
type Waiter struct {
	job    Job
	rank   Rank
	serial uint64
	avoid  map[string]bool
	// prefer is the runner that is taken if it has room; may be empty.
	prefer string
	// granted receives the runner on which memory is reserved.
	granted chan *runners.State
	// lateAt is from when the job can't be in time; zero for never.
	lateAt time.Time
}

// LateFrom ranks a job last from a moment on. It must be called before Wait.
func (w *Waiter) LateFrom(at time.Time) { w.lateAt = at }

// ErrNoRoom reports that a job found no room on a decode runner in its time.
type ErrNoRoom struct {
	ID     string
	Waited time.Duration
	// Ahead is how many jobs were before it.
	Ahead int
}

// Error implements error.
func (e *ErrNoRoom) Error() string {
	return fmt.Sprintf("no room on any decode runner: request=%s waited=%s ahead=%d", e.ID, e.Waited, e.Ahead)
}

// Join queues a job. It must be left with Leave, and asked with Wait.
func (p *Pool) Join(j Job, rank Rank) *Waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serial++
	w := &Waiter{job: j, rank: rank, serial: p.serial, avoid: map[string]bool{}, granted: make(chan *runners.State, 1)}
	return w
}

// Avoid keeps a job away from a runner that failed it.
func (w *Waiter) Avoid(runner string) { w.avoid[runner] = true }

// Prefer takes a runner if it has room, whatever room others have.
func (w *Waiter) Prefer(runner string) { w.prefer = runner }

// Wait returns the decode runner on which memory is reserved for the job, once there
// is room. It fails with *ErrNoRoom at the end of the context.
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

// tier orders what no priority passes: work that has begun goes before all other, and what can't
// be in time any more behind it.
func (r Rank) tier() int {
	switch r {
	case Begun:
		return 0
	case Late:
		return 2
	}
	return 1
}

// before orders two waiters: within a tier the more urgent first, then those that return.
func before(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.rank.tier(), b.rank.tier()), cmp.Compare(a.job.Priority, b.job.Priority),
		cmp.Compare(a.rank, b.rank), cmp.Compare(a.serial, b.serial))
}

func (p *Pool) enqueue(w *Waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, _ := slices.BinarySearchFunc(p.waiting, w, before)
	p.waiting = slices.Insert(p.waiting, at, w)
}

// leave takes a waiter out. If it was granted a runner at the same moment, that
// is returned.
func (p *Pool) leave(w *Waiter) (int, *runners.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.waiting, w)
	if at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
		return at, nil
	}
	select {
	case s := <-w.granted:
		return 0, s
	default:
		return 0, nil
	}
}

// Dispatch reserves for those that wait, in order, where there is room. What does not
// fit does not hold up what does, but for the first one's sake nothing larger
// passes it.
func (p *Pool) Dispatch(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demote(now)
	left := p.waiting[:0]
	stuck := 0
	for _, w := range p.waiting {
		if stuck > 0 && w.job.size() >= stuck {
			left = append(left, w)
			continue
		}
		s := p.place(w, now)
		if s == nil {
			if stuck == 0 {
				stuck = w.job.size()
			}
			left = append(left, w)
			continue
		}
		w.granted <- s
	}
	clear(p.waiting[len(left):])
	p.waiting = left
}

// demote ranks those last that have become late. The caller holds the lock.
func (p *Pool) demote(now time.Time) {
	changed := false
	for _, w := range p.waiting {
		if w.rank != Late && !w.lateAt.IsZero() && now.After(w.lateAt) {
			w.rank = Late
			changed = true
		}
	}
	if changed {
		slices.SortStableFunc(p.waiting, before)
	}
}

// Waiting returns how many jobs wait here, and at all gateways that reported.
func (p *Pool) Waiting() (here, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all = len(p.waiting)
	for _, n := range p.others {
		all += n
	}
	return len(p.waiting), all
}
