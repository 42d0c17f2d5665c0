// Package fake provides in-memory fakes of the platform and of runners. They
// keep their own records, which tests compare with what hopwell reports.
package fake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/platform"
)

// errOutage is the cause wrapped in the errors of a service that is down.
var errOutage = errors.New("outage")

// KV is an in-memory key-value service.
type KV struct {
	// Delay is added to each Get and Swap.
	Delay time.Duration

	mu              sync.Mutex
	values          map[string]platform.Value
	changed         chan struct{}
	down            bool
	responsesToLose int
	reads           int
	writes          int
}

// NewKV returns an empty service.
func NewKV() *KV {
	return &KV{values: map[string]platform.Value{}, changed: make(chan struct{})}
}

// SetDown starts or ends an outage.
func (k *KV) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
	k.wakeWatches()
}

// LoseAnswers makes the next n successful writes return an error although they
// took effect.
func (k *KV) LoseAnswers(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.responsesToLose = n
}

// Calls returns the number of reads and writes so far, including those that
// failed in an outage.
func (k *KV) Calls() (reads, writes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reads, k.writes
}

// wakeWatches makes all waiting watches check their value again. The caller holds
// the lock.
func (k *KV) wakeWatches() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func unavailable(op string) error {
	return &platform.ErrUnavailable{Service: "kv", Op: op, Err: errOutage}
}

// Get implements platform.KV.
func (k *KV) Get(ctx context.Context, key string) (platform.Value, error) {
	if err := sleep(ctx, k.Delay); err != nil {
		return platform.Value{}, &platform.ErrUnavailable{Service: "kv", Op: "get", Err: err}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	if k.down {
		return platform.Value{}, unavailable("get")
	}
	return k.values[key], nil
}

// Swap implements platform.KV.
func (k *KV) Swap(ctx context.Context, key string, version uint64, data []byte, ttl time.Duration) (uint64, error) {
	if len(data) > platform.MaxValue {
		return 0, &platform.ErrTooLarge{Key: key, Size: len(data)}
	}
	if err := sleep(ctx, k.Delay); err != nil {
		return 0, &platform.ErrUnavailable{Service: "kv", Op: "swap", Err: err}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writes++
	if k.down {
		return 0, unavailable("swap")
	}
	have := k.values[key]
	if have.Version != version {
		return 0, &platform.ErrConflict{Key: key, Want: version, Have: have.Version}
	}
	next := platform.Value{Version: version + 1, Data: append([]byte(nil), data...)}
	k.values[key] = next
	if ttl > 0 {
		time.AfterFunc(ttl, func() { k.expire(key, next.Version) })
	}
	k.wakeWatches()
	if k.responsesToLose > 0 {
		k.responsesToLose--
		return 0, unavailable("swap")
	}
	return next.Version, nil
}

// expire deletes a value whose TTL has passed, unless it was written again.
func (k *KV) expire(key string, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.values[key].Version == version {
		delete(k.values, key)
	}
}

// Watch implements platform.KV.
func (k *KV) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Value, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	k.mu.Lock()
	k.reads++
	k.mu.Unlock()
	for {
		k.mu.Lock()
		v, down, changed := k.values[key], k.down, k.changed
		k.mu.Unlock()
		if down {
			return platform.Value{}, unavailable("watch")
		}
		if v.Version > after {
			return v, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return v, nil
		case <-ctx.Done():
			return platform.Value{}, &platform.ErrUnavailable{Service: "kv", Op: "watch", Err: ctx.Err()}
		}
	}
}

// sleep waits until d has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
