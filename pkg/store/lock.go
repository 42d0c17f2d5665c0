package store

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
)

// Lock is a lock that one process at a time holds, stored as a key under a lease. The revision at
// which the key was created is the fence: it is higher than that of every earlier holder, including
// those before a restore of the store.
type Lock struct {
	Store Store
	Key   string
	// Holder identifies the process in the value of the key.
	Holder string
	// TTL is how long the lock outlives its last renewal.
	TTL time.Duration

	mu    sync.Mutex
	lease LeaseID
	fence Revision
	// since is when the lock was acquired, until is the time before which it is certainly held.
	// Both count from before the call that acquired or renewed the lock.
	since, until time.Time
}

// ErrHeld reports that another process holds the lock.
type ErrHeld struct {
	Key, Holder string
}

// Error implements error.
func (e *ErrHeld) Error() string { return "lock is held: key=" + e.Key + " holder=" + e.Holder }

// lockMarginDivisor sets the safety margin of a lease: its last TTL/lockMarginDivisor is not relied on.
const lockMarginDivisor = 5

// Held returns the fence and since when the lock has been held; false if it is not certainly held
// now. Times are by boottime: a lease expires while the machine is suspended.
func (l *Lock) Held(now time.Time) (fence Revision, since time.Time, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.since, !l.lease.None() && now.Before(l.until)
}

// Acquire tries to acquire the lock. It fails with *ErrHeld if another process holds it. A key without a lease is
// no lock: another writer wrote it, and nothing would ever remove it. It is replaced.
func (l *Lock) Acquire(ctx context.Context) error {
	began := boottime.Now()
	leased, err := l.put(ctx, 0)
	var conflict *ErrConflict
	if errors.As(err, &conflict) && len(conflict.Items) > 0 && slices.Contains(conflict.Unleased, l.Key) {
		leased, err = l.put(ctx, conflict.Items[0].Revision)
	}
	if errors.As(err, &conflict) && len(conflict.Items) > 0 {
		return &ErrHeld{Key: l.Key, Holder: string(conflict.Items[0].Value)}
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.fence, l.since, l.until = leased.Lease, leased.Revision, began, began.Add(leased.TTL-leased.TTL/lockMarginDivisor)
	return nil
}

// put writes the key under a new lease in place of its item at a revision, 0 for none.
func (l *Lock) put(ctx context.Context, replaces Revision) (Leased, error) {
	return PutLeased(ctx, l.Store, l.TTL, Change{If: []Condition{{Key: l.Key, Revision: replaces}}, Put: []Put{{Key: l.Key, Value: []byte(l.Holder)}}})
}

// Renew extends the lease of the lock. If the lease is over, the lock is lost at once.
func (l *Lock) Renew(ctx context.Context) error {
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	if lease.None() {
		return &ErrNoLease{}
	}
	began := boottime.Now()
	err := l.Store.Renew(ctx, lease)
	l.mu.Lock()
	defer l.mu.Unlock()
	var over *ErrNoLease
	if errors.As(err, &over) {
		l.lease = LeaseID{}
	}
	if err == nil && l.lease == lease {
		l.until = began.Add(l.TTL - l.TTL/lockMarginDivisor)
	}
	return err
}

// Release releases the lock.
func (l *Lock) Release(ctx context.Context) {
	l.mu.Lock()
	lease := l.lease
	l.lease = LeaseID{}
	l.mu.Unlock()
	if !lease.None() {
		_ = l.Store.End(ctx, lease)
	}
}
