package subset

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("g%03d", i)
	}
	return out
}

// view returns the subsets as seen by the i-th of the gateways.
func view(all []string, i int) *Subset {
	return New(all[i], slices.Delete(slices.Clone(all), i, i+1))
}

func TestFewGatewaysUseAllEngines(t *testing.T) {
	g := NewWithT(t)
	s := view(names(GatewaysPerEngine), 0)
	g.Expect(s.Uses("e")).To(BeTrue())
	g.Expect(s.GatewaysOf("e")).To(HaveLen(GatewaysPerEngine))
}

// All gateways compute the same users of an engine, in whatever order they learned of each other.
func TestGatewaysComputeSameSubsets(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		all := names(rapid.IntRange(GatewaysPerEngine+1, 60).Draw(t, "gateways"))
		engine := rapid.StringMatching(`i-[0-9a-f]{4}`).Draw(t, "engine")
		users := 0
		for i := range all {
			s := view(all, i)
			g.Expect(s.GatewaysOf(engine)).To(Equal(view(all, 0).GatewaysOf(engine)))
			g.Expect(s.Uses(engine)).To(Equal(slices.Contains(s.GatewaysOf(engine), all[i])))
			if s.Uses(engine) {
				users++
			}
		}
		g.Expect(users).To(Equal(GatewaysPerEngine))
	})
}

// Removing a gateway changes only the engines that it used, each by one user.
func TestRemovedGatewayChangesOnlyItsEngines(t *testing.T) {
	g := NewWithT(t)
	all := names(100)
	before, after := view(all, 0), view(all[:99], 0)
	for i := range 200 {
		engine := fmt.Sprintf("e%d", i)
		kept := 0
		for _, name := range before.GatewaysOf(engine) {
			if slices.Contains(after.GatewaysOf(engine), name) {
				kept++
			}
		}
		if slices.Contains(before.GatewaysOf(engine), all[99]) {
			g.Expect(kept).To(Equal(GatewaysPerEngine - 1))
		} else {
			g.Expect(kept).To(Equal(GatewaysPerEngine))
		}
	}
}

// No gateway uses more than twice or less than half of its mean number of engines.
func TestEnginesSpreadEvenly(t *testing.T) {
	g := NewWithT(t)
	all := names(420)
	counts := map[string]int{}
	s := view(all, 0)
	const engines = 730
	for i := range engines {
		for _, name := range s.GatewaysOf(fmt.Sprintf("e%d", i)) {
			counts[name]++
		}
	}
	share := float64(engines*GatewaysPerEngine) / 420
	for _, name := range all {
		g.Expect(float64(counts[name])).To(And(BeNumerically(">", share/2), BeNumerically("<", share*2)), name)
	}
}

func BenchmarkUses(b *testing.B) {
	s := view(names(420), 0)
	for b.Loop() {
		s.Uses("e")
	}
}

// A smaller n returns a prefix of the list for a larger n.
func TestFirstReturnsPrefixOfLargerResult(t *testing.T) {
	g := NewWithT(t)
	s := view(names(40), 0)
	g.Expect(s.First("e", 40)).To(ConsistOf(names(40)))
	g.Expect(s.First("e", 5)).To(Equal(s.First("e", 12)[:5]))
	g.Expect(s.First("e", GatewaysPerEngine)).To(Equal(s.GatewaysOf("e")))
}
