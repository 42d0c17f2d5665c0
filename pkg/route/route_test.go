package route

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/spectest"
)

func TestRoute(t *testing.T) { spectest.Run(t, "route") }

// idleState returns the state of an idle runner.
func idleState(i int) State {
	return State{
		ID: i, Hash: uint64(i) * 7919, Name: fmt.Sprint(i), Domain: fmt.Sprint(i % 3), Region: "r",
		Rate: 10000, Batch: 40, KVFree: 16e9, KVPerToken: 160e3, StepBase: 0.014, StepSlope: 0.0009, LinkRate: 12e9,
	}
}

func scratch(prefills, decodes int) *Scratch {
	s := &Scratch{}
	for i := range prefills {
		s.Prefills = append(s.Prefills, idleState(i+1))
	}
	for i := range decodes {
		s.Decodes = append(s.Decodes, idleState(1000000+i))
	}
	return s
}

func smallRequest() *Request {
	return &Request{PromptTokens: 100, MaxTokens: 10, FirstToken: 0.5, PerToken: 0.063, Domain: "0", Region: "r"}
}

var _ = ginkgo.Describe("hopwell's policy", func() {
	ginkgo.It("prefers the runner that has the prefix cached", func() {
		s := scratch(3, 2)
		s.Prefills[2].Cached = 3000
		r := smallRequest()
		r.PromptTokens = 4000
		c, err := Hopwell{}.Choose(r, s)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Prefill).To(Equal(2))
	})
	ginkgo.It("gives up a cached prefix if its runner is overloaded", func() {
		s := scratch(3, 2)
		s.Prefills[2].Cached, s.Prefills[2].Queued, s.Prefills[2].Urgent = 3000, 20000, 20000
		r := smallRequest()
		r.PromptTokens, r.FirstToken = 4000, 3
		c, err := Hopwell{}.Choose(r, s)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Prefill).NotTo(Equal(2))
	})
	ginkgo.It("does not count queued work that is less urgent than the request", func() {
		s := scratch(1, 1)
		s.Prefills[0].Queued = 50000
		_, err := Hopwell{}.Choose(smallRequest(), s)
		Expect(err).NotTo(HaveOccurred())
	})
	ginkgo.It("rejects a request if every pair misses the target by far", func() {
		s := scratch(2, 1)
		for i := range s.Prefills {
			s.Prefills[i].Queued, s.Prefills[i].Urgent = 50000, 50000
		}
		_, err := Hopwell{}.Choose(smallRequest(), s)
		var late *ErrLate
		Expect(errors.As(err, &late)).To(BeTrue())
		Expect(late.RetryAfter()).To(BeNumerically(">", time.Second))
	})
	ginkgo.It("avoids decode runners whose step time exceeds the target", func() {
		s := scratch(1, 2)
		s.Decodes[0].StepBase = 0.1
		c, err := Hopwell{}.Choose(smallRequest(), s)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Decode).To(Equal(1))
	})
	ginkgo.It("distributes uncached prefixes over all runners", func() {
		seen := map[int]int{}
		for b := range uint64(300) {
			s := scratch(6, 1)
			for i := range s.Prefills {
				s.Prefills[i].Domain = "0"
			}
			r := smallRequest()
			r.Blocks = []uint64{b * 1234567}
			c, err := Hopwell{}.Choose(r, s)
			Expect(err).NotTo(HaveOccurred())
			seen[c.Prefill]++
		}
		Expect(seen).To(HaveLen(6))
		for _, n := range seen {
			Expect(n).To(BeNumerically(">", 25))
		}
	})
	ginkgo.It("reports which role has no usable runner", func() {
		s := scratch(1, 1)
		s.Decodes[0].Shunned = true
		_, err := Hopwell{}.Choose(smallRequest(), s)
		Expect(err).To(Equal(&ErrNoRunner{Role: "decode"}))
	})
})

var _ = ginkgo.Describe("the tracker", func() {
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	ginkgo.It("subtracts work done since the report and adds work sent since", func() {
		r := NewTracker().Get("a", "d", "r")
		r.Reported(Report{Rate: 1000, Queued: 500, Urgent: 500, Batch: 4}, now)
		r.Sent(300, 1, 0)
		s := r.State(now.Add(100 * time.Millisecond))
		Expect(s.Queued).To(BeNumerically("~", 700, 1))
		Expect(s.Reserved).To(Equal(1))
	})
	ginkgo.It("doubles the backoff with each failure and ends it at a report", func() {
		r := NewTracker().Get("a", "d", "r")
		r.Failed(now, 1)
		Expect(r.Suspect(now.Add(backoffMin - 1))).To(BeTrue())
		r.Failed(now, 1)
		Expect(r.Suspect(now.Add(2*backoffMin - 1))).To(BeTrue())
		r.Reported(Report{}, now)
		Expect(r.Suspect(now)).To(BeFalse())
	})
	ginkgo.It("excludes a runner with a stalled link even if its sidecar reports", func() {
		r := NewTracker().Get("a", "d", "r")
		r.Stalled(now, 0)
		r.Reported(Report{Rate: 1}, now)
		Expect(r.State(now).Shunned).To(BeTrue())
		r.Moved()
		Expect(r.State(now).Shunned).To(BeFalse())
	})
})

var _ = ginkgo.Describe("the prefix records", func() {
	ginkgo.It("counts the leading blocks cached on each runner", func() {
		p := NewPrefixes(1000)
		p.Add([]uint64{1, 2, 3}, 7)
		p.Add([]uint64{1}, 8)
		p.Evicted(3, 7)
		all := []State{{ID: 7}, {ID: 8}, {ID: 9}}
		p.Fill([]uint64{1, 2, 3}, 256, 10000, all)
		Expect([]int{all[0].Cached, all[1].Cached, all[2].Cached}).To(Equal([]int{512, 256, 0}))
	})
	ginkgo.It("keeps at most about twice the configured number of blocks", func() {
		p := NewPrefixes(1000)
		for b := range uint64(100000) {
			p.Add([]uint64{b}, 1)
		}
		n := 0
		for i := range p.shards {
			n += len(p.shards[i].young) + len(p.shards[i].old)
		}
		Expect(n).To(BeNumerically("<", 2*1000+2*prefixShards))
	})
})

func BenchmarkHopwell(b *testing.B) {
	for _, n := range []int{18, 64, 730, 7300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := scratch(n/2, n-n/2)
			r := smallRequest()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := (Hopwell{}).Choose(r, s); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
