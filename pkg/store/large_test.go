package store

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/memory"
)

// Guards against a follower that repeats a watch whose response is too large for ever. A full read has
// pages.
func TestTooLargeWatchLeadsToFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		at := Revision(5)
		var r recorder
		var lost error
		f := r.follower(&fakeStore{
			ranges: func() ([]Item, Revision, error) { return nil, at, nil },
			watches: func(after Revision, wait time.Duration) ([]Event, Revision, error) {
				if after == 5 {
					at = 9
					return nil, 0, &ErrUnavailable{Err: &memory.ErrTooLarge{What: "response", Size: 2, Bound: 1}}
				}
				time.Sleep(wait)
				return nil, after, nil
			},
		})
		f.Lost = func(err error) { lost = err }
		run(t, f, time.Minute)
		g.Expect(r.resets).To(Equal([]Revision{5, 9}))
		g.Expect(r.regained).To(Equal(1))
		var large *memory.ErrTooLarge
		g.Expect(errors.As(lost, &large)).To(BeTrue())
	})
}

// slowStore needs a time for a watch after revision 5, and answers calls that read little at once. It is silent
// until a time.
type slowStore struct {
	fakeStore
	watchTime time.Duration
	silent    time.Duration
	began     time.Time
	// at is the revision of its items, reads the number of full reads.
	at    Revision
	reads int
}

// answer waits for a time, and at least as long as the store is silent.
func (s *slowStore) answer(ctx context.Context, after time.Duration) error {
	timer := time.NewTimer(max(after, s.silent-time.Since(s.began)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return &ErrUnavailable{Err: ctx.Err()}
	case <-timer.C:
		return nil
	}
}

func (s *slowStore) Range(ctx context.Context, prefix string) ([]Item, Revision, error) {
	if err := s.answer(ctx, 0); err != nil {
		return nil, 0, err
	}
	if prefix != "p/live" {
		s.reads++
	}
	return nil, s.at, nil
}

func (s *slowStore) Watch(ctx context.Context, _ string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	took := wait
	if after == 5 {
		s.at, took = 9, s.watchTime
	}
	if err := s.answer(ctx, took); err != nil {
		return nil, 0, err
	}
	return nil, max(after, 9), nil
}

// Guards against a follower that repeats a watch for ever that takes longer than a call to a lost store may last,
// as after a time in which much has changed, and against full reads by all followers after a store was silent.
func TestWatchThatTakesTooLongLeadsToFullRead(t *testing.T) {
	// A watch of a store that responded, a short one, a check and a watch after it.
	const slow = watchWait + callMargin + maxProbeTimeout + liveWatchTime
	for name, c := range map[string]struct {
		watchTime, silent time.Duration
		reads             int
		within            time.Duration
	}{
		"longer than a watch may last":       {time.Minute, 0, 2, slow},
		"longer than a short watch may last": {4 * time.Second, 0, 1, slow},
		"short, after a silence":             {time.Millisecond, 20 * time.Second, 1, 20*time.Second + maxProbeTimeout + 3*maxRetryDelay/2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &slowStore{watchTime: c.watchTime, at: 5}
				var r recorder
				f := r.follower(s)
				f.LivenessPrefix = "p/live"
				f.Lost = func(error) {}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s.began = time.Now()
				began := time.Now()
				var regained time.Duration
				f.Regained = func(time.Duration) { regained = time.Since(began) }
				f.Reset = func(_ []Item, at Revision) error {
					if at == 5 {
						s.began, s.silent = time.Now(), c.silent
					}
					return nil
				}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					f.Run(ctx)
				}()
				time.Sleep(time.Minute)
				cancel()
				<-ended
				g.Expect(regained).To(And(BeNumerically(">=", c.silent), BeNumerically("<=", c.within)))
				g.Expect(s.reads).To(Equal(c.reads))
			})
		})
	}
}
