package runnerlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// enforcedAfter is the time after which all gateways must comply with a limit.
	enforcedAfter = time.Second
	// propertySeeds is the number of random sequences for each size.
	propertySeeds = 4
)

// injectFault injects a random fault or change: it freezes or restarts a gateway, partitions the gateways or
// ends the partition, or changes the limit.
func (s *sim) injectFault(random *rand.Rand) {
	g := s.gateways[random.IntN(len(s.gateways))]
	switch random.IntN(5) {
	case 0:
		g.frozenUntil = s.now.Add(time.Duration(200+random.IntN(3000)) * time.Millisecond)
	case 1:
		s.restart(g)
	case 2:
		for _, o := range s.gateways {
			o.partition = random.IntN(2)
		}
	case 3:
		for _, o := range s.gateways {
			o.partition = 0
		}
	case 4:
		s.limit *= 0.7 + 0.6*random.Float64()
	}
}

// restart replaces a gateway's process by a new one, to which the others send all reports again.
func (s *sim) restart(g *simGateway) {
	s.start(g)
	for _, o := range s.gateways {
		delete(o.sentRevision, g.name)
		o.changedAt = s.now
	}
}

// expectWithinLimit fails if in any window the runner got more calls than it tolerates at the highest limit.
func (s *sim) expectWithinLimit(g *WithT, from time.Time, highest float64, what string) {
	allowed := overshoot*highest*window.Seconds() + slack
	g.Expect(s.maxPerWindow(from)).To(BeNumerically("<=", allowed), what)
}

// Guards against gateways that together exceed a limit, whatever their number, or that leave it unused
// although its users have enough requests.
func TestGatewaysComplyWithLimitAndUseIt(t *testing.T) {
	for _, c := range []struct {
		gateways int
		limit    float64
		calls    int
	}{{4, 0.3, 1}, {4, 3, 1}, {5, 3, 2}, {4, 30, 1}, {30, 0.3, 1}, {30, 3, 1}, {30, 3, 2}, {30, 30, 1}} {
		t.Run(fmt.Sprintf("%d gateways, %g a second, %d calls", c.gateways, c.limit, c.calls), func(t *testing.T) {
			g := NewWithT(t)
			s := newSim(1, c.gateways, c.limit, func(int) float64 { return 30 * c.limit / float64(c.gateways) })
			s.calls = c.calls
			s.run(enforcedAfter)
			from := s.now
			s.run(12 * time.Second)
			s.expectWithinLimit(g, from, c.limit, "calls in 4 s")
			g.Expect(s.utilization(from)).To(And(BeNumerically(">", 0.8), BeNumerically("<", 1.3)))
		})
	}
}

// Guards against exceeding a limit while gateways freeze, restart or are partitioned, and while the limit
// changes. The calls of the affected gateways are counted too.
func TestGatewaysComplyWithLimitUnderFaults(t *testing.T) {
	for _, n := range []int{4, 12, 30} {
		for _, limit := range []float64{0.5, 3, 20} {
			for seed := range uint64(propertySeeds) {
				t.Run(fmt.Sprintf("%d gateways, %g a second, seed %d", n, limit, seed), func(t *testing.T) {
					g := NewWithT(t)
					s := newSim(seed, n, limit, func(int) float64 { return 10 * limit / float64(n) })
					random := rand.New(rand.NewPCG(seed, 2))
					s.run(enforcedAfter)
					from, highest := s.now, limit
					for range 12 {
						s.run(time.Duration(300+random.IntN(1500)) * time.Millisecond)
						s.injectFault(random)
						highest = max(highest, s.limit)
					}
					s.expectWithinLimit(g, from, highest, "calls in 4 s")
				})
			}
		}
	}
}

// Guards against exceeding a limit when gateways learn of it at different times, with 100 gateways as with 4.
func TestManyGatewaysComplyWithLimit(t *testing.T) {
	g := NewWithT(t)
	const n, limit = 100, 3
	s := newSim(1, n, limit, func(int) float64 { return 100 * limit / float64(n) })
	s.run(enforcedAfter)
	from := s.now
	s.run(6 * time.Second)
	s.expectWithinLimit(g, from, limit, "calls in 4 s")
	g.Expect(s.utilization(from)).To(BeNumerically(">", 0.8))
}
