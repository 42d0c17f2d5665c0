package platform

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// CountedKV wraps a KV and counts its calls, failures and conflicts in metrics.
// The calls are counted because the key-value service limits their rates.
type CountedKV struct {
	kv                   KV
	gets, swaps, watches *metrics.Counter
	failures, conflicts  *metrics.Counter
}

// NewCountedKV wraps kv and registers its counters in set.
func NewCountedKV(kv KV, set *metrics.Set) *CountedKV {
	return &CountedKV{
		kv:        kv,
		gets:      set.NewCounter(`hopwell_kv_calls_total{op="get"}`),
		swaps:     set.NewCounter(`hopwell_kv_calls_total{op="swap"}`),
		watches:   set.NewCounter(`hopwell_kv_calls_total{op="watch"}`),
		failures:  set.NewCounter("hopwell_kv_failures_total"),
		conflicts: set.NewCounter("hopwell_kv_conflicts_total"),
	}
}

// countResult counts a conflict or a failure of a call and returns its error
// unchanged.
func (c *CountedKV) countResult(err error) error {
	switch {
	case err == nil:
	case IsConflict(err):
		c.conflicts.Inc()
	default:
		c.failures.Inc()
	}
	return err
}

// Get implements KV.
func (c *CountedKV) Get(ctx context.Context, key string) (Value, error) {
	c.gets.Inc()
	v, err := c.kv.Get(ctx, key)
	return v, c.countResult(err)
}

// Swap implements KV.
func (c *CountedKV) Swap(ctx context.Context, key string, version uint64, data []byte, ttl time.Duration) (uint64, error) {
	c.swaps.Inc()
	v, err := c.kv.Swap(ctx, key, version, data, ttl)
	return v, c.countResult(err)
}

// Watch implements KV.
func (c *CountedKV) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	c.watches.Inc()
	v, err := c.kv.Watch(ctx, key, after, wait)
	return v, c.countResult(err)
}
