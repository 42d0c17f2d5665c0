package httpd

import (
	"fmt"
	"time"
)

const (
	// minProgress is the rate, in bytes per second, at which a client that sends a request is not overdue: that of a
	// poor mobile line.
	minProgress = 4 << 10
	// acceptedBonus is how much longer a connection may rest than another one if a request on it was accepted.
	// Clients keep such connections for their next request.
	acceptedBonus = 30 * time.Second
)

// ErrEvicted reports that a connection was ended to make room for a new one. No request was served on it then.
type ErrEvicted struct {
	// After is the time for which the gateway waited for the request, Received the number of bytes of it.
	After    time.Duration
	Received int64
	// Accepted is set if an earlier request on the connection was accepted.
	Accepted bool
}

// Error implements error.
func (e *ErrEvicted) Error() string {
	return fmt.Sprintf("connection evicted for a new one: waited=%s received=%d accepted_before=%t", e.After, e.Received, e.Accepted)
}

// mostOverdue returns the connection that has kept the gateway waiting for a request the longest; nil if requests are
// served on all. The caller holds the lock.
func (l *boundedListener) mostOverdue(now time.Time) (most *boundedConn) {
	var longest time.Duration
	for b := range l.open {
		if overdue, waiting := b.overdue(now); waiting && (most == nil || overdue > longest) {
			most, longest = b, overdue
		}
	}
	return most
}

// overdue returns for how long a connection has kept the gateway waiting for a request, less the time that what has
// arrived accounts for. It returns false while a request is served.
func (b *boundedConn) overdue(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	overdue := now.Sub(b.since) - time.Duration(float64(b.received)/minProgress*float64(time.Second))
	if b.accepted {
		overdue -= acceptedBonus
	}
	return overdue, !b.busy()
}

// busy reports whether a request is served that has arrived whole and was admitted. The caller holds the lock.
func (b *boundedConn) busy() bool { return b.arrived && b.admitted }

// evict marks a connection as evicted unless it is busy, and returns why. No request on it is served from then on.
func (b *boundedConn) evict(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy() {
		return nil
	}
	b.evicted = &ErrEvicted{After: now.Sub(b.since), Received: b.received, Accepted: b.accepted}
	b.rejected.Store(true)
	return b.evicted
}

// end ends an evicted connection. If a handler waits for the body of a request that it admitted, it gets an error and
// responds.
func (b *boundedConn) end() {
	b.mu.Lock()
	admitted := b.admitted
	b.mu.Unlock()
	if !admitted {
		_ = b.Close()
		return
	}
	_ = b.Conn.SetReadDeadline(time.Now())
}
