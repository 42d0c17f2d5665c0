package store

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/boottime"
)

// fakeStore is a store whose responses the test sets.
type fakeStore struct {
	ranges  func() ([]Item, Revision, error)
	watches func(after Revision, wait time.Duration) ([]Event, Revision, error)
	commit  func(Change) (Revision, error)
	renew   func() error
	granted int
	ended   []LeaseID
}

func (s *fakeStore) Range(ctx context.Context, _ string) ([]Item, Revision, error) {
	if s.ranges == nil {
		<-ctx.Done()
		return nil, 0, &ErrUnavailable{Err: ctx.Err()}
	}
	return s.ranges()
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	if s.watches == nil {
		<-ctx.Done()
		return nil, 0, &ErrUnavailable{Err: ctx.Err()}
	}
	return s.watches(after, wait)
}

func (s *fakeStore) Commit(_ context.Context, c Change) (Revision, error) { return s.commit(c) }

func (s *fakeStore) Grant(context.Context, time.Duration) (LeaseID, time.Duration, error) {
	s.granted++
	return LeaseID{Number: uint64(s.granted)}, 3 * time.Second, nil
}

func (s *fakeStore) Renew(context.Context, LeaseID) error { return s.renew() }

func (s *fakeStore) End(_ context.Context, id LeaseID) error {
	s.ended = append(s.ended, id)
	return nil
}

// recorder records the callbacks of a follower.
type recorder struct {
	resets, applies []Revision
	lost, regained  int
}

func (s *recorder) follower(store Store) *Follower {
	return &Follower{
		Store: store, Prefix: "p/",
		Reset:    func(_ []Item, at Revision) error { s.resets = append(s.resets, at); return nil },
		Apply:    func(_ []Event, at Revision) { s.applies = append(s.applies, at) },
		Lost:     func(error) { s.lost++ },
		Regained: func(time.Duration) { s.regained++ },
	}
}

func run(t *testing.T, f *Follower, limit time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	f.Run(ctx)
}

func TestFollowerResumesWatchAtLastRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var asked []Revision
		s := &fakeStore{ranges: func() ([]Item, Revision, error) { return nil, 7, nil }}
		s.watches = func(after Revision, wait time.Duration) ([]Event, Revision, error) {
			asked = append(asked, after)
			time.Sleep(wait)
			return []Event{{}}, after + 1, nil
		}
		var got recorder
		run(t, got.follower(s), 3*watchWait+watchWait/2)
		g.Expect(got.resets).To(Equal([]Revision{7}))
		g.Expect(asked).To(Equal([]Revision{7, 8, 9, 10}))
		g.Expect(got.lost).To(BeZero())
	})
}

func TestFollowerRereadsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		at := Revision(5)
		s := &fakeStore{ranges: func() ([]Item, Revision, error) { at += 10; return nil, at, nil }}
		s.watches = func(after Revision, _ time.Duration) ([]Event, Revision, error) {
			time.Sleep(time.Second)
			return nil, 0, &ErrCompacted{After: after}
		}
		var got recorder
		run(t, got.follower(s), 2500*time.Millisecond)
		g.Expect(got.resets).To(Equal([]Revision{15, 25, 35}))
	})
}

func TestFollowerRejectsOlderReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		at := []Revision{50, 20, 60}
		s := &fakeStore{ranges: func() ([]Item, Revision, error) { next := at[0]; at = at[1:]; return nil, next, nil }}
		s.watches = func(after Revision, wait time.Duration) ([]Event, Revision, error) {
			if after == 50 {
				return nil, 0, &ErrCompacted{After: after}
			}
			time.Sleep(wait)
			return nil, after, nil
		}
		var got recorder
		run(t, got.follower(s), 5*time.Second)
		g.Expect(got.resets).To(Equal([]Revision{50, 60}))
	})
}

// Guards against a follower that watches from an older revision than relays reached, or that
// watches while relays deliver the changes.
func TestFollowerResumesAtRelayedRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var asked []Revision
		var waits []time.Duration
		s := &fakeStore{ranges: func() ([]Item, Revision, error) { return nil, 7, nil }}
		s.watches = func(after Revision, wait time.Duration) ([]Event, Revision, error) {
			asked, waits = append(asked, after), append(waits, wait)
			time.Sleep(wait)
			return nil, after, nil
		}
		var got recorder
		f := got.follower(s)
		relayed := Revision(0)
		f.Relayed = func(context.Context) (Revision, time.Duration) {
			if len(got.resets) == 0 {
				return 0, 0
			}
			time.Sleep(10 * time.Second)
			relayed += 20
			return relayed, time.Second
		}
		run(t, f, 21500*time.Millisecond)
		g.Expect(got.resets).To(Equal([]Revision{7}), "relays had not delivered anything")
		g.Expect(asked).To(Equal([]Revision{20, 40}))
		g.Expect(waits).To(Equal([]time.Duration{time.Second, time.Second}))
	})
}

// Guards against a full read by a follower that got all changes from relays. It needs one only when
// the history after its revision is gone.
func TestFollowerStartsFromRelayedRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeStore{ranges: func() ([]Item, Revision, error) { return nil, 60, nil }}
		s.watches = func(after Revision, wait time.Duration) ([]Event, Revision, error) {
			time.Sleep(wait)
			if after == 21 {
				return nil, 0, &ErrCompacted{After: after}
			}
			return nil, after + 1, nil
		}
		var got recorder
		f := got.follower(s)
		f.Relayed = func(context.Context) (Revision, time.Duration) { return 20, time.Second }
		run(t, f, 2500*time.Millisecond)
		g.Expect(got.applies).To(Equal([]Revision{21, 61, 62}))
		g.Expect(got.resets).To(Equal([]Revision{60}))
	})
}

// Guards against accepting a full read that is older than what relays delivered meanwhile. It must
// be repeated.
func TestFollowerRetriesOvertakenReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		at := Revision(3)
		s := &fakeStore{ranges: func() ([]Item, Revision, error) { at += 2; return nil, at, nil }}
		s.watches = func(after Revision, wait time.Duration) ([]Event, Revision, error) {
			time.Sleep(wait)
			return nil, after, nil
		}
		var got recorder
		f := got.follower(s)
		take := f.Reset
		f.Reset = func(items []Item, at Revision) error {
			if at < 8 {
				return &ErrOld{Have: 8, Got: at}
			}
			return take(items, at)
		}
		run(t, f, 2*time.Second)
		g.Expect(got.resets).To(Equal([]Revision{9}))
	})
}

// A follower must detect with one probe that a silent store responds again, not only after a full
// watch.
func TestFollowerProbesSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		began := time.Now()
		back := began.Add(4 * time.Second)
		s := &fakeStore{}
		silent := func(ctx context.Context) error { <-ctx.Done(); return &ErrUnavailable{Err: ctx.Err()} }
		store := &silentStore{fakeStore: s, silent: func() bool { return time.Now().Before(back) }, hang: silent}
		s.ranges = func() ([]Item, Revision, error) { return nil, 1, nil }
		s.watches = func(after Revision, wait time.Duration) ([]Event, Revision, error) {
			time.Sleep(wait)
			return nil, after, nil
		}
		var got recorder
		f := got.follower(store)
		var at time.Time
		f.Reset = func([]Item, Revision) error { at = time.Now(); return nil }
		run(t, f, 10*time.Second)
		g.Expect(at.Sub(back)).To(BeNumerically("<=", maxProbeTimeout+maxRetryDelay))
		g.Expect(got.lost).To(Equal(1))
		g.Expect(got.regained).To(Equal(1))
	})
}

// silentStore is a store that at times does not respond.
type silentStore struct {
	*fakeStore
	silent func() bool
	hang   func(ctx context.Context) error
}

func (h *silentStore) Range(ctx context.Context, prefix string) ([]Item, Revision, error) {
	if h.silent() {
		return nil, 0, h.hang(ctx)
	}
	return h.fakeStore.Range(ctx, prefix)
}

func newLock(s Store) *Lock { return &Lock{Store: s, Key: "k", Holder: "me", TTL: 3 * time.Second} }

func TestLockExpiresBeforeLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeStore{commit: func(Change) (Revision, error) { time.Sleep(time.Second); return 9, nil }}
		l := newLock(s)
		g.Expect(l.Acquire(t.Context())).To(Succeed())
		fence, _, held := l.Held(time.Now())
		g.Expect(held).To(BeTrue())
		g.Expect(fence).To(Equal(Revision(9)))
		time.Sleep(1500 * time.Millisecond)
		_, _, held = l.Held(time.Now())
		g.Expect(held).To(BeFalse(), "2.5 s after the grant was requested")
	})
}

// Guards against relying on a lease after a suspension, in which the monotonic clock stood still.
func TestLockExpiresDuringSuspension(t *testing.T) {
	g := NewWithT(t)
	l := newLock(&fakeStore{commit: func(Change) (Revision, error) { return 9, nil }})
	g.Expect(l.Acquire(t.Context())).To(Succeed())
	_, _, held := l.Held(boottime.Now())
	g.Expect(held).To(BeTrue())
	t.Cleanup(boottime.SuspendForTest(5 * time.Second))
	_, _, held = l.Held(boottime.Now())
	g.Expect(held).To(BeFalse())
}

func TestAcquireFailsWhenLockIsHeld(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{commit: func(c Change) (Revision, error) {
		g.Expect(c.If).To(Equal([]Condition{{Key: "k"}}))
		return 0, &ErrConflict{Items: []Item{{Key: "k", Value: []byte("other")}}}
	}}
	l := newLock(s)
	err := l.Acquire(t.Context())
	var held *ErrHeld
	g.Expect(errors.As(err, &held)).To(BeTrue())
	g.Expect(held.Holder).To(Equal("other"))
	g.Expect(s.ended).To(Equal([]LeaseID{{Number: 1}}))
	_, _, mine := l.Held(time.Now())
	g.Expect(mine).To(BeFalse())
}

// Guards against a key that stays after a commit without a response, which may have been applied.
// The lease is ended, and the lock does not count as held.
func TestAcquireEndsLeaseAfterLostResponse(t *testing.T) {
	g := NewWithT(t)
	s := &fakeStore{commit: func(Change) (Revision, error) { return 0, &ErrUnavailable{Call: "commit"} }}
	l := newLock(s)
	g.Expect(l.Acquire(t.Context())).NotTo(Succeed())
	g.Expect(s.ended).To(Equal([]LeaseID{{Number: 1}}))
	_, _, held := l.Held(time.Now())
	g.Expect(held).To(BeFalse())
}

func TestLockIsLostWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeStore{commit: func(Change) (Revision, error) { return 9, nil }, renew: func() error { return nil }}
		l := newLock(s)
		g.Expect(l.Acquire(t.Context())).To(Succeed())
		time.Sleep(2 * time.Second)
		g.Expect(l.Renew(t.Context())).To(Succeed())
		time.Sleep(2 * time.Second)
		_, _, held := l.Held(time.Now())
		g.Expect(held).To(BeTrue())
		s.renew = func() error { return &ErrNoLease{ID: LeaseID{Number: 1}} }
		g.Expect(l.Renew(t.Context())).NotTo(Succeed())
		_, _, held = l.Held(time.Now())
		g.Expect(held).To(BeFalse())
	})
}

// Guards against a lock that is never free because another writer wrote its key without a lease, and against a lock
// that is taken from its holder.
func TestLockReplacesAKeyWithoutALease(t *testing.T) {
	for name, want := range map[string]struct{ leased, taken bool }{"another writer's": {false, true}, "a holder's": {true, false}} {
		g := NewWithT(t)
		s := &fakeStore{}
		s.commit = func(c Change) (Revision, error) {
			if c.If[0].Revision != 7 {
				conflict := &ErrConflict{Items: []Item{{Key: "lock", Value: []byte("x"), Revision: 7}}}
				if !want.leased {
					conflict.Unleased = []string{"lock"}
				}
				return 0, conflict
			}
			return 8, nil
		}
		l := &Lock{Store: s, Key: "lock", Holder: "me", TTL: 3 * time.Second}
		err := l.Acquire(t.Context())
		fence, _, held := l.Held(boottime.Now())
		g.Expect(held).To(Equal(want.taken), name)
		if want.taken {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(fence).To(Equal(Revision(8)))
			continue
		}
		var other *ErrHeld
		g.Expect(errors.As(err, &other)).To(BeTrue())
		g.Expect(other.Holder).To(Equal("x"))
		g.Expect(s.ended).To(HaveLen(s.granted), "leases that were not needed are ended")
	}
}
