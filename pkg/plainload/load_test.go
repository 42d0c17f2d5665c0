package plainload

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// simLoad is how long the tests send requests.
const simLoad = 3 * time.Second

// playLoad plays an overload with and without limits on the same seed.
func playLoad(gateways, runners int, factor float64, prepare func(*sim)) (limited, unlimited simCounts) {
	play := func(limit bool) simCounts {
		s := newSim(7, gateways, runners, limit)
		if prepare != nil {
			prepare(s)
		}
		s.load(simCapacity*float64(runners)*factor, simLoad)
		s.run(2 * time.Second)
		return s.counts
	}
	return play(true), play(false)
}

// Guards against an overload in which most requests are turned away by the runners, and in which
// requests that come back take the room of those that can still be served in time.
func TestOverloadServesInTimeWhatFits(t *testing.T) {
	for _, gateways := range []int{4, 25} {
		for _, factor := range []float64{1.3, 2} {
			t.Run(fmt.Sprintf("%d gateways, %g times the capacity", gateways, factor), func(t *testing.T) {
				g := NewWithT(t)
				limited, unlimited := playLoad(gateways, 1, factor, nil)
				t.Log("limited: ", limited)
				t.Log("unlimited: ", unlimited)
				capacity := simCapacity * simLoad.Seconds()
				g.Expect(float64(limited.inTime)).To(BeNumerically(">", 0.85*capacity))
				g.Expect(float64(limited.inTime)).To(BeNumerically(">", 1.1*float64(unlimited.inTime)))
				g.Expect(limited.refused).To(BeNumerically("<", unlimited.refused+limited.asked/20), "clients refused for good")
				g.Expect(float64(limited.turnedAway)).To(BeNumerically("<", 0.1*float64(limited.sends)))
			})
		}
	}
}

// Guards against a loss at the capacity itself: nearly all requests fit.
func TestFullLoadIsServed(t *testing.T) {
	g := NewWithT(t)
	limited, unlimited := playLoad(25, 3, 1, nil)
	g.Expect(limited.inTime + limited.again + limited.late).To(BeNumerically(">=", unlimited.inTime+unlimited.again+unlimited.late-limited.asked/100))
	g.Expect(limited.refused).To(BeNumerically("<", limited.asked/100))
}

// Without pressure a request is sent at once, and nothing waits.
func TestLightLoadIsUnchanged(t *testing.T) {
	g := NewWithT(t)
	limited, unlimited := playLoad(4, 3, 0.6, nil)
	g.Expect(limited).To(Equal(unlimited))
	g.Expect(limited.turnedAway).To(BeZero())
}

// Guards against a queue that fills one slow runner while the others have room.
func TestSlowRunnerGetsLess(t *testing.T) {
	g := NewWithT(t)
	limited, unlimited := playLoad(25, 3, 0.9, func(s *sim) { s.runners[0].factor = 3 })
	t.Log("limited: ", limited)
	t.Log("unlimited: ", unlimited)
	g.Expect(limited.inTime).To(BeNumerically(">=", unlimited.inTime))
	g.Expect(limited.turnedAway).To(BeNumerically("<", limited.sends/10))
}

// Guards against clients that return at once and take the room of the others.
func TestClientsThatReturnAtOnceGainNothing(t *testing.T) {
	g := NewWithT(t)
	limited, unlimited := playLoad(25, 1, 1.5, func(s *sim) { s.abuse = 0.3 })
	t.Log("limited: ", limited)
	t.Log("unlimited: ", unlimited)
	g.Expect(float64(limited.inTime)).To(BeNumerically(">", 1.1*float64(unlimited.inTime)))
}

// Guards against limits that only work if requests are spread evenly over the gateways.
func TestUnevenGateways(t *testing.T) {
	g := NewWithT(t)
	limited, unlimited := playLoad(25, 1, 1.6, func(s *sim) {
		for i := range s.weights {
			s.weights[i] = 0.3 / float64(len(s.weights)-1)
		}
		s.weights[0] = 0.7
	})
	t.Log("limited: ", limited)
	g.Expect(float64(limited.inTime)).To(BeNumerically(">", 1.1*float64(unlimited.inTime)))
	g.Expect(float64(limited.turnedAway)).To(BeNumerically("<", 0.1*float64(limited.sends)))
}

// Guards against limits that outlive the load for which they were learned, so that requests wait for
// runners with free slots.
func TestLimitsOpenAfterOverload(t *testing.T) {
	g := NewWithT(t)
	s := newSim(7, 25, 1, true)
	s.load(1.5*simCapacity, time.Second)
	// The refused clients of the overload return for half a second, and wait for a third of one.
	s.load(0.5*simCapacity, time.Second)
	s.counts = simCounts{}
	s.load(0.6*simCapacity, 2*time.Second)
	t.Log(s.counts)
	g.Expect(float64(s.counts.inTime)).To(BeNumerically(">", 0.97*float64(s.counts.asked)))
	g.Expect(s.counts.refused).To(BeZero())
}
