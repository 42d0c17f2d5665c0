package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// watchWait is how long a watch waits for a change. It is short, since a
	// connection that was cut off silently shows only by its end.
	watchWait = 2 * time.Second
	// callMargin is how much longer than asked a call may take.
	callMargin = 700 * time.Millisecond
	// rangeTime bounds a whole reading.
	rangeTime = 2500 * time.Millisecond
	// firstPause and longestPause are the times between failed calls.
	firstPause   = 100 * time.Millisecond
	longestPause = 600 * time.Millisecond
)

// Follower keeps up with a prefix of a store.
type Follower struct {
	Store  Store
	Prefix string
	// Gather is how long changes are let come together between two watches.
	Gather time.Duration
	// Reset takes a whole reading, Apply single changes. Both get what the
	// store holds now or held later than what they got before.
	Reset func(items []Item, at uint64)
	Apply func(events []Event, at uint64)
	// Lost and Regained are called when the store stops and starts to answer.
	Lost     func(err error)
	Regained func(after time.Duration)
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var at uint64
	known := false
	var lostAt time.Time
	pause := firstPause
	for ctx.Err() == nil {
		next, err := f.step(ctx, at, known)
		if err == nil {
			at, known, pause = next, true, firstPause
			if !lostAt.IsZero() {
				f.Regained(time.Since(lostAt))
				lostAt = time.Time{}
			}
			rest(ctx, f.Gather)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		var compacted *ErrCompacted
		if errors.As(err, &compacted) {
			known = false
			continue
		}
		if lostAt.IsZero() {
			lostAt = time.Now()
			f.Lost(err)
		}
		rest(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
		pause = min(2*pause, longestPause)
	}
}

// step reads the whole prefix, or waits for its next changes.
func (f *Follower) step(ctx context.Context, at uint64, known bool) (uint64, error) {
	if !known {
		ctx, cancel := context.WithTimeout(ctx, rangeTime)
		defer cancel()
		items, next, err := f.Store.Range(ctx, f.Prefix)
		if err != nil {
			return 0, err
		}
		if next < at {
			return 0, &ErrUnavailable{Call: "range", Err: &ErrOld{Have: at, Got: next}}
		}
		f.Reset(items, next)
		return next, nil
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+callMargin)
	defer cancel()
	events, next, err := f.Store.Watch(ctx, f.Prefix, at, watchWait)
	if err != nil {
		return 0, err
	}
	if len(events) > 0 {
		f.Apply(events, next)
	}
	return max(at, next), nil
}

// ErrOld says that an answer is older than what is known.
type ErrOld struct {
	Have, Got uint64
}

// Error implements error.
func (e *ErrOld) Error() string { return "older than what is known" }

// rest waits, less if the context ends.
func rest(ctx context.Context, d time.Duration) {
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
