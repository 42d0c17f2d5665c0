package ingress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/forecast"
)

// A client that one gateway told to come back may come back to any other.
func TestPromisedReturnsAreExpectedAtOtherGateways(t *testing.T) {
	g := NewWithT(t)
	a, b := New(Options{Name: "a"}), New(Options{Name: "b"})
	for _, i := range []*Ingress{a, b} {
		i.pool("llm").Configure(enginepool.Spec{Memory: 1000, Slots: 8})
	}
	now := time.Now()
	a.planner("llm").Promises.Add(now.Add(3 * time.Second))
	g.Expect(b.planner("llm").Promises.Expected(now)).To(BeFalse())
	snapshots, _ := a.Snapshots(nil)
	b.ReceiveSnapshot("a", "llm", snapshots["llm"])
	g.Expect(b.planner("llm").Promises.Expected(now)).To(BeTrue())
	due := b.planner("llm").Promises.Due(now)
	sum := 0.0
	for _, n := range due {
		sum += n
	}
	g.Expect(sum).To(BeNumerically("~", 1, 0.01))
	b.DropGateway("a")
	due = b.planner("llm").Promises.Due(now)
	for _, n := range due {
		g.Expect(n).To(BeZero())
	}
}

// Load: one of two engines leaves. Its answers run for long, and the other has room.
func TestAnswersOnLeavingEnginesUseNoRoom(t *testing.T) {
	g := NewWithT(t)
	b := enginepool.Backlog{Capacity: 1000, Engines: map[string]bool{"a": true}}
	running := []enginepool.Running{{Runner: "a", Memory: 100, Left: time.Second}, {Runner: "leaving", Memory: 900, Left: time.Minute}}
	f := forecast.NewPlanner().Forecast(func() forecast.Observation { return observation(b, running, 1) }, time.Unix(1000, 0))
	g.Expect(f.Spare(0)).To(BeNumerically(">", 500))
}
