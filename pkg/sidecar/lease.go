package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// errLapsed is the cause of a context whose lease ran out.
type errLapsed struct {
	Lease time.Duration
}

// Error implements error.
func (e *errLapsed) Error() string { return fmt.Sprintf("lease lapsed: lease=%s", e.Lease) }

// errCancelled is the cause of a context whose gateway cancelled the attempt.
type errCancelled struct{}

// Error implements error.
func (e *errCancelled) Error() string { return "attempt cancelled" }

// lease ends a context unless it is renewed in time. After a pause of the
// process a renewal that was waiting does not revive a lapsed lease.
type lease struct {
	length time.Duration
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu    sync.Mutex
	until time.Time
}

// newLease derives a context that ends when the lease does.
func newLease(parent context.Context, length time.Duration) (context.Context, *lease) {
	ctx, cancel := context.WithCancelCause(parent)
	l := &lease{length: length, cancel: cancel, until: time.Now().Add(length)}
	l.timer = time.AfterFunc(length, l.lapse)
	return ctx, l
}

func (l *lease) lapse() { l.cancel(&errLapsed{Lease: l.length}) }

// renew extends the lease from now on.
func (l *lease) renew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.After(l.until) {
		l.lapse()
		return
	}
	l.until = now.Add(l.length)
	l.timer.Reset(l.length)
}

// end stops the lease with a cause.
func (l *lease) end(cause error) {
	l.timer.Stop()
	l.cancel(cause)
}
