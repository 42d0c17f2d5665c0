package fake

import (
	"context"
	"sync"

	"golang.org/x/time/rate"

	"github.com/hopwell/hopwell/pkg/platform"
)

// Weights is a fake weight store with a rate limit.
type Weights struct {
	limit *rate.Limiter

	mu      sync.Mutex
	fetches int
}

// NewWeights returns a store that allows perSecond fetches per second, without
// bursts.
func NewWeights(perSecond float64) *Weights {
	return &Weights{limit: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// Fetches returns the number of fetches that were allowed.
func (w *Weights) Fetches() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fetches
}

// Fetch implements platform.Weights.
func (w *Weights) Fetch(context.Context, string, string, string) error {
	r := w.limit.Reserve()
	if d := r.Delay(); d > 0 {
		r.Cancel()
		return &platform.ErrThrottled{RetryAfter: d}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fetches++
	return nil
}
