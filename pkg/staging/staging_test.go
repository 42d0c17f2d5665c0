package staging

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/spectest"
)

func engines(prefill, decode int) []*runners.State {
	dir := runners.NewDirectory("a")
	for i := range prefill + decode {
		stage := runners.Prefill
		if i >= prefill {
			stage = runners.Decode
		}
		dir.Put(runners.Runner{ID: fmt.Sprintf("e%02d", i), Service: "s", Domain: fmt.Sprintf("z%d", i%3), Stage: stage}, time.Now())
	}
	return dir.Present("s", time.Now())
}

// An exact plan leads to the wanted stages, changes no engine twice and leaves one engine in each
// stage. A second plan is empty.
func TestExactPlanLeadsToWantedStages(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		p := DefaultPolicy()
		prefill, decode := rapid.IntRange(1, 20).Draw(t, "prefill"), rapid.IntRange(1, 20).Draw(t, "decode")
		all, now := engines(prefill, decode), time.Now()
		changes := p.Plan(Situation{Engines: all, Exact: true}, now)
		seen := map[string]bool{}
		after := prefill
		for _, c := range changes {
			g.Expect(seen[c.Runner.ID]).To(BeFalse())
			seen[c.Runner.ID] = true
			g.Expect(c.Runner.Stage).NotTo(Equal(c.Stage))
			if c.Stage == runners.Prefill {
				after++
			} else {
				after--
			}
			c.Runner.BeginStageChange(c.Stage, time.Minute, now)
		}
		total := prefill + decode
		g.Expect(p.Plan(Situation{Engines: all, Exact: true}, now)).To(BeEmpty(), "changing engines count in their new stage")
		g.Expect(after).To(And(BeNumerically(">=", 1), BeNumerically("<", total)))
		if total >= 2*p.MinPrefill {
			g.Expect(after).To(Equal(p.Wanted(total, 0)))
		}
	})
}

// Guards against a stage that is left without an engine because one engine too few is tolerated
// under load.
func TestPlanLeavesNoStageWithoutEngine(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		p, now := DefaultPolicy(), time.Now()
		prefill, decode := rapid.IntRange(0, 12).Draw(t, "prefill"), rapid.IntRange(0, 12).Draw(t, "decode")
		x := Situation{Engines: engines(prefill, decode), Exact: rapid.Bool().Draw(t, "exact"), LearnedShare: rapid.Float64Range(0, 1).Draw(t, "learned")}
		total, after := prefill+decode, prefill
		for _, c := range p.Plan(x, now) {
			if c.Urgent != (c.Stage == runners.Prefill && prefill == 0 || c.Stage == runners.Decode && decode == 0) {
				t.Fatalf("urgent: %v", c.Urgent)
			}
			if c.Stage == runners.Prefill {
				after++
			} else {
				after--
			}
		}
		if total >= 2 && (after < 1 || after >= total) {
			t.Fatalf("%d of %d engines prefill", after, total)
		}
	})
}

// An engine that Admits excludes still counts in its stage, and another engine is changed.
func TestEngineThatIsNotAdmittedIsNotChanged(t *testing.T) {
	g := NewWithT(t)
	all := engines(4, 1)
	x := Situation{Engines: all, Exact: true, Serves: func(s *runners.State) bool { return s.ID != "e00" }}
	changes := DefaultPolicy().Plan(x, time.Now())
	g.Expect(changes).NotTo(BeEmpty())
	for _, c := range changes {
		g.Expect(c.Runner.ID).NotTo(Equal("e00"))
	}
}

func TestSmallDifferenceIsToleratedUnderLoad(t *testing.T) {
	g := NewWithT(t)
	p := DefaultPolicy()
	now := time.Now()
	g.Expect(p.Plan(Situation{Engines: engines(5, 7), Exact: false}, now)).To(BeEmpty())
	g.Expect(p.Plan(Situation{Engines: engines(5, 7), Exact: true}, now)).To(HaveLen(1))
	g.Expect(p.Plan(Situation{Engines: engines(1, 9), Exact: false}, now)).NotTo(BeEmpty())
}

func TestEnginesAreTakenFromLargestDomains(t *testing.T) {
	g := NewWithT(t)
	domains := map[string]int{}
	for _, c := range DefaultPolicy().Plan(Situation{Engines: engines(7, 5), Exact: true}, time.Now()) {
		domains[c.Runner.Domain]++
	}
	g.Expect(domains).To(HaveLen(3))
}

// Under load only the part of a difference beyond the tolerance is corrected.
func TestChangesUnderLoadStopAtTolerance(t *testing.T) {
	g := NewWithT(t)
	p, now := DefaultPolicy(), time.Now()
	g.Expect(p.Wanted(12, 0)).To(Equal(4))
	g.Expect(p.Plan(Situation{Engines: engines(2, 10), Exact: false}, now)).To(HaveLen(1))
	g.Expect(p.Plan(Situation{Engines: engines(7, 5), Exact: false}, now)).To(HaveLen(2))
	g.Expect(p.Wanted(4, 0)).To(Equal(p.MinPrefill))
	g.Expect(p.Plan(Situation{Engines: engines(1, 3), Exact: false}, now)).To(HaveLen(1), "the minimum is ensured")
}

// An engine with a stage change under way gets no second one. It is planned for again if the
// change has not ended within its time limit.
func TestChangingEngineGetsNoSecondChange(t *testing.T) {
	g := NewWithT(t)
	p, now := DefaultPolicy(), time.Now()
	all := engines(1, 5)
	first := p.Plan(Situation{Engines: all, Exact: true}, now)
	g.Expect(first).To(HaveLen(1))
	first[0].Runner.BeginStageChange(first[0].Stage, time.Second, now)
	g.Expect(p.Plan(Situation{Engines: all, Exact: true}, now)).To(BeEmpty())
	g.Expect(p.Plan(Situation{Engines: all, Exact: true}, now.Add(2*time.Second))).To(HaveLen(1))
}

// The more engines share the load, the smaller the fraction that prefills: in measurements it was
// best that 4 of 12 engines prefill, 6 of 18, and a fraction of 0.20 to 0.28 of 47 and of 55.
func TestLargePoolsNeedSmallerMarginForPeaks(t *testing.T) {
	g := NewWithT(t)
	p := DefaultPolicy()
	for engines, wanted := range map[int]int{3: 1, 4: 2, 12: 4, 18: 6, 47: 12, 55: 14} {
		g.Expect(p.Wanted(engines, 0)).To(Equal(wanted), "of %d engines", engines)
	}
}

// A larger share of prefill time gets more prefill engines, a smaller one fewer. Shares learned from
// the usual load change nothing, for any number of engines.
func TestLearnedShareCountsIfClearlyDifferent(t *testing.T) {
	g := NewWithT(t)
	p := DefaultPolicy()
	for _, engines := range []int{9, 12, 38, 180} {
		for _, usual := range []float64{0.2, 0.235, 0.27} {
			g.Expect(p.Wanted(engines, usual)).To(Equal(p.Wanted(engines, 0)), "%d engines, share %v", engines, usual)
		}
		g.Expect(p.Wanted(engines, 0.54)).To(BeNumerically(">", p.Wanted(engines, 0)))
		g.Expect(p.Wanted(engines, 1)).To(BeNumerically("<", engines))
		g.Expect(p.Wanted(engines, 0.001)).To(BeNumerically(">=", p.MinPrefill))
	}
	g.Expect(p.Wanted(9, 0.54)).To(Equal(5))
	g.Expect(p.Plan(Situation{Engines: engines(3, 6), LearnedShare: 0.54, Exact: false}, time.Now())).To(HaveLen(1), "under load only beyond the tolerance")
	g.Expect(p.Plan(Situation{Engines: engines(3, 6), LearnedShare: 0.54, Exact: true}, time.Now())).To(HaveLen(2))
}

// The engine with the least work changes first within the domain with the most engines.
func TestEngineWithLeastLoadChangesFirst(t *testing.T) {
	g := NewWithT(t)
	all := engines(0, 9)
	loads := map[string]float64{}
	for i, s := range all {
		loads[s.ID] = float64((i*4 + 3) % 9)
	}
	changes := DefaultPolicy().Plan(Situation{Engines: all, Exact: true, Load: func(s *runners.State) float64 { return loads[s.ID] }}, time.Now())
	g.Expect(changes).To(HaveLen(3))
	for _, c := range changes {
		for _, s := range all {
			if s.Domain == c.Runner.Domain && s != c.Runner {
				g.Expect(loads[s.ID]).To(BeNumerically(">", loads[c.Runner.ID]))
			}
		}
	}
}

// pickOneByOne is a reference implementation of pick: each step takes the engine with the least
// load in the domain with the most engines left.
func pickOneByOne(s Situation, from []*runners.State, n int) []string {
	left := slices.Clone(from)
	var out []string
	for range min(max(0, n), len(left)) {
		domains := map[string]int{}
		for _, r := range left {
			domains[r.Domain]++
		}
		chosen := slices.MinFunc(left, func(a, b *runners.State) int {
			return cmp.Or(cmp.Compare(domains[b.Domain], domains[a.Domain]), cmp.Compare(s.load(a), s.load(b)), cmp.Compare(a.ID, b.ID))
		})
		out = append(out, chosen.ID)
		left = slices.DeleteFunc(left, func(r *runners.State) bool { return r == chosen })
	}
	return out
}

func TestPickMatchesReferenceImplementation(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		dir := runners.NewDirectory("a")
		loads := map[string]float64{}
		for i := range rapid.IntRange(0, 30).Draw(t, "engines") {
			id := fmt.Sprintf("e%02d", i)
			loads[id] = float64(rapid.IntRange(0, 3).Draw(t, "load"))
			dir.Put(runners.Runner{ID: id, Service: "s", Domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), Stage: runners.Decode}, time.Now())
		}
		x := Situation{Load: func(r *runners.State) float64 { return loads[r.ID] }}
		from, n := dir.Present("s", time.Now()), rapid.IntRange(0, 30).Draw(t, "n")
		var got []string
		for _, c := range x.pick(from, n, Change{Stage: runners.Prefill}) {
			g.Expect(c.Stage).To(Equal(runners.Prefill))
			got = append(got, c.Runner.ID)
		}
		g.Expect(got).To(Equal(pickOneByOne(x, from, n)))
	})
}

// BenchmarkPlan plans for 3,000 decode engines, of which some 600 change.
func BenchmarkPlan(b *testing.B) {
	dir := runners.NewDirectory("a")
	for i := range 3000 {
		dir.Put(runners.Runner{ID: fmt.Sprintf("e%04d", i), Service: "s", Domain: fmt.Sprintf("z%d", i%3), Stage: runners.Decode}, time.Now())
	}
	x := Situation{Engines: dir.Present("s", time.Now()), Exact: true, Load: func(r *runners.State) float64 { return float64(len(r.ID)) }}
	for b.Loop() {
		DefaultPolicy().Plan(x, time.Now())
	}
}

// BenchmarkPlanOfTwoSpeeds plans for engines of two speeds under load, when nothing is to be changed.
func BenchmarkPlanOfTwoSpeeds(b *testing.B) {
	for _, count := range []int{46, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			p, now := DefaultPolicy(), time.Now()
			wanted := p.Wanted(count, 0)
			x := Situation{Engines: engines(wanted, count-wanted), SlowPrefill: true, Reserved: 0.4, Speed: func(r *runners.State) float64 {
				if r.Stage == runners.Prefill {
					return 0.9
				}
				return 1.1
			}}
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(x, now)
			}
		})
	}
}

// Guards against a plan that takes the last decode engine of a software version, whose streams could then not continue.
func TestPlanKeepsDecodeEngineOfEachVersion(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		p, now, dir := DefaultPolicy(), time.Now(), runners.NewDirectory("a")
		n := rapid.IntRange(4, 20).Draw(t, "engines")
		for i := range n {
			version, stage := fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(t, "version")), runners.Decode
			if i == 0 {
				version, stage = "v0", runners.Prefill
			}
			dir.Put(runners.Runner{ID: fmt.Sprintf("e%02d", i), Service: "s", Stage: stage, Version: version}, now)
		}
		all := dir.Present("s", now)
		for range 5 {
			for _, c := range p.Plan(Situation{Engines: all, Exact: true, LearnedShare: rapid.Float64Range(0, 1).Draw(t, "learned")}, now) {
				dir.Put(runners.Runner{ID: c.Runner.ID, Service: "s", Stage: c.Stage, Version: c.Runner.Version}, now)
			}
			all = dir.Present("s", now)
		}
		versions, decode := map[string]int{}, map[string]int{}
		for _, r := range all {
			versions[r.Version]++
			if r.Stage == runners.Decode {
				decode[r.Version]++
			}
		}
		delete(versions, "v0")
		for v := range versions {
			if decode[v] == 0 {
				t.Fatalf("no engine decodes at %s: %v of %v", v, decode, versions)
			}
		}
	})
}
