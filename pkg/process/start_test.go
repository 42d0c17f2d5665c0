package process

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/progress"
	"github.com/hopwell/hopwell/pkg/store"
)

const (
	// startBytes is what a whole reading of the store has, startPage what its first page has, and
	// startStateBytes what a gateway hands on, compressed.
	startBytes      = 1_500_000
	startPage       = 300_000
	startStateBytes = 150_000
	// startStoreLink and startLink are what the store, and a gateway, send a second.
	startStoreLink = 125_000_000
	startLink      = 1_250_000
	// startSlice is the time between two looks at how far an answer is.
	startSlice = 10 * time.Millisecond
)

// sharedLink is one that all that is sent on it shares.
type sharedLink struct {
	perSecond float64
	mu        sync.Mutex
	users     int
}

// send takes the time that bytes take.
func (l *sharedLink) send(ctx context.Context, bytes float64) error {
	l.add(1)
	defer l.add(-1)
	for sent := 0.0; sent < bytes; sent += l.part() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startSlice):
			progress.Note(ctx)
		}
	}
	return nil
}

func (l *sharedLink) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.users += n
}

func (l *sharedLink) part() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.perSecond * startSlice.Seconds() / float64(l.users)
}

// pagedStore is a store whose readings have two pages and share its link.
type pagedStore struct {
	store.Store
	link  *sharedLink
	pages func() func(context.Context) error
}

func (s *pagedStore) Range(ctx context.Context, _ string) ([]store.Item, uint64, error) {
	next := s.pages()
	if err := s.link.send(ctx, startPage); err != nil {
		return nil, 0, &store.ErrUnavailable{Call: "range", Err: err}
	}
	if err := next(ctx); err != nil {
		return nil, 0, err
	}
	if err := s.link.send(ctx, startBytes-startPage); err != nil {
		return nil, 0, &store.ErrUnavailable{Call: "range", Err: err}
	}
	return []store.Item{entry("e1", "prefill", 5)}, 5, nil
}

// Watch waits for as long as it may.
func (s *pagedStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

// starting is a gateway of a fleet that starts.
type starting struct {
	*fixture
	link *sharedLink
	// known is when it knew what the store holds; zero before.
	known time.Duration
}

// startFleet lets gateways start together before one store, and returns when each knew what it holds;
// inTurn is false where all read at once and tell nobody.
func startFleet(t *testing.T, n int, inTurn bool) []time.Duration {
	storeLink := &sharedLink{perSecond: startStoreLink}
	var fleet []*starting
	for i := range n {
		f := &starting{fixture: unread(t), link: &sharedLink{perSecond: startLink}}
		f.others = i
		s := &pagedStore{link: storeLink, pages: f.reading}
		if !inTurn {
			s.pages = func() func(context.Context) error { return func(context.Context) error { return nil } }
		}
		f.store = s
		fleet = append(fleet, f)
	}
	ctx, cancel := context.WithCancel(t.Context())
	began := time.Now()
	var all, known sync.WaitGroup
	for i, f := range fleet {
		all.Go(func() { f.run(ctx) })
		if inTurn {
			all.Go(func() { f.askOthers(ctx, fleet, rand.New(rand.NewPCG(1, uint64(i)))) })
		}
		known.Go(func() {
			for f.Reached() == 0 {
				time.Sleep(startSlice)
			}
			f.known = time.Since(began)
		})
	}
	known.Wait()
	cancel()
	all.Wait()
	out := make([]time.Duration, 0, n)
	for _, f := range fleet {
		out = append(out, f.known)
	}
	return out
}

// askOthers does what Ingress.learnFromPeers does.
func (f *starting) askOthers(ctx context.Context, fleet []*starting, random *rand.Rand) {
	for f.Reached() == 0 && ctx.Err() == nil {
		time.Sleep(stateRetry)
		for range stateAskedInTurn {
			if f.wantsState() {
				f.ask(ctx, fleet[random.IntN(len(fleet))])
			}
		}
	}
}

// ask takes what another gateway knows, if it knows something and hands it to fewer than it may.
func (f *starting) ask(ctx context.Context, other *starting) {
	other.link.mu.Lock()
	busy := other.link.users >= stateHanded
	other.link.mu.Unlock()
	if other.Reached() == 0 || busy || other.link.send(ctx, startStateBytes) != nil {
		return
	}
	s := sharedState{At: 5, Items: []store.Item{entry("e1", "prefill", 5)}, assured: boottime.Now()}
	if f.mayLearn(s) && f.Reached() == 0 {
		f.learn(s)
	}
}

// Guards against gateways of a large fleet that start together and share the store's link for as long as
// all readings take, so that none knows anything before all do.
func TestGatewaysThatStartTogetherReadInTurnAndTellEachOther(t *testing.T) {
	for _, n := range []int{5, 300, 712} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				before, after := startFleet(t, n, false), startFleet(t, n, true)
				half, last := middle(before), latest(before)
				t.Logf("all at once: half after %s, all after %s; in turn: %s, %s", half, last, middle(after), latest(after))
				g.Expect(latest(after)).To(BeNumerically("<=", last+5*startSlice))
				if n > 100 {
					g.Expect(middle(after)).To(BeNumerically("<", half*6/10))
					g.Expect(latest(after)).To(BeNumerically("<", last*7/10))
				}
			})
		})
	}
}

// Guards against a state of long ago that is taken although the store answers.
func TestOnlyAFreshStateIsTakenWhileTheStoreAnswers(t *testing.T) {
	g := NewWithT(t)
	f := unread(t)
	fresh := sharedState{At: 5, assured: boottime.Now()}
	old := sharedState{At: 5, assured: boottime.Now().Add(-time.Minute)}
	g.Expect(f.mayLearn(fresh)).To(BeTrue())
	g.Expect(f.mayLearn(old)).To(BeFalse())
	g.Expect(f.mayLearn(sharedState{At: 5, AgeMs: 700, assured: boottime.Now()})).To(BeFalse())
	g.Expect(f.mayLearn(sharedState{At: 5})).To(BeFalse())
	f.copy.answers(false)
	g.Expect(f.mayLearn(old)).To(BeTrue(), "nothing better is to be had")
}

// Guards against a first reading that goes on, or counts as an outage, after another gateway told what the
// store holds.
func TestAReadingEndsWhenAnotherGatewayToldTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := unread(t)
		f.others = 1000
		next := f.reading()
		go func() {
			time.Sleep(time.Second)
			f.learn(sharedState{At: 5, assured: boottime.Now()})
		}()
		var overtaken *store.ErrOvertaken
		g.Expect(errors.As(next(t.Context()), &overtaken)).To(BeTrue())
		g.Expect(f.copy.lostNow()).To(BeFalse())
		g.Expect(f.reading()(t.Context())).To(Succeed(), "a later reading waits for no turn")
	})
}

// middle returns the time after which half of a fleet knows, latest that after which all do.
func middle(times []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)/2]
}

func latest(times []time.Duration) time.Duration { return slices.Max(times) }
