package runnerlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// known is after what time all gateways must keep to a limit.
	known = time.Second
	// propertySeeds is how many random sequences are run for each size.
	propertySeeds = 4
)

// trouble strikes once at random: a gateway stands still, starts again, or some are cut off.
func (s *sim) trouble(random *rand.Rand) {
	g := s.gateways[random.IntN(len(s.gateways))]
	switch random.IntN(5) {
	case 0:
		g.frozen = s.now.Add(time.Duration(200+random.IntN(3000)) * time.Millisecond)
	case 1:
		s.restart(g)
	case 2:
		for _, o := range s.gateways {
			o.island = random.IntN(2)
		}
	case 3:
		for _, o := range s.gateways {
			o.island = 0
		}
	case 4:
		s.limit *= 0.7 + 0.6*random.Float64()
	}
}

// restart ends a gateway's process and begins another, which the others tell everything.
func (s *sim) restart(g *simGateway) {
	s.start(g)
	for _, o := range s.gateways {
		delete(o.told, g.name)
		o.changed = s.now
	}
}

// within fails where the runner got more in some window than the highest limit in it bears.
func (s *sim) within(g *WithT, from time.Time, highest float64, what string) {
	bears := overshoot*highest*window.Seconds() + slack
	g.Expect(s.most(from)).To(BeNumerically("<=", bears), what)
}

// The limit holds over all gateways together, whatever their number, and is used where the gateways
// that share it have the demand.
func TestGatewaysTogetherKeepToALimitAndUseIt(t *testing.T) {
	for _, c := range []struct {
		gateways int
		limit    float64
		calls    int
	}{{4, 0.3, 1}, {4, 3, 1}, {5, 3, 2}, {4, 30, 1}, {30, 0.3, 1}, {30, 3, 1}, {30, 3, 2}, {30, 30, 1}} {
		t.Run(fmt.Sprintf("%d gateways, %g a second, %d calls", c.gateways, c.limit, c.calls), func(t *testing.T) {
			g := NewWithT(t)
			s := newSim(1, c.gateways, c.limit, func(int) float64 { return 30 * c.limit / float64(c.gateways) })
			s.calls = c.calls
			s.run(known)
			from := s.now
			s.run(12 * time.Second)
			s.within(g, from, c.limit, "calls in 4 s")
			g.Expect(s.used(from)).To(And(BeNumerically(">", 0.8), BeNumerically("<", 1.3)))
		})
	}
}

// The same holds while gateways stand still, start again, are cut off from each other, and the limit
// moves; what those did that struck by is counted too.
func TestGatewaysKeepToALimitUnderTrouble(t *testing.T) {
	for _, n := range []int{4, 12, 30} {
		for _, limit := range []float64{0.5, 3, 20} {
			for seed := range uint64(propertySeeds) {
				t.Run(fmt.Sprintf("%d gateways, %g a second, seed %d", n, limit, seed), func(t *testing.T) {
					g := NewWithT(t)
					s := newSim(seed, n, limit, func(int) float64 { return 10 * limit / float64(n) })
					random := rand.New(rand.NewPCG(seed, 2))
					s.run(known)
					from, highest := s.now, limit
					for range 12 {
						s.run(time.Duration(300+random.IntN(1500)) * time.Millisecond)
						s.trouble(random)
						highest = max(highest, s.limit)
					}
					s.within(g, from, highest, "calls in 4 s")
				})
			}
		}
	}
}

// A fleet whose gateways learn of a limit at different times keeps to it, and 100 of them as 4 do.
func TestManyGatewaysKeepToALimit(t *testing.T) {
	g := NewWithT(t)
	const n, limit = 100, 3
	s := newSim(1, n, limit, func(int) float64 { return 100 * limit / float64(n) })
	s.run(known)
	from := s.now
	s.run(6 * time.Second)
	s.within(g, from, limit, "calls in 4 s")
	g.Expect(s.used(from)).To(BeNumerically(">", 0.8))
}
