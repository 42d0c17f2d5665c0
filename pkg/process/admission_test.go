package process

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/delta"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/relay"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
	"github.com/hopwell/hopwell/platform/standin"
)

// large returns an item whose value is not a runner's entry.
func large(key string, size int, revision store.Revision) store.Item {
	return store.Item{Key: key, Value: bytes.Repeat([]byte("x"), size), Revision: revision}
}

func put(items ...store.Item) []store.Event {
	var out []store.Event
	for _, i := range items {
		out = append(out, store.Event{Item: i})
	}
	return out
}

// refusedItems returns how often the copy of the store had no room for an item.
func refusedItems() uint64 {
	return metrics.GetOrCreateCounter(fmt.Sprintf("hopwell_data_refused_total{account=%q}", copyAccount)).Get()
}

// Guards against entries by other writers that take all memory by their number, or displace the runners
// that are known, and against refusals that no metric counts.
func TestEntriesOfOtherWritersStayInTheirShare(t *testing.T) {
	const bound = 64 * (itemCost + 1024)
	flood := func(from, count int) []store.Item {
		var out []store.Item
		for i := range count {
			out = append(out, large(standin.RunnerKey(fmt.Sprintf("a-%04d", i)), 900, store.Revision(from+i)))
		}
		return out
	}
	t.Run("changes", func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, 10, entry("i-1", "decode", 5))
		f.storeCopy.bound = bound
		refused := refusedItems()
		f.apply(put(flood(11, 500)...), 510)
		g.Expect(refusedItems() - refused).To(BeNumerically(">=", 500-bound/(itemCost+900)))
		g.Expect(f.storeCopy.size).To(And(BeNumerically(">", bound/2), BeNumerically("<=", bound)))
		g.Expect(f.Reached()).To(Equal(store.Revision(510)))
		f.apply(put(entry("i-1", "prefill", 511)), 511)
		g.Expect(f.stage("i-1")).To(BeEquivalentTo("prefill"), "the entry of a known runner changes")
		for _, i := range flood(0, 500) {
			f.apply([]store.Event{{Item: store.Item{Key: i.Key, Revision: f.Reached() + 1}, Removed: true}}, f.Reached()+1)
		}
		g.Expect(f.storeCopy.size).To(Equal(cost(f.storeCopy.items[standin.RunnerKey("i-1")])))
		f.apply(put(entry("i-2", "decode", f.Reached()+1)), f.Reached()+1)
		g.Expect(f.stage("i-2")).To(BeEquivalentTo("decode"), "there is room again")
	})
	t.Run("full read", func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, 10, entry("i-1", "decode", 5))
		f.storeCopy.bound = bound
		refused := refusedItems()
		g.Expect(f.reset(append(flood(11, 500), entry("i-1", "prefill", 511)), 511)).To(Succeed())
		g.Expect(refusedItems() - refused).To(BeNumerically(">=", 500-bound/(itemCost+900)))
		g.Expect(f.storeCopy.size).To(And(BeNumerically(">", bound/2), BeNumerically("<=", bound)))
		g.Expect(f.stage("i-1")).To(BeEquivalentTo("prefill"))
	})
	t.Run("another gateway's copy", func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, 10)
		f.storeCopy.bound = bound
		f.loadPeerState(sharedState{At: 600, Items: flood(11, 500)})
		g.Expect(f.storeCopy.size).To(And(BeNumerically(">", bound/2), BeNumerically("<=", bound)))
	})
}

// An entry that is too large names no runner to use; the runner of its key gets no requests.
func TestTooLargeEntryRemovesItsRunner(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 10, entry("i-1", "decode", 5), entry("i-2", "decode", 6))
	f.apply(put(large(standin.RunnerKey("i-1"), 1<<20, 11)), 11)
	gone := func(id string) bool { return f.ingress.Directory.Find(id).Gone() }
	g.Expect(gone("i-1")).To(BeTrue())
	g.Expect(gone("i-2")).To(BeFalse())
	g.Expect(f.storeCopy.size).To(BeNumerically("<", 2*(itemCost+1024)))
	_, rejected := f.storeCopy.admitItems([]store.Item{large(standin.RunnerKey("i-1"), 1<<20, 12)})
	var tooLarge *memory.ErrTooLarge
	g.Expect(errors.As(rejected[0], &tooLarge)).To(BeTrue())
	g.Expect(tooLarge.Size).To(BeNumerically(">", 1<<20))
	g.Expect(tooLarge.Bound).To(BeEquivalentTo(maxItemBytes))
	f.apply(put(entry("i-1", "prefill", 12)), 12)
	g.Expect(gone("i-1")).To(BeFalse())
	g.Expect(f.stage("i-1")).To(BeEquivalentTo("prefill"))
}

// Guards against a datagram of some bytes whose deltas stand for values of a gigabyte.
func TestDeltasOfAnUpdateAreBounded(t *testing.T) {
	g := NewWithT(t)
	var value []byte
	for i := range 1 << 16 {
		value = fmt.Appendf(value, "%07d\n", i)
	}
	f := newFixture(t, 10, store.Item{Key: platform.ConfigKey, Value: value, Revision: 5})
	small := delta.Encode(value, append(bytes.Clone(value), 'x'))
	g.Expect(len(small)).To(BeNumerically("<", 1000))
	u := relay.Update{From: 10, To: 110}
	for i := range 100 {
		u.Deltas = append(u.Deltas, relay.Delta{Key: platform.ConfigKey, Revision: store.Revision(11 + i), Base: 5, Bytes: small})
	}
	var failed *ErrDelta
	g.Expect(errors.As(f.storeCopy.resolve(&u), &failed)).To(BeTrue())
	var tooLarge *memory.ErrTooLarge
	g.Expect(errors.As(failed, &tooLarge)).To(BeTrue())
	g.Expect(tooLarge.Bound).To(BeEquivalentTo(maxResolvedBytes))
	g.Expect(u.Truncated).To(BeTrue(), "the rest is left to a watch")
	total := 0
	for _, e := range u.Changes {
		total += len(e.Value)
	}
	g.Expect(total).To(BeNumerically("<=", maxResolvedBytes))
}
