package enginepool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// scarce returns a pool with one engine that was full until now, and many other gateways with waiting
// jobs that go before this one.
func scarce(now time.Time) *Pool {
	p, _ := pool(1, 0, 10000)
	p.options.Gateway, p.options.TurnInterval = "a", turnInterval
	e := p.engine("d0")
	for i := 0; len(p.peerWaiting) < 12; i++ {
		if name := fmt.Sprint("g", i); turnOrder(name, e.idHash) < turnOrder("a", e.idHash) {
			p.peerWaiting[name] = 1
		}
	}
	e.fullAt = now
	return p
}

// A job whose KV cache is on an engine takes the room there at once. If it waited for the turns of other
// gateways, it would be placed elsewhere and its prompt processed again.
func TestPreferredEngineTakesNoTurns(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	p := scarce(now)
	w := &Waiter{job: job("a", 6000, 100)}
	g.Expect(p.place(w, now)).To(BeNil())
	w.Prefer("d0")
	g.Expect(p.place(w, now)).NotTo(BeNil())
}

// A large job that fits nowhere is tried again and again. A smaller one for which there is room must still
// get its turn.
func TestLargeJobDoesNotDelayTurnsOfSmallOnes(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	p := scarce(now)
	large, small := &Waiter{job: job("a", 20000, 100)}, &Waiter{job: job("b", 6000, 100)}
	for range 12 {
		g.Expect(p.place(large, now)).To(BeNil())
		g.Expect(p.place(small, now)).To(BeNil())
		now = now.Add(turnInterval)
	}
	g.Expect(p.place(large, now)).To(BeNil())
	g.Expect(p.place(small, now)).NotTo(BeNil())
	// It is full now, so that the turns begin anew.
	g.Expect(p.place(small, now)).To(BeNil())
	g.Expect(p.engine("d0").fullAt).To(Equal(now))
}

// Of hundreds of gateways only some use an engine. The turns of the others would leave its room empty.
func TestOnlyGatewaysOfTheEngineTakeTurns(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	p := scarce(now)
	w := &Waiter{job: job("a", 6000, 100)}
	var users []string
	p.options.GatewaysOf = func(string) []string { return users }
	for name := range p.peerWaiting {
		users = []string{name, "a", "idle"}
	}
	g.Expect(p.place(w, now)).To(BeNil())
	g.Expect(p.place(w, now.Add(turnInterval))).NotTo(BeNil())
}
