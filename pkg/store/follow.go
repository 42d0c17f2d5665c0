package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/progress"
)

const (
	// watchWait is how long a watch waits for a change. It is short, since a connection that was cut
	// off silently is detected only when the watch ends.
	watchWait = 3 * time.Second
	// callMargin is the time that a call may take beyond the wait that it requests.
	callMargin = 700 * time.Millisecond
	// probeTimeout bounds the first call. After each failed call the bound of the next one is
	// raised, up to maxProbeTimeout; a success resets it. probeTimeout is short, since a call to a
	// silent store never gets a response, even when the store is back. In a full read the bound is
	// for the time without data while the response is received.
	probeTimeout    = 400 * time.Millisecond
	maxProbeTimeout = 2500 * time.Millisecond
	// maxRangeTime bounds a full read: the state that it returns is as old as the read took.
	maxRangeTime = 30 * time.Second
	// probeWait is how long a watch waits that only checks whether the store responds.
	probeWait = time.Millisecond
	// maxUnanswered is the number of watches in a row that get no whole answer in time, after which the liveness
	// of the store is checked first. It may be silent, or need longer for the changes that have accumulated.
	maxUnanswered = 2
	// liveWatchTime bounds a watch right after the store proved to be live. It is twice maxProbeTimeout, since a
	// store that falls silent meanwhile is noticed only at its end.
	liveWatchTime = 2 * maxProbeTimeout
	// maxTransferTime bounds how much longer a watch may take while its response arrives, as after a time in which
	// much has changed: cut off, it would begin anew.
	maxTransferTime = maxProbeTimeout
	// partBytes is the size of the values from which on the response to a watch may be a part of the changes, so that
	// the next watch is not delayed.
	partBytes = 128 << 10
	// minRetryDelay and maxRetryDelay are the shortest and the longest delay after a failed call,
	// before jitter.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Follower follows the changes below a key prefix of a store.
type Follower struct {
	Store  Store
	Prefix string
	// LivenessPrefix is a prefix with few items. They are read to learn whether a store responds that left
	// watches unanswered.
	LivenessPrefix string
	// BatchDelay returns how long to batch changes after some have arrived, before the next watch; nil
	// disables batching. The first change after a quiet time is delivered at once. After large changes the next watch
	// follows at once: a store may cut its responses into pieces.
	BatchDelay func() time.Duration
	// Relayed, if set, blocks for as long as relays deliver the changes. It returns the revision
	// that they reached, 0 for none, and how long the next watch may wait for a change, 0 for the
	// default.
	Relayed func(ctx context.Context) (at Revision, wait time.Duration)
	// CatchUp, if set, waits for relays to deliver the changes after a revision that are missing
	// from the store's history. It returns the revision that they reached, 0 if a full read is
	// needed.
	CatchUp func(ctx context.Context, after Revision) Revision
	// Reset receives a full read. Apply receives the result of each watch, also an empty one.
	// Revisions never decrease from call to call. Reset rejects a read that is older than what
	// relays have delivered.
	Reset func(items []Item, at Revision) error
	Apply func(events []Event, at Revision)
	// Confirmed, if set, is called after each full read or watch with the time, by boottime, at
	// which it was requested. All changes up to that time were received, however late the response
	// was read.
	Confirmed func(asked time.Time)
	// Rejected, if set, is called with the error of a full read that is rejected because it is
	// older than the state reached.
	Rejected func(err *ErrOld)
	// Failed, if set, is called with the error of each call that fails while the store is lost already.
	Failed func(err error)
	// Lost is called when the store stops responding, Regained when it responds again; after is the
	// length of the outage.
	Lost     func(err error)
	Regained func(after time.Duration)
}

// position is the progress of a follower.
type position struct {
	at    Revision
	known bool
	// compacted is set when the history after at is gone, so that a full read is needed.
	compacted bool
	// lostAt is when the store stopped responding; zero while it responds.
	lostAt time.Time
	// unanswered is the number of watches in a row that got no whole answer in time.
	unanswered int
	// timeout bounds the next call, retryDelay is the delay before it.
	timeout, retryDelay time.Duration
}

// Run follows the prefix until the context ends.
func (f *Follower) Run(ctx context.Context) {
	p := position{timeout: probeTimeout, retryDelay: minRetryDelay}
	reachable := false
	for ctx.Err() == nil {
		next, changed, err := f.step(ctx, &p, reachable)
		if ctx.Err() != nil {
			return
		}
		if reachable = err == nil; reachable {
			f.recordSuccess(&p, next)
			if changed && f.BatchDelay != nil {
				sleep(ctx, f.BatchDelay())
			}
			continue
		}
		f.recordFailure(ctx, &p, err)
	}
}

// recordSuccess records a successful call.
func (f *Follower) recordSuccess(p *position, next Revision) {
	p.at, p.known, p.compacted, p.unanswered, p.timeout, p.retryDelay = next, true, false, 0, probeTimeout, minRetryDelay
	if !p.lostAt.IsZero() {
		f.Regained(time.Since(p.lostAt))
		p.lostAt = time.Time{}
	}
}

// recordFailure records a failed call and waits before the next one, except after a compaction.
func (f *Follower) recordFailure(ctx context.Context, p *position, err error) {
	var compacted *ErrCompacted
	if errors.As(err, &compacted) {
		p.known, p.compacted = false, true
		return
	}
	if p.lostAt.IsZero() {
		p.lostAt = time.Now()
		f.Lost(err)
	} else if f.Failed != nil {
		f.Failed(err)
	}
	var large *memory.ErrTooLarge
	if errors.As(err, &large) || p.unanswered > maxUnanswered {
		// The same call would fail again; a full read has pages, and lasts as long as they arrive.
		p.known, p.compacted = false, true
	}
	sleep(ctx, p.retryDelay/2+time.Duration(rand.Int64N(int64(p.retryDelay))))
	p.retryDelay = min(2*p.retryDelay, maxRetryDelay)
	p.timeout = min(3*p.timeout/2, maxProbeTimeout)
}

// step reads the full prefix, or waits for its next changes. If reachable is not set, it requests
// only the changes that exist already. It returns the revision reached, and whether there were
// changes after which others may be batched.
func (f *Follower) step(ctx context.Context, p *position, reachable bool) (next Revision, changed bool, err error) {
	if p.compacted && f.CatchUp != nil {
		if at := f.CatchUp(ctx, p.at); at > 0 {
			p.at, p.known, p.compacted = at, true, false
		}
	}
	var wait time.Duration
	if f.Relayed != nil && !p.compacted {
		var at Revision
		at, wait = f.Relayed(ctx)
		p.at, p.known = max(p.at, at), p.known || at > 0
	}
	if !p.known {
		next, err = f.readAll(ctx, p)
		return next, false, err
	}
	if wait == 0 {
		wait = watchWait
	}
	limit := wait + callMargin
	if !reachable {
		wait, limit = probeWait, p.timeout
	}
	if p.unanswered >= maxUnanswered {
		if err := f.checkLiveness(ctx, p.timeout); err != nil {
			return 0, false, err
		}
		limit = liveWatchTime
	}
	return f.watch(ctx, p, wait, limit)
}

// watch waits for changes, at most for a limit, or maxTransferTime longer while they arrive. Its results are those of
// step.
func (f *Follower) watch(ctx context.Context, p *position, wait, limit time.Duration) (next Revision, changed bool, err error) {
	ctx, end := context.WithTimeout(ctx, limit+maxTransferTime)
	defer end()
	ctx, cancel := progress.WithIdleTimeout(ctx, limit)
	defer cancel()
	asked := boottime.Now()
	events, next, err := f.Store.Watch(ctx, f.Prefix, p.at, wait)
	if err != nil {
		if p.unanswered++; !errors.Is(err, context.DeadlineExceeded) {
			p.unanswered = 0
		}
		return 0, false, err
	}
	f.Apply(events, next)
	f.confirm(asked)
	return max(p.at, next), len(events) > 0 && valueBytes(events) < partBytes, nil
}

// valueBytes returns the size of the values in events, in bytes.
func valueBytes(events []Event) (size int) {
	for i := range events {
		size += len(events[i].Value) + events[i].LeftOut
	}
	return size
}

// checkLiveness reads little from the store, to learn whether it responds.
func (f *Follower) checkLiveness(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, _, err := f.Store.Range(ctx, f.LivenessPrefix)
	return err
}

// readAll reads the full prefix.
func (f *Follower) readAll(ctx context.Context, p *position) (Revision, error) {
	ctx, end := context.WithTimeout(ctx, maxRangeTime)
	defer end()
	ctx, cancel := progress.WithIdleTimeout(ctx, p.timeout)
	defer cancel()
	asked := boottime.Now()
	items, next, err := f.Store.Range(ctx, f.Prefix)
	if err != nil {
		return 0, err
	}
	if next < p.at {
		err = &ErrOld{Have: p.at, Got: next}
	} else {
		err = f.Reset(items, next)
	}
	if err != nil {
		var old *ErrOld
		if f.Rejected != nil && errors.As(err, &old) {
			f.Rejected(old)
		}
		return 0, &ErrUnavailable{Call: "range", Err: err}
	}
	f.confirm(asked)
	return next, nil
}

func (f *Follower) confirm(asked time.Time) {
	if f.Confirmed != nil {
		f.Confirmed(asked)
	}
}

// ErrOld reports that a full read is older than the state reached.
type ErrOld struct {
	Have, Got Revision
}

// Error implements error.
func (e *ErrOld) Error() string {
	return fmt.Sprintf("full read is older than the state reached: have=%s got=%s", e.Have, e.Got)
}

// sleep waits for d, or less if the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
