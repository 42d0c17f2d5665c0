// Package progress bounds how long a call may be silent, rather than how long it may take: a long
// answer that keeps coming is not given up.
//
// A bound of the whole time ends all calls at once where many processes share a link. Each is cut off
// in the middle of its answer and asks again, the link is full of parts of answers, and none is ever
// whole.
package progress

import (
	"context"
	"io"
	"time"
)

// key is that of the function that Note calls.
type key struct{}

// silence is a context that ends when nothing was noted for a time.
type silence struct {
	context.Context
}

// Err implements context.Context: a call that was silent for too long ended like one that took too
// long.
func (s silence) Err() error { return context.Cause(s.Context) }

// Bound returns a context that ends once no progress was noted for a limit.
func Bound(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	noted := func() {
		if inner.Err() == nil {
			timer.Reset(limit)
		}
	}
	stop := func() {
		cancel(context.Canceled)
		timer.Stop()
	}
	return silence{context.WithValue(inner, key{}, noted)}, stop
}

// Note says that a part of the answer to a call came.
func Note(ctx context.Context) {
	if noted, ok := ctx.Value(key{}).(func()); ok {
		noted()
	}
}

// reader notes each part that is read.
type reader struct {
	ctx context.Context
	in  io.Reader
}

// Reader returns a reader of an answer that notes each part of it.
func Reader(ctx context.Context, in io.Reader) io.Reader { return &reader{ctx, in} }

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if n > 0 {
		Note(r.ctx)
	}
	return n, err
}
