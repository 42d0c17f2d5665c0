package enginepool

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/memory"
)

// Guards against reports that name engines without end.
func TestEnginesInReportsAreBounded(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(3, 2, 100000)
	now := time.Now()
	var last error
	for i := range 2 * maxEngines {
		id := fmt.Sprint("unknown-", i)
		last = p.ReceiveSnapshot("other", Snapshot{Engines: []EngineLoad{{Runner: id, PrefillTokens: 1, Loads: make([]Load, 1)}}}, now)
	}
	var large *memory.ErrTooLarge
	g.Expect(errors.As(last, &large)).To(BeTrue())
	g.Expect(large.Bound).To(BeEquivalentTo(maxEngines))
	g.Expect(p.engines.len()).To(Equal(maxEngines))
	g.Expect(p.ReceiveSnapshot("other", oneLoad("unknown-1", 1000, 300), now)).To(Succeed(), "a known engine")
	p.DropGateway("other")
	p.Sweep(now)
	g.Expect(p.peerLoads).To(BeZero())
	g.Expect(p.ReceiveSnapshot("other", oneLoad("d1", 1000, 300), now)).To(Succeed())
}

// Guards against reports of reservations without end, by one gateway or by many together.
func TestReservationsInReportsAreBounded(t *testing.T) {
	for _, gateways := range []int{1, 7, 100} {
		g := NewWithT(t)
		p, _ := pool(3, 2, 100000)
		now := time.Now()
		var last error
		for i := range 200 {
			s := Snapshot{Engines: []EngineLoad{{Runner: fmt.Sprint("d", i%64), Loads: make([]Load, 1500)}}}
			last = p.ReceiveSnapshot(fmt.Sprint("g", i%gateways), s, now)
			g.Expect(p.peerLoads).To(BeNumerically("<=", maxPeerLoads))
		}
		counted := 0
		for _, e := range p.engines.values {
			for _, l := range e.peers.values {
				counted += len(l.loads)
			}
		}
		g.Expect(p.peerLoads).To(Equal(counted))
		if gateways == 7 || gateways == 100 {
			var large *memory.ErrTooLarge
			g.Expect(errors.As(last, &large)).To(BeTrue())
			g.Expect(large.Bound).To(BeEquivalentTo(maxPeerLoads))
		}
		for i := range gateways {
			g.Expect(p.ReceiveSnapshot(fmt.Sprint("g", i), Snapshot{Full: true}, now)).To(Succeed())
		}
		g.Expect(p.peerLoads).To(BeZero())
	}
}

// Guards against reports of many gateways about many engines, each small, that take all memory together.
func TestReportsOfEnginesAreBounded(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(3, 2, 100000)
	now := time.Now()
	const gateways = 2 * maxPeerReports / maxEngines
	var last error
	for i := range gateways {
		var s Snapshot
		for n := range maxEngines {
			s.Engines = append(s.Engines, EngineLoad{Runner: fmt.Sprint("unknown-", n), PrefillTokens: 1, Preempted: 1})
		}
		last = p.ReceiveSnapshot(fmt.Sprint("g", i), s, now)
	}
	var large *memory.ErrTooLarge
	g.Expect(errors.As(last, &large)).To(BeTrue())
	counted := 0
	for _, e := range p.engines.values {
		counted += len(e.prefillTokens)
		g.Expect(e.speed.peersPreempted.len()).To(BeZero(), "it is no known runner")
	}
	g.Expect(counted).To(Equal(maxPeerReports))
	g.Expect(p.ReceiveSnapshot("g0", Snapshot{Engines: []EngineLoad{{Runner: "unknown-1", PrefillTokens: 2}}}, now)).To(Succeed(), "it is reported already")
	for i := range gateways {
		g.Expect(p.ReceiveSnapshot(fmt.Sprint("g", i), Snapshot{Full: true}, now)).To(Succeed())
	}
	g.Expect(p.peerReports).To(BeZero())
}

// Guards against preempted responses of an engine that gateways without end report.
func TestPreemptionsInReportsAreBounded(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(3, 2, 100000)
	now := time.Now()
	for i := range 3 * maxPreemptedBy {
		g.Expect(p.ReceiveSnapshot(fmt.Sprint("g", i), Snapshot{Engines: []EngineLoad{{Runner: "d1", Preempted: 1}}}, now)).To(Succeed())
	}
	e := p.engines.get("d1")
	g.Expect(e.speed.peersPreempted.len()).To(Equal(maxPreemptedBy))
	g.Expect(e.speed.preemptions(now.Add(time.Hour))).To(BeZero())
	g.Expect(p.ReceiveSnapshot("new", Snapshot{Engines: []EngineLoad{{Runner: "d1", Preempted: 1}}}, now.Add(time.Hour))).To(Succeed())
	g.Expect(e.speed.peersPreempted.len()).To(Equal(1))
}
