// Package boottime provides a monotonic clock that keeps running while the machine is suspended.
//
// During a suspension the monotonic clock of time.Now stands still: a lease that expired, or API
// keys that were revoked, look as fresh after some seconds of suspension as before. Whatever must
// not be relied on for longer than it is valid is timed by this clock. Its times can be compared
// with each other. They are later than those of time.Now by the time that the machine was suspended
// since the process started.
package boottime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// The time since boot is read, which takes system calls, only after the wall clock moved by
	// driftThreshold against the monotonic clock. The wall clock moves with each suspension.
	// Otherwise it moves by adjustments of about 0.5 ms a second at most, and by steps, which only
	// cost a read.
	driftThreshold = time.Millisecond
	// maxReadTime is how far the monotonic clock may advance while the clocks are read: the process
	// may lose its CPU in between. maxReadings is the maximum number of attempts until one takes at
	// most maxReadTime.
	maxReadTime = time.Millisecond
	maxReadings = 5
)

// clocks are the clocks from which suspensions are detected.
type clocks struct {
	// now is time.Now.
	now func() time.Time
	// read returns the time of a clock by its ID.
	read func(id int32) (time.Duration, error)
}

// clock measures how long the machine was suspended. It is safe for concurrent use.
type clock struct {
	clocks
	start time.Time

	mu sync.Mutex
	// lastDrift is the result of driftAt when the clocks were last read.
	lastDrift time.Duration
	// suspendedAtStart is the time since boot minus the monotonic clock at the start, if startKnown is
	// set. suspendedTotal is by how much that difference has grown since.
	suspendedAtStart, suspendedTotal time.Duration
	startKnown                       bool
	// readErr is the error of the last read of the clocks.
	readErr error
}

var systemClock = newClock(clocks{now: time.Now, read: readClock})

func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, &ErrClock{ID: id, Err: err}
	}
	return time.Duration(t.Nano()), nil
}

func newClock(sources clocks) *clock {
	c := &clock{clocks: sources, start: sources.now()}
	c.suspendedAtStart, c.readErr = c.suspendedSinceBoot()
	c.startKnown = c.readErr == nil
	c.lastDrift = c.driftAt(c.start)
	return c
}

// Now returns the current time of this clock.
func Now() time.Time { return systemClock.time() }

// Since returns the time elapsed since t, which Now returned.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Err returns why suspensions can't be detected on this machine, nil if they can.
func Err() error {
	systemClock.mu.Lock()
	defer systemClock.mu.Unlock()
	return systemClock.readErr
}

func (c *clock) time() time.Time {
	now := c.now()
	return now.Add(c.suspended(now))
}

// driftAt returns by how much the wall clock has moved against the monotonic clock since the start.
func (c *clock) driftAt(now time.Time) time.Duration {
	return now.Round(0).Sub(c.start.Round(0)) - now.Sub(c.start)
}

// suspended returns how long the machine was suspended between the start and now.
func (c *clock) suspended(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	drift := c.driftAt(now)
	if (drift - c.lastDrift).Abs() < driftThreshold {
		return c.suspendedTotal
	}
	offset, err := c.suspendedSinceBoot()
	if c.readErr = err; err != nil {
		return c.suspendedTotal
	}
	if !c.startKnown {
		c.suspendedAtStart, c.startKnown = offset, true
	}
	c.lastDrift, c.suspendedTotal = drift, max(c.suspendedTotal, offset-c.suspendedAtStart)
	return c.suspendedTotal
}

// suspendedSinceBoot returns the time since boot minus the monotonic clock. The result is too large
// by the time between the first two reads.
func (c *clock) suspendedSinceBoot() (time.Duration, error) {
	var offset time.Duration
	for range maxReadings {
		before, err := c.read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		boot, err := c.read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := c.read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		if offset = boot - before; after-before <= maxReadTime {
			break
		}
	}
	return offset, nil
}
