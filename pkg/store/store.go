// Package store defines what hopwell needs of a platform's key-value store with revisions,
// transactions, leases and watches over prefixes. Its Follower follows a prefix through outages,
// compactions and restores of the store.
package store

import (
	"context"
	"fmt"
	"time"
)

// Item is one key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change, Made that of the creation.
	Revision, Made Revision
}

// Event is one change of a key.
type Event struct {
	Item
	// Removed is set when the key was removed; Value is then empty.
	Removed bool
	// LeftOut is the size in bytes of a value that was read and not kept. Removed is then set too.
	LeftOut int
}

// Put writes one key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Condition must hold for a change to be committed: the last change of the key has this revision,
// or the key does not exist if Revision is 0.
type Condition struct {
	Key      string
	Revision Revision
}

// MaxEntries is the maximum number of conditions, keys to write and keys to remove in one change,
// counted together: the platform's store rejects more.
const MaxEntries = 32

// Change is applied atomically, if all conditions hold.
type Change struct {
	If     []Condition
	Put    []Put
	Remove []string
}

// Store is the platform's key-value store.
//
// Calls fail with *ErrUnavailable, after which a change may or may not have been made, or may still
// be made; with *ErrConflict when a condition does not hold; with *ErrCompacted when a watch
// requests history that is gone, also because the store was restored from an older backup; and with
// *ErrNoLease when a lease has expired or was ended. All leases end with the era in which they were
// granted.
type Store interface {
	// Range returns all items below a prefix and a revision after which a watch misses no change.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits for changes below a prefix after a revision and returns them with the revision to
	// resume from. Without any change it returns after wait.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Commit applies a change and returns its revision.
	Commit(ctx context.Context, c Change) (Revision, error)
	// Grant creates a lease that lasts ttl from when the store received the call. It returns the
	// lease with its time to live, which may differ from ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew restarts the time to live of a lease.
	Renew(ctx context.Context, id LeaseID) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, id LeaseID) error
}

// ErrUnavailable reports that the store did not respond, or that it cannot serve.
type ErrUnavailable struct {
	Call   string
	Status int
	Err    error
}

// Error implements error.
func (e *ErrUnavailable) Error() string {
	return fmt.Sprintf("store unavailable: call=%s status=%d cause=%v", e.Call, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Err }

// ErrConflict reports that a condition of a change does not hold.
type ErrConflict struct {
	// Items are the current items of the keys in the conditions.
	Items []Item
	// Unleased are the keys of those that no lease binds.
	Unleased []string
}

// Error implements error.
func (e *ErrConflict) Error() string { return fmt.Sprintf("conflict: keys=%d", len(e.Items)) }

// ErrCompacted reports that the requested history is gone.
type ErrCompacted struct {
	After Revision
}

// Error implements error.
func (e *ErrCompacted) Error() string { return fmt.Sprintf("history compacted: after=%s", e.After) }

// ErrNoLease reports that a lease has expired or was ended.
type ErrNoLease struct {
	ID LeaseID
}

// Error implements error.
func (e *ErrNoLease) Error() string { return fmt.Sprintf("no such lease: id=%s", e.ID) }
