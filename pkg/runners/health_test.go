package runners

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A runner that goes down and up earns its way back: each time it rests longer, as long
// as it has not done well for a while.
func TestAFlappingRunnerRestsLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	d := directoryOf("r")
	r, now := d.all["r"], time.Now()
	var rests []time.Duration
	for range 4 {
		r.Unreachable(now)
		rests = append(rests, r.health.until.Sub(now))
		now = r.health.until
		for range 10 {
			r.answered(10*time.Millisecond, now)
			now = now.Add(100 * time.Millisecond)
		}
	}
	g.Expect(rests).To(Equal([]time.Duration{firstRest, 2 * firstRest, 4 * firstRest, 8 * firstRest}))
	now = now.Add(2 * steadyFor)
	r.answered(10*time.Millisecond, now)
	r.Unreachable(now)
	g.Expect(r.health.until.Sub(now)).To(Equal(firstRest), "after it did well for long")
}

// Never more than half of a service rests, whatever is seen of its runners.
func TestNeverMoreThanHalfOfAServiceRests(t *testing.T) {
	g := NewWithT(t)
	d := directoryOf("a", "b", "c", "d")
	now := time.Now()
	for i, id := range []string{"a", "b", "c", "d"} {
		d.all[id].Unreachable(now)
		left := len(Healthy(d.All("s"), now))
		g.Expect(left).To(Equal([]int{3, 2, 4, 4}[i]), "with %d unreachable", i+1)
	}
}

// A runner that turns requests away gets dearer with each, and is forgiven in seconds.
func TestRefusalsRaiseTheRateAndFade(t *testing.T) {
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
	g.Expect(r.Failures(now)).To(BeZero(), "a refusal is no failure")
	g.Expect(r.Refusals(now.Add(5 * refusalsIn))).To(BeNumerically("<", 0.01))
	r.answered(time.Millisecond, now)
	g.Expect(r.Refusals(now)).To(BeNumerically("<", last))
}
