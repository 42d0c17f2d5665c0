package store

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/progress"
)

const (
	// readingBytes is the size of a full read: some thousand runners and routes. linkBytesPerSecond
	// is the rate of the store's link, which all full reads share.
	readingBytes       = 1_500_000
	linkBytesPerSecond = 125_000_000
	// transferSlice is the time step of the simulated transfers.
	transferSlice = 10 * time.Millisecond
)

// sharedLinkStore is a store whose full reads share one link.
type sharedLinkStore struct {
	fakeStore
	mu      sync.Mutex
	readers int
	// cancelled counts the cancelled full reads, cancelledBytes what they had received by then.
	cancelled      int
	cancelledBytes float64
}

func (s *sharedLinkStore) Range(ctx context.Context, _ string) ([]Item, Revision, error) {
	s.addReaders(1)
	defer s.addReaders(-1)
	for got := 0.0; got < readingBytes; {
		select {
		case <-ctx.Done():
			s.recordCancelled(got)
			return nil, 0, &ErrUnavailable{Call: "range", Err: ctx.Err()}
		case <-time.After(transferSlice):
		}
		got += s.sliceBytes()
		progress.Note(ctx)
	}
	return nil, 1, nil
}

func (s *sharedLinkStore) addReaders(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += n
}

func (s *sharedLinkStore) recordCancelled(got float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled++
	s.cancelledBytes += got
}

// sliceBytes returns what one full read receives in a time step.
func (s *sharedLinkStore) sliceBytes() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return linkBytesPerSecond * transferSlice.Seconds() / float64(s.readers)
}

// Guards against a time limit for a full read that cancels reads in progress, which then start
// anew.
func TestConcurrentReadingsFinishInLinkTime(t *testing.T) {
	for _, n := range []int{30, 300, 712} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &sharedLinkStore{}
				s.watches = func(after Revision, wait time.Duration) ([]Event, Revision, error) {
					time.Sleep(wait)
					return nil, after, nil
				}
				linkTime := time.Duration(float64(n) * readingBytes / linkBytesPerSecond * float64(time.Second))
				ctx, cancel := context.WithTimeout(t.Context(), 2*linkTime+probeTimeout)
				defer cancel()
				var gateways sync.WaitGroup
				var read atomic.Int32
				for range n {
					f := (&recorder{}).follower(s)
					f.Reset = func([]Item, Revision) error { read.Add(1); return nil }
					gateways.Go(func() { f.Run(ctx) })
				}
				gateways.Wait()
				g.Expect(int(read.Load())).To(Equal(n), "gateways that finished reading; the link alone takes %s; %d readings cancelled, after %.0f MB", linkTime, s.cancelled, s.cancelledBytes/1e6)
			})
		})
	}
}
