// Package boottime tells the time by a steady clock that goes on while the machine is suspended.
//
// The clock by which time.Now measures spans stands still then: a lease that ran out, or keys that
// were taken away, look as fresh after some seconds of suspension as before. Whatever must not be
// believed longer than it holds is timed by this clock. Its times compare with each other; they
// are later than those of time.Now by the time that the machine was suspended since the
// process began.
package boottime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// noticed is by how much the time of day must move against the steady clock for the time
	// since boot to be read, which takes system calls: the time of day moves with each
	// suspension, and otherwise by adjustments, some 0.5 ms a second at most.
	noticed = time.Millisecond
	// apart is how far the steady clock may move while the clocks are read, and readings how
	// often they are read until it did not: the process may lose its processor in between.
	apart    = time.Millisecond
	readings = 5
)

// clocks are what a suspension is seen by.
type clocks struct {
	// now is time.Now.
	now func() time.Time
	// read returns a clock by its number.
	read func(id int32) (time.Duration, error)
}

// watch finds how long the machine was suspended. It is safe for concurrent use.
type watch struct {
	clocks
	began time.Time

	mu sync.Mutex
	// drift is the time of day less the steady clock when the clocks were read last.
	drift time.Duration
	// first is the time since boot less the steady clock at the beginning, if it is known, total
	// by how much it has grown since.
	first, total time.Duration
	known        bool
	// failed is set when a clock could not be read.
	failed error
}

var system = newWatch(clocks{now: time.Now, read: readClock})

func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, &ErrClock{ID: id, Err: err}
	}
	return time.Duration(t.Nano()), nil
}

func newWatch(c clocks) *watch {
	w := &watch{clocks: c, began: c.now()}
	w.first, w.failed = w.gap()
	w.known = w.failed == nil
	w.drift = w.driftAt(w.began)
	return w
}

// Now returns the time.
func Now() time.Time { return system.time() }

// Since returns how long ago a time was that Now returned.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Err returns why suspensions can't be seen on this machine, nil if they can.
func Err() error {
	system.mu.Lock()
	defer system.mu.Unlock()
	return system.failed
}

func (w *watch) time() time.Time {
	now := w.now()
	return now.Add(w.suspended(now))
}

// driftAt returns the time of day less the steady clock.
func (w *watch) driftAt(now time.Time) time.Duration {
	return now.Round(0).Sub(w.began.Round(0)) - now.Sub(w.began)
}

// suspended returns how long the machine was suspended until a moment.
func (w *watch) suspended(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	drift := w.driftAt(now)
	if (drift - w.drift).Abs() < noticed {
		return w.total
	}
	gap, err := w.gap()
	if w.failed = err; err != nil {
		return w.total
	}
	if !w.known {
		w.first, w.known = gap, true
	}
	w.drift, w.total = drift, max(w.total, gap-w.first)
	return w.total
}

// gap returns the time since boot less the steady clock, at least.
func (w *watch) gap() (time.Duration, error) {
	var gap time.Duration
	for range readings {
		before, err := w.read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		boot, err := w.read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := w.read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		if gap = boot - before; after-before <= apart {
			break
		}
	}
	return gap, nil
}
