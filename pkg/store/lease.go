package store

import (
	"context"
	"fmt"
	"time"
)

// LeaseID identifies a lease; the zero value is none. It includes the era of the grant, since a
// restored store reuses lease numbers.
type LeaseID struct {
	Era, Number uint64
}

// None reports whether l is the zero value.
func (l LeaseID) None() bool { return l == LeaseID{} }

// String returns ERA.NUMBER.
func (l LeaseID) String() string { return fmt.Sprintf("%d.%d", l.Era, l.Number) }

// Leased is the result of PutLeased.
type Leased struct {
	Lease LeaseID
	// TTL is the lease's time to live, from the grant.
	TTL      time.Duration
	Revision Revision
}

// PutLeased commits a change whose keys are bound to a new lease. If the commit fails, the lease is
// ended, since the store may have applied the change. If the store was restored between the two
// calls, it may have bound the keys to another process's lease; they are removed and *ErrNoLease is
// returned.
func PutLeased(ctx context.Context, s Store, ttl time.Duration, c Change) (Leased, error) {
	lease, ttl, err := s.Grant(ctx, ttl)
	if err != nil {
		return Leased{}, err
	}
	for i := range c.Put {
		c.Put[i].Lease = lease
	}
	revision, err := s.Commit(ctx, c)
	if err != nil {
		_ = s.End(ctx, lease)
		return Leased{}, err
	}
	if revision.Era() != lease.Era {
		return Leased{}, removeMisbound(ctx, s, c.Put, revision, lease)
	}
	return Leased{Lease: lease, TTL: ttl, Revision: revision}, nil
}

// removeMisbound removes keys that were written at a revision, unless they have changed since, and
// returns *ErrNoLease.
func removeMisbound(ctx context.Context, s Store, puts []Put, at Revision, lease LeaseID) error {
	var undo Change
	for _, p := range puts {
		undo.If = append(undo.If, Condition{Key: p.Key, Revision: at})
		undo.Remove = append(undo.Remove, p.Key)
	}
	if _, err := s.Commit(ctx, undo); err != nil {
		return err
	}
	return &ErrNoLease{ID: lease}
}
