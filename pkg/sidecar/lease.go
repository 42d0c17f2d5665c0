package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// errLeaseExpired is the cause of a context whose lease expired.
type errLeaseExpired struct {
	Lease time.Duration
}

// Error implements error.
func (e *errLeaseExpired) Error() string { return fmt.Sprintf("lease lapsed: lease=%s", e.Lease) }

// errCancelled is the cause of a context whose gateway cancelled the attempt.
type errCancelled struct{}

// Error implements error.
func (e *errCancelled) Error() string { return "attempt cancelled" }

// lease cancels a context unless it is renewed in time. If the process was
// suspended beyond the expiry, a renewal that arrived meanwhile does not revive
// the lease.
type lease struct {
	length time.Duration
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu      sync.Mutex
	expires time.Time
}

// newLease derives a context that is cancelled when the lease expires or is
// ended.
func newLease(parent context.Context, length time.Duration) (context.Context, *lease) {
	ctx, cancel := context.WithCancelCause(parent)
	l := &lease{length: length, cancel: cancel, expires: time.Now().Add(length)}
	l.timer = time.AfterFunc(length, l.lapse)
	return ctx, l
}

func (l *lease) lapse() { l.cancel(&errLeaseExpired{Lease: l.length}) }

// renew extends the lease to its full length from now, unless it has expired.
func (l *lease) renew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.After(l.expires) {
		l.lapse()
		return
	}
	l.expires = now.Add(l.length)
	l.timer.Reset(l.length)
}

// end ends the lease and cancels its context with a cause.
func (l *lease) end(cause error) {
	l.timer.Stop()
	l.cancel(cause)
}
