package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/progress"
)

// Guards against a follower that waits for a batch after each piece of a large response, for seconds in all.
func TestLargeChangesAreNotBatched(t *testing.T) {
	for name, c := range map[string]struct {
		event Event
		want  time.Duration
	}{
		"small":               {Event{Item: Item{Value: make([]byte, 300)}}, 10 * time.Second},
		"large":               {Event{Item: Item{Value: make([]byte, partBytes)}}, 0},
		"large and left out":  {Event{LeftOut: partBytes, Removed: true}, 0},
		"small, and left out": {Event{LeftOut: partBytes - 1, Removed: true}, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				const pieces = 10
				took := time.Duration(-1)
				began := time.Now()
				s := &fakeStore{ranges: func() ([]Item, Revision, error) { return nil, 5, nil }}
				s.watches = func(after Revision, wait time.Duration) ([]Event, Revision, error) {
					if after < 5+pieces {
						return []Event{c.event}, after + 1, nil
					}
					if took < 0 {
						took = time.Since(began)
					}
					time.Sleep(wait)
					return nil, after, nil
				}
				var r recorder
				f := r.follower(s)
				f.BatchDelay = func() time.Duration { return time.Second }
				run(t, f, 30*time.Second)
				g.Expect(took).To(BeNumerically("~", c.want, time.Millisecond))
			})
		})
	}
}

// trickleStore sends a part of the response to a watch each second.
type trickleStore struct {
	fakeStore
	parts int
}

func (s *trickleStore) Watch(ctx context.Context, _ string, after Revision, _ time.Duration) ([]Event, Revision, error) {
	for range s.parts {
		timer := time.NewTimer(time.Second)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, 0, &ErrUnavailable{Err: ctx.Err()}
		case <-timer.C:
			progress.Note(ctx)
		}
	}
	return nil, after, nil
}

// Guards against a watch that is cut off while its response arrives, and begins anew each time, and against one that
// goes on for ever.
func TestWatchGoesOnWhileItsResponseArrives(t *testing.T) {
	const most = int((watchWait + callMargin + maxTransferTime) / time.Second)
	for parts, lost := range map[int]int{most: 0, most + 1: 1} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := &trickleStore{parts: parts}
			s.ranges = func() ([]Item, Revision, error) { return nil, 5, nil }
			var r recorder
			run(t, r.follower(s), 10*time.Second)
			g.Expect(r.lost).To(Equal(lost), "%d parts", parts)
		})
	}
}
