package notice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// simulation is gateways before runners of one service that turn away what they have no slot for, and ask
// for a pause with it. Time goes in steps.
type simulation struct {
	random   *rand.Rand
	gateways []*Table
	runners  []*simulated
	// slowStart is false where a runner is used without a bound after its pause.
	slowStart bool
	now       time.Time
	serial    int
	// waiting are the times at which refused clients come back.
	waiting map[time.Time]int

	served, shed, refused int
}

// simulated is a runner: the requests that it runs, by when they end.
type simulated struct {
	name string
	runs []run
}

type run struct {
	gateway int
	request string
	sent    time.Time
	ends    time.Time
}

const (
	simStep    = time.Millisecond
	simSlots   = 6
	simService = 50 * time.Millisecond
	simAsks    = time.Second
	// simGiveUp is the part of clients that are refused and do not come back.
	simGiveUp = 0.5
)

func newSimulation(gateways, runners int, slowStart bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(1, 2)), slowStart: slowStart, now: at(0), waiting: map[time.Time]int{}}
	for range gateways {
		s.gateways = append(s.gateways, New())
	}
	for i := range runners {
		s.runners = append(s.runners, &simulated{name: fmt.Sprint("r", i)})
	}
	return s
}

// play lets requests come at a rate for a time.
func (s *simulation) play(perSecond float64, lasts time.Duration) {
	for end := s.now.Add(lasts); s.now.Before(end); s.now = s.now.Add(simStep) {
		for _, r := range s.runners {
			s.finish(r)
		}
		arrivals := s.waiting[s.now]
		delete(s.waiting, s.now)
		if s.random.Float64() < perSecond*simStep.Seconds() {
			arrivals++
		}
		for range arrivals {
			s.arrive(s.random.IntN(len(s.gateways)))
		}
	}
}

func (s *simulation) finish(r *simulated) {
	left := r.runs[:0]
	for _, x := range r.runs {
		if s.now.Before(x.ends) {
			left = append(left, x)
			continue
		}
		s.served++
		s.gateways[x.gateway].Release(r.name, x.request)
		s.gateways[x.gateway].Observe(r.name, Notice{Accepted: true, Sent: x.sent}, s.now)
	}
	r.runs = left
}

// arrive sends a request to the least loaded runner that its gateway may use, and retries it at others
// after a refusal.
func (s *simulation) arrive(gateway int) {
	s.serial++
	request, table := fmt.Sprint(s.serial), s.gateways[gateway]
	tried := map[*simulated]bool{}
	for range 3 {
		best := s.choose(table, tried)
		if best == nil || s.slowStart && !table.Claim(best.name, request, s.now) {
			break
		}
		tried[best] = true
		if len(best.runs) < simSlots {
			best.runs = append(best.runs, run{gateway, request, s.now, s.now.Add(simService)})
			return
		}
		s.shed++
		table.Release(best.name, request)
		table.Observe(best.name, asksFor(simAsks), s.now)
	}
	s.refused++
	if s.random.Float64() >= simGiveUp {
		s.comeBack(table)
	}
}

// comeBack has a client return after the first pause, or up to a quarter later.
func (s *simulation) comeBack(table *Table) {
	after := 300 * time.Millisecond
	for i, r := range s.runners {
		if left := table.PausedFor(r.name, s.now); i == 0 || left < after {
			after = max(left, 300*time.Millisecond)
		}
	}
	after += time.Duration(s.random.Int64N(int64(after)/4 + 1))
	s.waiting[s.now.Add(after.Truncate(simStep))]++
}

// choose returns the runner with the least work of this gateway's, which does not see that of others.
func (s *simulation) choose(table *Table, tried map[*simulated]bool) *simulated {
	var best *simulated
	least := 0
	for _, r := range s.runners {
		if tried[r] || table.PausedFor(r.name, s.now) > 0 || s.slowStart && !table.Room(r.name, s.now) {
			continue
		}
		own := 0
		for _, x := range r.runs {
			if s.gateways[x.gateway] == table {
				own++
			}
		}
		if best == nil || own < least {
			best, least = r, own
		}
	}
	return best
}

// Guards against a return after a pause that has the runner turn away more than a slow one, or serves less.
func TestASlowStartIsTurnedAwayLessAndServesAsMuch(t *testing.T) {
	for _, gateways := range []int{4, 30} {
		for _, load := range []float64{0.7, 1, 1.5, 3} {
			t.Run(fmt.Sprintf("%d gateways, load %g", gateways, load), func(t *testing.T) {
				g := NewWithT(t)
				capacity := 3 * simSlots / simService.Seconds()
				slow, full := newSimulation(gateways, 3, true), newSimulation(gateways, 3, false)
				for _, s := range []*simulation{slow, full} {
					s.play(load*capacity, 20*time.Second)
				}
				t.Logf("slow start: served %d, turned away %d, refused %d; at once: %d, %d, %d",
					slow.served, slow.shed, slow.refused, full.served, full.shed, full.refused)
				g.Expect(slow.served).To(BeNumerically(">", full.served*19/20))
				g.Expect(slow.shed).To(BeNumerically("<=", full.shed*21/20))
			})
		}
	}
}
