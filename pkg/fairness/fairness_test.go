package fairness

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

func drawUses(t *rapid.T) []Use {
	var out []Use
	for i := range rapid.IntRange(1, 8).Draw(t, "workspaces") {
		out = append(out, Use{uint64(i + 1), rapid.IntRange(0, 50000).Draw(t, "used"), rapid.IntRange(0, 50000).Draw(t, "waiting")})
	}
	return out
}

// The shares add up to the memory in use, no workspace gets more than it needs, and one that gets less
// has the largest share per weight.
func TestSharesAreMaxMin(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		uses, weights := drawUses(t), map[uint64]float64{}
		for _, u := range uses {
			weights[u.Workspace] = rapid.Float64Range(0.1, 10).Draw(t, "weight")
		}
		s := NewShares(uses, weights)
		if s.level == 0 {
			return
		}
		used, shares := 0.0, 0.0
		for _, u := range uses {
			used += float64(u.Used)
			shares += min(float64(u.Used+u.Waiting), weights[u.Workspace]*s.level)
		}
		g.Expect(shares).To(BeNumerically("~", used, 1e-6*used+1e-6))
	})
}

// Sorting needs a consistent order.
func TestCompareIsAnOrder(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := NewShares(drawUses(t), nil)
		draw := func(i uint64) Request {
			return Request{
				Class:     Class{rapid.IntRange(0, 2).Draw(t, "tier"), rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(0, 2).Draw(t, "rank")},
				Spent:     rapid.IntRange(0, 2).Draw(t, "spent"),
				Workspace: rapid.Uint64Range(0, 8).Draw(t, "workspace"), Arrival: i,
			}
		}
		list := []Request{draw(1), draw(2), draw(3)}
		slices.SortFunc(list, s.Compare)
		g.Expect(s.Compare(list[0], list[1])).To(BeNumerically("<", 0))
		g.Expect(s.Compare(list[1], list[2])).To(BeNumerically("<", 0))
		g.Expect(s.Compare(list[0], list[2])).To(BeNumerically("<", 0))
		g.Expect(s.Compare(list[2], list[0])).To(BeNumerically(">", 0))
	})
}

func TestOrderIsClassThenSpentThenShares(t *testing.T) {
	g := NewWithT(t)
	s := NewShares([]Use{{1, 9000, 1000}, {2, 1000, 4000}}, nil)
	g.Expect(s.Excess(1)).To(BeNumerically("~", 0.8))
	g.Expect(s.Excess(2)).To(BeZero())
	first := Request{Class: Class{1, 0, 1}, Workspace: 1, Arrival: 4}
	spent := Request{Class: Class{1, 1, 1}, Spent: 100, Workspace: 1, Arrival: 3}
	within := Request{Class: Class{1, 1, 1}, Workspace: 2, Arrival: 2}
	over := Request{Class: Class{1, 1, 1}, Workspace: 1, Arrival: 1}
	list := []Request{over, within, spent, first}
	slices.SortFunc(list, s.Compare)
	g.Expect(list).To(Equal([]Request{first, spent, within, over}))
}

// A workspace lends what it does not need: one that uses much exceeds its share only when another waits.
func TestUnusedSharesAreLent(t *testing.T) {
	g := NewWithT(t)
	g.Expect(NewShares([]Use{{1, 9000, 0}, {2, 1000, 0}}, nil).Excess(1)).To(BeZero())
	g.Expect(NewShares([]Use{{1, 9000, 5000}, {2, 1000, 0}}, nil).Excess(1)).To(BeZero())
	g.Expect(NewShares([]Use{{1, 9000, 5000}, {2, 1000, 1000}}, nil).Excess(1)).To(BeNumerically("~", 0.125))
}

func TestAheadCountsFreshReportsOfMoreUrgentRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := NewReports()
	s := NewShares([]Use{{1, 9000, 1000}, {2, 1000, 4000}}, nil)
	r.Put("a", []Waiting{{Class: Class{1, 0, 2}, Count: 2, Tokens: 6000}, {Class: Class{1, 1, 2}, Count: 4, Tokens: 8000}}, []Use{{2, 0, 3000}, {1, 0, 1000}}, now)
	within := Request{Class: Class{1, 1, 2}, Workspace: 2}
	over := Request{Class: Class{1, 1, 2}, Workspace: 1}
	g.Expect(r.Ahead(within, s, now)).To(Equal(Ahead{2, 3000}))
	g.Expect(r.Ahead(over, s, now)).To(Equal(Ahead{5, 2400}))
	g.Expect(r.Ahead(Request{Class: Class{0, 5, 0}}, s, now)).To(Equal(Ahead{}))
	g.Expect(r.Ahead(within, s, now.Add(MaxReportAge+1))).To(Equal(Ahead{}))
	r.Drop("a")
	g.Expect(r.Ahead(within, s, now)).To(Equal(Ahead{}))
}

func TestFloorGivesLessUrgentRequestsTheirShare(t *testing.T) {
	g := NewWithT(t)
	var f Floor
	urgent, other := 0, 0
	for range 1000 {
		if f.Due(5000) {
			f.Repay(5000)
			other += 5000
			continue
		}
		f.Granted(5000)
		urgent += 5000
	}
	g.Expect(float64(other) / float64(urgent)).To(BeNumerically("~", floorShare, 0.005))
}

func TestReserveIsForTheLargestTenth(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	var s Sizes
	engines := make([]string, 40)
	for i := range engines {
		engines[i] = fmt.Sprint("e", i)
	}
	g.Expect(s.Reserve(engines)).To(BeZero())
	large, observed := 0, 0
	for range 4000 {
		size := int(5000 * math.Exp(0.5*random.NormFloat64()))
		s.Observe(size)
		if s.observed > sizeMemory {
			observed++
			if s.Large(size) {
				large++
			}
		}
	}
	g.Expect(float64(large) / float64(observed)).To(BeNumerically("~", largeShare, 0.02))
	r := s.Reserve(engines)
	reserved := 0
	for _, e := range engines {
		g.Expect(r.KeepFree(20000, e)).To(BeZero(), "for large requests")
		if kept := r.KeepFree(4000, e); kept > 0 {
			reserved++
			g.Expect(kept).To(BeNumerically("~", 12000, 2000))
		}
	}
	g.Expect(reserved).To(BeNumerically("~", reserveFactor*0.22*40, 4))
}

func TestEqualSizesNeedNoReserve(t *testing.T) {
	g := NewWithT(t)
	var s Sizes
	for range 100 {
		s.Observe(5000)
	}
	g.Expect(s.Reserve([]string{"a", "b"})).To(BeZero())
}

// BenchmarkAhead measures the decision whether a request leaves room to others, with a report of each
// gateway and 16 workspaces.
func BenchmarkAhead(b *testing.B) {
	for _, gateways := range []int{25, 103, 356} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			r, now := NewReports(), time.Now()
			for i := range gateways {
				var uses []Use
				for w := range 16 {
					uses = append(uses, Use{uint64(w + 1), 5000 * (w + 1), 5000})
				}
				r.Put(fmt.Sprint(i), []Waiting{{Class: Class{1, 0, 2}, Count: 2, Tokens: 10000}, {Class: Class{1, 2, 2}, Count: 1, Tokens: 5000}}, uses, now)
			}
			b.Run("ahead", func(b *testing.B) {
				s := NewShares(r.Uses(now), nil)
				b.ReportAllocs()
				for b.Loop() {
					r.Ahead(Request{Class: Class{1, 2, 2}, Workspace: 16}, s, now)
				}
			})
			b.Run("shares", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					NewShares(r.Uses(now), nil)
				}
			})
		})
	}
}

// The sum that is kept must be that of the newest report of each gateway.
func TestUsesOfGatewaysAddUp(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		r, now, newest := NewReports(), time.Now(), map[string][]Use{}
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			gateway := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "gateway")
			if rapid.IntRange(0, 4).Draw(t, "drop") == 0 {
				r.Drop(gateway)
				delete(newest, gateway)
				continue
			}
			newest[gateway] = drawUses(t)
			r.Put(gateway, nil, newest[gateway], now)
		}
		want := map[uint64]Use{}
		for _, uses := range newest {
			for _, u := range uses {
				want[u.Workspace] = Use{u.Workspace, want[u.Workspace].Used + u.Used, want[u.Workspace].Waiting + u.Waiting}
			}
		}
		got := map[uint64]Use{}
		for _, u := range r.Uses(now) {
			got[u.Workspace] = u
		}
		for id, u := range want {
			g.Expect(got[id].Used).To(Equal(u.Used))
			g.Expect(got[id].Waiting).To(Equal(u.Waiting))
		}
		g.Expect(r.Uses(now.Add(maxUseAge + sweepInterval))).To(BeEmpty())
	})
}
