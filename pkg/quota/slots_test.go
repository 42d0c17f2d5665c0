package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/workspace"
)

// Guards against counts of all gateways' spending that take most of a gateway's memory in the largest fleet, also after
// all gateways have been silent.
func TestSpendingOfTheLargestFleetTakesLittleMemory(t *testing.T) {
	const (
		gateways, workspaces = 420, 3000
		// A third of the memory that control may take on a node.
		bound = 64 << 20 / 3
	)
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := New(allowance, DefaultShares())
	var all []*workspace.Workspace
	var spending []Spending
	for i := range workspaces {
		w := tokenWorkspace(fmt.Sprint("w", i), 1e6, 1e6)
		all, spending = append(all, w), append(spending, Spending{Workspace: KeyOf(w.Name), Total: 1000, Level: 1000})
	}
	l.Configure(all, now)
	var names []string
	for i := range gateways {
		names = append(names, fmt.Sprint("g", i))
	}
	before := heapBytes()
	l.SetMembers(names, time.Second, now)
	for _, name := range names {
		l.ReceiveSpending(name, 1, spending, true, false, now)
	}
	taken := heapBytes() - before
	t.Logf("%d MB", taken>>20)
	g.Expect(taken).To(BeNumerically("<", bound))
	runtime.KeepAlive(l)
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a new peer that is charged for the difference to what the peer before it in its slot had spent.
func TestSlotOfARemovedPeerIsEmpty(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := New(allowance, DefaultShares())
	l.Configure([]*workspace.Workspace{tokenWorkspace("w", 1e6, 1e6)}, now)
	key := KeyOf("w")
	report := func(name string, total int64) {
		l.ReceiveSpending(name, 1, []Spending{{Workspace: key, Total: total}}, false, false, now)
	}
	l.SetMembers([]string{"a", "b"}, time.Hour, now)
	report("a", 5000)
	report("b", 7000)
	slot := l.fleet.peers["a"].slot
	l.SetMembers([]string{"b"}, time.Hour, now)
	_, known := l.accounts[key].reported.get(slot)
	g.Expect(known).To(BeFalse())
	l.SetMembers([]string{"b", "c"}, time.Hour, now)
	g.Expect(l.fleet.peers["c"].slot).To(Equal(slot))
	g.Expect(l.accounts[key].withheld.get(slot)).To(BeNumerically(">", 0), "it is not alive yet")
	level := l.accounts[key].level
	report("c", 100)
	g.Expect(l.accounts[key].level).To(BeNumerically(">=", level))
	g.Expect(l.accounts[key].withheld.bySlot).To(BeNil(), "all are alive")
	total, _ := l.accounts[key].reported.get(l.fleet.peers["b"].slot)
	g.Expect(total).To(BeEquivalentTo(7000))
}
