package sidecar

import (
	"context"
	"sync/atomic"
	"time"
)

// stallWatch cancels a context unless it is told in time that all is well.
type stallWatch struct {
	timer *time.Timer
	cut   atomic.Bool
}

// stallContext derives a context that ends after limit unless done is called.
func stallContext(parent context.Context, limit time.Duration) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancel(parent)
	w := &stallWatch{}
	w.timer = time.AfterFunc(limit, func() {
		w.cut.Store(true)
		cancel()
	})
	return ctx, w
}

// done ends the watch.
func (w *stallWatch) done() { w.timer.Stop() }

// fired reports whether the limit passed first.
func (w *stallWatch) fired() bool {
	w.timer.Stop()
	return w.cut.Load()
}
