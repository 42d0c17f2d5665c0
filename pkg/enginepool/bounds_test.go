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
