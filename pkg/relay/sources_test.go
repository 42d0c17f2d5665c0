package relay

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/store"
)

// pace is that of the shortest bound, which puts the highest load on relays.
var pace = PaceFor(ShortestBound)

func gatewayNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("front-%d", i))
	}
	return names
}

// settledSources returns the sources of a gateway whose startup wait is over.
func settledSources(self string, now time.Time) *Sources {
	s := NewSources(self, pace)
	s.Choose(nil, now.Add(-startupWait))
	return s
}

func chosenRelays(s *Sources) []string {
	var out []string
	for name := range s.relays {
		out = append(out, name)
	}
	return out
}

// Guards against more relays than needed, and against a relay with far more subscribers than its
// share.
func TestGatewaysShareFewRelays(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	all := gatewayNames(420)
	subscribed := map[string]int{}
	for _, self := range all {
		s := settledSources(self, now)
		s.Choose(all, now)
		g.Expect(s.relays).To(HaveLen(relaysPerGateway))
		for name := range s.relays {
			subscribed[name]++
			g.Expect(name).NotTo(Equal(self))
			g.Expect(pace.AlwaysRelay(name, all)).To(BeTrue(), "only the first gateways are chosen")
		}
	}
	g.Expect(subscribed).To(HaveLen(pace.Relays(len(all))))
	for name, n := range subscribed {
		g.Expect(n).To(BeNumerically("<", 2*relaysPerGateway*gatewaysPerRelay), name)
	}
}

func TestSilentRelayIsReplacedWithinOneSecond(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	all := gatewayNames(20)
	s := settledSources("self", now)
	s.Choose(all, now)
	lost := chosenRelays(s)
	for tick := now; tick.Before(now.Add(pace.silenceTimeout() + 2*time.Millisecond)); tick = tick.Add(time.Millisecond) {
		s.Choose(all, tick)
	}
	for _, name := range lost {
		g.Expect(chosenRelays(s)).NotTo(ContainElement(name))
	}
	g.Expect(s.relays).To(HaveLen(relaysPerGateway))
	later := now.Add(pace.silenceTimeout() + exclusionTime + 10*time.Millisecond)
	for _, r := range s.relays {
		r.updatedAt = later
	}
	s.Choose(all, later)
	g.Expect(chosenRelays(s)).To(ConsistOf(lost), "excluded relays are tried again later")
}

func TestFreshUntilFollowsConfirmedUpdates(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := settledSources("self", now)
	s.Choose(gatewayNames(3), now)
	from := chosenRelays(s)[0]
	s.RecordUpdate(from, &Update{Age: time.Second}, true, now)
	g.Expect(s.FreshUntil()).To(Equal(now.Add(pace.StaleAfter - time.Second)))
	s.RecordUpdate(from, &Update{Age: 0}, false, now)
	g.Expect(s.FreshUntil()).To(Equal(now.Add(pace.StaleAfter-time.Second)), "an update after a gap confirms nothing")
	s.RecordUpdate(from, &Update{Age: 0, Truncated: true}, true, now)
	g.Expect(s.FreshUntil()).To(Equal(now.Add(pace.StaleAfter-time.Second)), "an update that lacks changes confirms nothing")
	g.Expect(s.AnyResponding(now)).To(BeTrue())
}

func TestLostChangesAreRequestedAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := settledSources("self", now)
	s.Choose(gatewayNames(3), now)
	g.Expect(s.Due(now)).To(HaveLen(relaysPerGateway))
	now = now.Add(rerequestAfter)
	g.Expect(s.Due(now)).To(BeEmpty())
	from := chosenRelays(s)[0]
	s.RecordUpdate(from, &Update{}, false, now)
	g.Expect(s.Due(now)).To(Equal([]string{from}))
	g.Expect(s.Due(now)).To(BeEmpty(), "once")
	g.Expect(s.Due(now.Add(pace.RenewEvery))).To(HaveLen(relaysPerGateway))
}

// Guards against keeping relays that have lost the store although the store responds to this
// gateway.
func TestRelaysWithoutStoreAreReplaced(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	all := gatewayNames(20)
	s := settledSources("self", now)
	s.Choose(all, now)
	lost := chosenRelays(s)
	for _, name := range lost {
		s.RecordUpdate(name, &Update{}, true, now.Add(-3*pace.StaleAfter))
		s.RecordUpdate(name, &Update{Age: Unconfirmed}, true, now)
	}
	s.Choose(all, now)
	g.Expect(chosenRelays(s)).To(ConsistOf(lost), "perhaps no gateway can reach the store")
	s.RecordStoreResponse(now)
	s.Choose(all, now)
	for _, name := range lost {
		g.Expect(chosenRelays(s)).NotTo(ContainElement(name))
	}
}

func TestSubscriptionDueAndExpiry(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := NewSubscribers(pace)
	g.Expect(s.Any(now)).To(BeFalse())
	s.Subscribe("a", 5, allEncodings, now)
	g.Expect(s.Due(5, now)).To(Equal(map[string]store.Revision{"a": 5}), "the first update")
	s.Sent("a", 5, now)
	g.Expect(s.Due(5, now)).To(BeEmpty())
	g.Expect(s.Due(6, now)).To(Equal(map[string]store.Revision{"a": 5}), "a change")
	g.Expect(s.Due(5, now.Add(pace.Heartbeat))).To(HaveLen(1), "a heartbeat")
	s.Subscribe("a", 3, allEncodings, now)
	g.Expect(s.Due(5, now)).To(Equal(map[string]store.Revision{"a": 3}), "lost changes")
	g.Expect(s.Any(now.Add(pace.subscriptionTTL() + 1))).To(BeFalse())
}
