package peers

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/store"
)

func storeChange(key string, revision uint64, size int) store.Event {
	return store.Event{Item: store.Item{Key: key, Revision: revision, Value: []byte(strings.Repeat("x", size))}}
}

// Of more gateways than relays, those that are none get each change from one relay.
func TestRelaysPassChangesOnToEachOtherGatewayOnce(t *testing.T) {
	g := NewWithT(t)
	const gateways = 2*relays + 3
	var all []*gateway
	for i := range gateways {
		w := start(t, fmt.Sprintf("gateway-%d", i), 1)
		all = append(all, w)
		for _, other := range all[:i] {
			g.Expect(w.Add(other.options.Name, other.address)).To(Succeed())
		}
	}
	living := func(w *gateway) int {
		w.Exchange.mu.Lock()
		defer w.Exchange.mu.Unlock()
		return len(w.relayOrder())
	}
	for _, w := range all {
		g.Eventually(func() int { return living(w) }).WithTimeout(20 * time.Second).Should(Equal(gateways))
	}
	count := 0
	for _, w := range all {
		if w.Relay() {
			count++
		}
		w.SendStoreChanges([]store.Event{storeChange("servers/a", 7, 10)}, time.Now())
	}
	g.Expect(count).To(Equal(relays))
	for _, w := range all {
		want := 1
		if w.Relay() {
			want = 0
		}
		got := func() int { w.mu.Lock(); defer w.mu.Unlock(); return len(w.relayed) }
		g.Eventually(got).WithTimeout(20*time.Second).Should(Equal(want), w.options.Name)
		g.Consistently(got).WithTimeout(50*time.Millisecond).Should(Equal(want), w.options.Name)
	}
}

func TestFewGatewaysAreAllRelays(t *testing.T) {
	g := NewWithT(t)
	w := newGateway(t, "alone", 1)
	defer w.options.Conn.Close()
	g.Expect(w.Relay()).To(BeTrue())
}

func TestStoreChangesAreSplitToFitDatagrams(t *testing.T) {
	g := NewWithT(t)
	changes := []store.Event{storeChange("a", 1, maxRelayed/2), storeChange("b", 2, maxRelayed/2), storeChange("too-large", 3, maxRelayed), storeChange("c", 4, 10)}
	changes = append(changes, store.Event{Item: store.Item{Key: "d", Revision: 5}, Gone: true})
	var back []store.Event
	parts := splitStoreChanges(changes)
	g.Expect(parts).To(HaveLen(2))
	for _, part := range parts {
		size := 0
		for _, c := range part {
			size += len(c.Key) + len(c.Value)
		}
		g.Expect(size).To(BeNumerically("<=", maxRelayed))
		back = append(back, decodeStoreChanges(part)...)
	}
	want := append(changes[:2:2], changes[3:]...)
	want[3].Value = nil
	g.Expect(back).To(Equal(want))
}

// Whatever changes, a relay sends no more than its allowance.
func TestARelaySendsNoMoreThanItsAllowance(t *testing.T) {
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
