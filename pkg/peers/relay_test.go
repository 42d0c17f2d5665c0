package peers

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/relay"
	"github.com/hopwell/hopwell/pkg/store"
)

// fakeStoreFeed is a StoreFeed whose revision the test advances.
type fakeStoreFeed struct {
	relay.History
	mu         sync.Mutex
	changes    []store.Event
	subscribed int
}

var pace = relay.PaceFor(relay.ShortestBound)

func (k *fakeStoreFeed) Reached() store.Revision {
	at, _ := k.History.Reached()
	return at
}

func (k *fakeStoreFeed) Receive(u relay.Update) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := k.Reached()
	if at == 0 || u.From > at {
		return false
	}
	for _, c := range u.Changes {
		if c.Revision > at {
			k.changes = append(k.changes, c)
		}
	}
	k.Advance(u.To, nil, time.Now().Add(-u.Age))
	return true
}

func (k *fakeStoreFeed) OnFirstSubscriber() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribed++
}

func (k *fakeStoreFeed) received() []store.Event {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]store.Event(nil), k.changes...)
}

// allEncodings is the encodings that a gateway of this build decodes.
var allEncodings = relay.Encodings{Deltas: true, Eras: true}

func storeChange(key string, revision store.Revision, size int) store.Event {
	return store.Event{Item: store.Item{Key: key, Revision: revision, Value: make([]byte, size)}}
}

// startFleet starts gateways that can reach each other and have read the store at a revision.
func startFleet(t *testing.T, n int, at store.Revision) []*gateway {
	var all []*gateway
	for i := range n {
		w := start(t, fmt.Sprintf("gateway-%d", i), 1)
		w.feed.Restart(at, time.Now())
		for _, other := range all {
			if err := w.Add(other.options.Name, other.address); err != nil {
				t.Fatal(err)
			}
		}
		all = append(all, w)
	}
	g := NewWithT(t)
	for _, w := range all {
		aliveCount := func() int { w.Exchange.mu.Lock(); defer w.Exchange.mu.Unlock(); return len(w.aliveGateways()) }
		g.Eventually(aliveCount).WithTimeout(20 * time.Second).Should(Equal(n))
	}
	return all
}

// Each gateway that is not a relay must receive each change once, while only the relays read the
// store.
func TestSubscribersReceiveEachChangeOnce(t *testing.T) {
	g := NewWithT(t)
	all := startFleet(t, 15, 6)
	var subscribed []*gateway
	g.Eventually(func() int {
		subscribed = nil
		for _, w := range all {
			if !w.IsRelay(time.Now()) && w.Freshness(time.Now()).RelayResponding {
				subscribed = append(subscribed, w)
			}
		}
		return len(subscribed)
	}).WithTimeout(20*time.Second).Should(Equal(len(all)-pace.Relays(len(all))), "only the default relays have subscribers while all of them respond")
	for _, w := range all {
		if w.IsRelay(time.Now()) {
			w.feed.Advance(7, []store.Event{storeChange("servers/a", 7, 10)}, time.Now())
			w.SendStoreUpdates(time.Now())
		}
	}
	for _, w := range subscribed {
		g.Eventually(w.feed.received).WithTimeout(20*time.Second).Should(HaveLen(1), w.options.Name)
		g.Expect(w.Freshness(time.Now()).FreshUntil).To(BeTemporally(">", time.Now()))
	}
	time.Sleep(2 * pace.Heartbeat)
	for _, w := range subscribed {
		g.Expect(w.feed.received()).To(HaveLen(1), "each change is applied once although two relays send it")
	}
}

// A gateway must request a lost update at once, without waiting for the next beat of its relays.
func TestLostUpdateIsRequestedAtOnce(t *testing.T) {
	g := NewWithT(t)
	all := startFleet(t, pace.Relays(1)+1, 6)
	subscriber := all[0]
	for _, w := range all {
		if !w.IsRelay(time.Now()) {
			subscriber = w
		}
	}
	// Relays are chosen only a second after the start (startupWait of package relay).
	g.Eventually(func() time.Time { return subscriber.Freshness(time.Now()).FreshUntil }).WithTimeout(20 * time.Second).Should(BeTemporally(">", time.Now()))
	for _, w := range all {
		if w != subscriber {
			// The relays count the change as sent; it never arrived.
			w.feed.Advance(7, []store.Event{storeChange("servers/a", 7, 10)}, time.Now())
			w.Exchange.mu.Lock()
			w.subscribers.Sent(subscriber.options.Name, 7, time.Now())
			w.Exchange.mu.Unlock()
		}
	}
	g.Eventually(subscriber.feed.received).WithTimeout(20 * time.Second).Should(HaveLen(1))
}

func TestSingleGatewayIsARelay(t *testing.T) {
	g := NewWithT(t)
	w := newGateway(t, "alone", 1)
	defer w.options.Conn.Close()
	g.Expect(w.IsRelay(time.Now())).To(BeTrue())
}

// A relay must not send more than its allowance, however many changes there are.
func TestRelayStaysWithinItsAllowance(t *testing.T) {
	g := NewWithT(t)
	var a allowance
	now := time.Now()
	g.Expect(a.take(relayBurst, now)).To(BeTrue())
	g.Expect(a.take(1, now)).To(BeFalse())
	sent := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for a.take(5000, now) {
			sent += 5000
		}
	}
	g.Expect(sent).To(And(BeNumerically("<=", 10*relayRate), BeNumerically(">", 9*relayRate)))
}

// Guards against gateways that learn of a change only when they no longer rely on a relay, because the relay has sent
// as much as it may.
func TestRelayWithoutAllowanceRefersGatewaysToTheStore(t *testing.T) {
	g := NewWithT(t)
	a := newGateway(t, "a", 1)
	defer a.options.Conn.Close()
	now := time.Now()
	a.feed.Restart(5, now)
	a.feed.Advance(6, []store.Event{storeChange("k", 6, 5000)}, now)
	g.Expect(a.Add("b", "127.0.0.1:9")).To(Succeed())
	a.subscribers.Subscribe("b", 5, allEncodings, now)
	a.relayAllowance = allowance{at: now}
	send := func(at time.Time) []datagram { return a.storeUpdates(a.subscribers.Due(6, at), at) }
	sent := send(now)
	g.Expect(sent).To(HaveLen(1))
	u := decodeStoreUpdate(sent[0].state.StoreUpdate)
	g.Expect(u.Truncated).To(BeTrue())
	g.Expect(u.Changes).To(BeEmpty())
	g.Expect(u.To).To(Equal(store.Revision(5)))
	g.Expect(send(now)).To(BeEmpty(), "it was referred to the store just now")
	now = now.Add(pace.WatchWait)
	a.relayAllowance = allowance{at: now}
	g.Expect(send(now)).To(HaveLen(1))
	now = now.Add(time.Second)
	sent = send(now)
	g.Expect(sent).To(HaveLen(1))
	u = decodeStoreUpdate(sent[0].state.StoreUpdate)
	g.Expect(u.Truncated).To(BeFalse(), "the allowance suffices")
	g.Expect(u.To).To(Equal(store.Revision(6)))
}
