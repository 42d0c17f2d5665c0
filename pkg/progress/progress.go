// Package progress limits the time that a call may go on without progress, instead of its total time. A
// call with a long response is not aborted as long as parts of the response keep arriving.
//
// A limit on the total time fails when many processes share a link. All their calls time out
// together in the middle of their responses and are repeated, so that the link is filled with partial
// responses and no call ever completes.
package progress

import (
	"context"
	"io"
	"time"
)

// restartKey is the context key of the function that Note calls to restart the timer.
type restartKey struct{}

// idleContext is a context that ends after a time without progress.
type idleContext struct {
	context.Context
}

// Err implements context.Context. After the time limit without progress it returns
// context.DeadlineExceeded, as after a timeout.
func (s idleContext) Err() error { return context.Cause(s.Context) }

// WithIdleTimeout returns a context that ends with context.DeadlineExceeded when the
// time limit has passed without a call of Note.
func WithIdleTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	restart := func() {
		if inner.Err() == nil {
			timer.Reset(limit)
		}
	}
	stop := func() {
		cancel(context.Canceled)
		timer.Stop()
	}
	return idleContext{context.WithValue(inner, restartKey{}, restart)}, stop
}

// Note records that a part of a call's response arrived. It does nothing if ctx does not derive from
// WithIdleTimeout.
func Note(ctx context.Context) {
	if restart, ok := ctx.Value(restartKey{}).(func()); ok {
		restart()
	}
}

// reader calls Note after each read that returns data.
type reader struct {
	ctx context.Context
	in  io.Reader
}

// Reader returns a reader of a response that calls Note for each part read.
func Reader(ctx context.Context, in io.Reader) io.Reader { return &reader{ctx, in} }

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if n > 0 {
		Note(r.ctx)
	}
	return n, err
}
