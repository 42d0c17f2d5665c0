package runners

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A runner that fails and recovers repeatedly is ejected longer each time, until it has succeeded
// for a while.
func TestFlappingRunnerIsEjectedLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	d := directoryOf("r")
	r, now := d.all["r"], time.Now()
	var coolDowns []time.Duration
	for range 4 {
		r.Unreachable(now)
		coolDowns = append(coolDowns, r.health.ejectedUntil.Sub(now))
		now = r.health.ejectedUntil
		for range 10 {
			r.answered(10*time.Millisecond, now)
			now = now.Add(100 * time.Millisecond)
		}
	}
	g.Expect(coolDowns).To(Equal([]time.Duration{minCoolDown, 2 * minCoolDown, 4 * minCoolDown, 8 * minCoolDown}))
	now = now.Add(2 * coolDownResetAfter)
	r.answered(10*time.Millisecond, now)
	r.Unreachable(now)
	g.Expect(r.health.ejectedUntil.Sub(now)).To(Equal(minCoolDown), "after it succeeded for longer than coolDownResetAfter")
}

// If more than half of a service's runners are ejected, the ejections are ignored, whatever the
// outcomes are.
func TestAtMostHalfOfServiceIsEjected(t *testing.T) {
	g := NewWithT(t)
	d := directoryOf("a", "b", "c", "d")
	now := time.Now()
	for i, id := range []string{"a", "b", "c", "d"} {
		d.all[id].Unreachable(now)
		healthy := len(Healthy(d.All("s"), now))
		g.Expect(healthy).To(Equal([]int{3, 2, 4, 4}[i]), "with %d unreachable", i+1)
	}
}

// Each refusal raises the refusal rate of a runner. The rate decays within seconds.
func TestRefusalRateRisesWithRefusalsAndDecays(t *testing.T) {
	g := NewWithT(t)
	d := directoryOf("a")
	r, now := d.all["a"], time.Now()
	g.Expect(r.Refusals(now)).To(BeZero())
	last := 0.0
	for range 5 {
		r.Declined(now)
		g.Expect(r.Refusals(now)).To(BeNumerically(">", last))
		last = r.Refusals(now)
	}
	g.Expect(r.Failures(now)).To(BeZero(), "a refusal is not a failure")
	g.Expect(r.Refusals(now.Add(5 * refusalDecay))).To(BeNumerically("<", 0.01))
	r.answered(time.Millisecond, now)
	g.Expect(r.Refusals(now)).To(BeNumerically("<", last))
}
