package sidecar

import (
	"context"
	"sync/atomic"
	"time"
)

// stallWatch cancels a context unless done is called in time.
type stallWatch struct {
	timer   *time.Timer
	expired atomic.Bool
}

// stallContext derives a context that ends after limit unless done is called.
func stallContext(parent context.Context, limit time.Duration) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancel(parent)
	w := &stallWatch{}
	w.timer = time.AfterFunc(limit, func() {
		w.expired.Store(true)
		cancel()
	})
	return ctx, w
}

// done stops the watch.
func (w *stallWatch) done() { w.timer.Stop() }

// fired stops the watch and reports whether the limit passed before done was
// called.
func (w *stallWatch) fired() bool {
	w.timer.Stop()
	return w.expired.Load()
}
