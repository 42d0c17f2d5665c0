package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/enginepool"
)

// Guards against a deadlock: Snapshots waits for engine pools, and these may wait for the exchange.
func TestSnapshotsAreTakenWithoutTheLock(t *testing.T) {
	g := NewWithT(t)
	w := newGateway(t, "a", 100)
	calls := 0
	w.options.Snapshots = func(map[string]uint64) (map[string]enginepool.Snapshot, map[string]uint64) {
		if g.Expect(w.Exchange.mu.TryLock()).To(BeTrue(), "the exchange is locked") {
			w.Exchange.mu.Unlock()
		}
		calls++
		return nil, nil
	}
	g.Expect(w.Add("b", "127.0.0.1:9")).To(Succeed())
	now := time.Now()
	w.sendChanges(now)
	w.sendDue(now)
	g.Expect(calls).To(Equal(2))
}

// Guards against a choice of engines that waits for the exchange: the pool is locked meanwhile.
func TestNamesTakeNoLock(t *testing.T) {
	g := NewWithT(t)
	w := newGateway(t, "c", 100)
	for _, name := range []string{"d", "a", "b", "e", "a"} {
		g.Expect(w.Add(name, "127.0.0.1:9")).To(Succeed())
	}
	before := w.Names()
	w.Exchange.mu.Lock()
	g.Expect(w.Names()).To(Equal([]string{"a", "b", "d", "e"}))
	w.Exchange.mu.Unlock()
	w.sweep(time.Now().Add(MemberTTL + time.Second))
	g.Expect(w.Names()).To(BeEmpty())
	g.Expect(before).To(Equal([]string{"a", "b", "d", "e"}), "a list that was returned doesn't change")
	g.Expect(w.Add("f", "127.0.0.1:9")).To(Succeed())
	g.Expect(w.Names()).To(Equal([]string{"f"}))
}
