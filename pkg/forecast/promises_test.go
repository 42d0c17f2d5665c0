package forecast

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

func sum(due [Slots]float64) (n float64) {
	for _, v := range due {
		n += v
	}
	return n
}

func TestPromisesLapseWithTheirSlot(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	p := NewPromises()
	p.Add(now.Add(3 * time.Second))
	g.Expect(sum(p.Due(now))).To(BeNumerically("~", 1, 1e-9))
	g.Expect(p.Expected(now)).To(BeTrue())
	later := now.Add(3*time.Second + SlotLength + promiseMemory)
	g.Expect(sum(p.Due(later))).To(BeZero())
	g.Expect(p.Expected(later)).To(BeFalse())
	g.Expect(p.Own(later).Counts).To(BeEmpty())
}

// A gateway knows the promises of the others whatever the phase of their slots, and forgets those of
// a gateway that is gone.
func TestPromisesOfOtherGateways(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		sent := time.Unix(1000, int64(rapid.IntRange(0, 999).Draw(t, "sent"))*int64(time.Millisecond))
		delay := time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond
		n := rapid.IntRange(1, 20).Draw(t, "promises")
		a, b := NewPromises(), NewPromises()
		for range n {
			a.Add(sent.Add(time.Duration(rapid.IntRange(500, 4600).Draw(t, "after")) * time.Millisecond))
		}
		b.Receive("a", a.Own(sent), sent.Add(delay))
		g.Expect(sum(b.Due(sent))).To(BeNumerically("~", n, 1e-6))
		g.Expect(b.Expected(sent)).To(BeTrue())
		b.Receive("a", Report{}, sent)
		g.Expect(sum(b.Due(sent))).To(BeNumerically("~", n, 1e-6), "an empty report says nothing")
		b.Drop("a")
		g.Expect(sum(b.Due(sent))).To(BeZero())
	})
}

// Guards against a report whose rest is not used but stays in memory.
func TestLongReportIsCut(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	p := NewPromises()
	p.Receive("a", Report{Since: now, Counts: make([]int, 100000)}, now)
	g.Expect(len(p.others["a"].Counts)).To(BeNumerically("<=", 2*Slots))
	g.Expect(cap(p.others["a"].Counts)).To(BeNumerically("<", 4*Slots))
}

// A report must fit into a datagram however long the pause that a client waits for.
func TestDistantPromiseIsReportedLater(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	p := NewPromises()
	p.Add(now.Add(time.Hour))
	p.Add(now.Add(time.Second))
	g.Expect(len(p.Own(now).Counts)).To(BeNumerically("<=", 2*Slots))
	g.Expect(p.Own(now.Add(time.Hour - time.Second)).Counts).To(ContainElement(1))
}

// Slots follow the monotonic clock: a step of the time of day, which String shows but Sub ignores,
// neither ends promises nor makes them last.
func TestSlotsAreMonotonic(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	p := NewPromises()
	p.Add(now.Add(time.Second))
	g.Expect(p.last.String()).To(ContainSubstring("m=+"), "end of promises has a monotonic reading")
	g.Expect(p.Own(now).Since.String()).To(ContainSubstring("m=+"), "report has a monotonic reading")
}

func TestPromiseBeforeTheFirstIsCounted(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	p := NewPromises()
	p.Add(now.Add(3 * time.Second))
	p.Add(now.Add(3*time.Second - SlotLength/2))
	counts := p.Own(now).Counts
	g.Expect(sum(p.Due(now))).To(BeNumerically("~", 2, 1e-9))
	g.Expect(counts[len(counts)-2:]).To(Equal([]int{1, 1}))
}
