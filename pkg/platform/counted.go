package platform

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// CountedKV counts the calls to a key-value service, whose rates are limited.
type CountedKV struct {
	kv                     KV
	gets, swaps, watches   *metrics.Counter
	failures, lostConflict *metrics.Counter
}

// NewCountedKV counts the calls to kv in a set of metrics.
func NewCountedKV(kv KV, set *metrics.Set) *CountedKV {
	return &CountedKV{
		kv:           kv,
		gets:         set.NewCounter(`hopwell_kv_calls_total{op="get"}`),
		swaps:        set.NewCounter(`hopwell_kv_calls_total{op="swap"}`),
		watches:      set.NewCounter(`hopwell_kv_calls_total{op="watch"}`),
		failures:     set.NewCounter("hopwell_kv_failures_total"),
		lostConflict: set.NewCounter("hopwell_kv_conflicts_total"),
	}
}

// note counts how a call ended and passes its error on.
func (c *CountedKV) note(err error) error {
	switch {
	case err == nil:
	case IsConflict(err):
		c.lostConflict.Inc()
	default:
		c.failures.Inc()
	}
	return err
}

// Get implements KV.
func (c *CountedKV) Get(ctx context.Context, key string) (Value, error) {
	c.gets.Inc()
	v, err := c.kv.Get(ctx, key)
	return v, c.note(err)
}

// Swap implements KV.
func (c *CountedKV) Swap(ctx context.Context, key string, version uint64, data []byte, ttl time.Duration) (uint64, error) {
	c.swaps.Inc()
	v, err := c.kv.Swap(ctx, key, version, data, ttl)
	return v, c.note(err)
}

// Watch implements KV.
func (c *CountedKV) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	c.watches.Inc()
	v, err := c.kv.Watch(ctx, key, after, wait)
	return v, c.note(err)
}
