package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

var _ = Describe("the decode ledger", func() {
	newLedger := func(bytes int64, batch int) *Ledger {
		l := NewLedger(bytes, batch)
		l.StepBase, l.StepSlope = 10*time.Millisecond, time.Millisecond
		return l
	}
	It("admits a short stream that ends before a large reservation starts", func() {
		l := newLedger(100, 4)
		_, err := l.Reserve(start, 5*time.Second, 0, Stream{ID: "survey", Bytes: 90, Tokens: 100})
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Reserve(start, 0, 0, Stream{ID: "check", Bytes: 20, Tokens: 5})
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Reserve(start, 0, 0, Stream{ID: "long", Bytes: 20, Tokens: 1000})
		Expect(err).To(HaveOccurred(), "the stream would still run when the large reservation starts")
	})
	It("lets a stream wait for another one to end within its slack", func() {
		l := newLedger(100, 1)
		_, _ = l.Reserve(start, 0, 0, Stream{ID: "a", Bytes: 1, Tokens: 100})
		l.Start("a")
		_, err := l.Reserve(start, 0, 500*time.Millisecond, Stream{ID: "b", Bytes: 1, Tokens: 10})
		Expect(err).To(HaveOccurred())
		wait, err := l.Reserve(start, 0, 5*time.Second, Stream{ID: "b", Bytes: 1, Tokens: 10})
		Expect(err).NotTo(HaveOccurred())
		Expect(wait).To(Equal(1100 * time.Millisecond))
	})
	It("limits the batch to what the smallest target per token allows", func() {
		l := newLedger(100, 40)
		for i := range 10 {
			_, err := l.Reserve(start, 0, 0, Stream{ID: fmt.Sprint(i), Bytes: 1, Tokens: 100, PerToken: 20 * time.Millisecond})
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := l.Reserve(start, 0, 0, Stream{ID: "one more", Bytes: 1, Tokens: 100})
		Expect(err).To(HaveOccurred())
	})
	It("reports that a stream larger than the memory never fits", func() {
		_, err := newLedger(100, 4).Reserve(start, 0, 0, Stream{ID: "x", Bytes: 101})
		Expect(err).To(Equal(&ErrFull{ID: "x", Never: true}))
	})
})

func TestLedgerStaysWithinMemoryAndBatch(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		l := NewLedger(1000, 6)
		l.StepBase, l.StepSlope = 10*time.Millisecond, time.Millisecond
		now, next := start, 0
		recorded := map[string]bool{}
		id := func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, next).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				next++
				s := Stream{ID: fmt.Sprint(next), Bytes: rapid.Int64Range(1, 600).Draw(t, "bytes"), Tokens: rapid.IntRange(1, 200).Draw(t, "tokens")}
				need := time.Duration(rapid.IntRange(0, 3000).Draw(t, "need")) * time.Millisecond
				if _, err := l.Reserve(now, need, need, s); err == nil {
					recorded[s.ID] = true
				}
			},
			"start":    func(t *rapid.T) { l.Start(id(t)) },
			"progress": func(t *rapid.T) { l.Progress(id(t), 10) },
			"drop": func(t *rapid.T) {
				x := id(t)
				if l.Drop(x) != recorded[x] {
					t.Fatalf("drop of %s: recorded=%t", x, recorded[x])
				}
				delete(recorded, x)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				batch, bytes := 0, int64(0)
				for _, s := range l.streams {
					if s.started {
						batch++
						bytes += s.Bytes
					}
				}
				if batch > l.Batch || bytes > l.Bytes {
					t.Fatalf("%d streams with %d bytes run", batch, bytes)
				}
				if running, reserved, _ := l.Usage(); running+reserved != len(recorded) {
					t.Fatalf("streams in the ledger: %d+%d, want %d", running, reserved, len(recorded))
				}
			},
		})
	})
}

var _ = Describe("the estimates of an engine's speed", func() {
	// A sidecar that had been suspended for seconds used the gap as the time of
	// a decode step and refused every later stream.
	It("ignore the time for which the process was suspended", func() {
		s := NewStep(20*time.Millisecond, time.Millisecond)
		for range 50 {
			s.Observe(4, 24*time.Millisecond)
		}
		s.Observe(4, 5*time.Second)
		base, slope := s.Model()
		Expect(base + 4*slope).To(BeNumerically("~", 24*time.Millisecond, time.Millisecond))
		r := NewSpeed(1000)
		r.Observe(1000, time.Minute)
		Expect(r.Rate()).To(Equal(1000.0))
	})
	It("converge when the engine differs from the initial estimate", func() {
		s := NewStep(20*time.Millisecond, time.Millisecond)
		for i := range 4000 {
			s.Observe(i%30, 14*time.Millisecond+time.Duration(i%30)*900*time.Microsecond)
		}
		base, slope := s.Model()
		Expect(base).To(BeNumerically("~", 14*time.Millisecond, time.Millisecond))
		Expect(slope).To(BeNumerically("~", 900*time.Microsecond, 100*time.Microsecond))
	})
	It("leave an engine that seems too slow open to one stream", func() {
		l := NewLedger(100, 4)
		l.StepBase = time.Second
		_, err := l.Reserve(start, 0, 0, Stream{ID: "a", Bytes: 1, Tokens: 1, PerToken: time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Reserve(start, 0, 0, Stream{ID: "b", Bytes: 1, Tokens: 1, PerToken: time.Millisecond})
		Expect(err).To(HaveOccurred())
	})
})
