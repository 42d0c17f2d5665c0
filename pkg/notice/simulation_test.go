package notice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// simulation models gateways and the runners of one service. A runner without a free slot refuses a request
// and asks for a pause. Time advances in steps.
type simulation struct {
	random   *rand.Rand
	gateways []*Table
	runners  []*simRunner
	// slowStart is false if the gateways send without a bound after a pause.
	slowStart bool
	now       time.Time
	serial    int
	// retries is the number of refused clients that retry, by time.
	retries map[time.Time]int

	// shed counts refusals by runners, refused requests that their gateway refused to the client.
	served, shed, refused int
}

// simRunner is a runner with the requests that it runs.
type simRunner struct {
	name    string
	running []simRequest
}

type simRequest struct {
	gateway int
	request string
	sent    time.Time
	ends    time.Time
}

const (
	simStep    = time.Millisecond
	simSlots   = 6
	simService = 50 * time.Millisecond
	simPause   = time.Second
	// simGiveUpFraction is the fraction of refused clients that don't retry.
	simGiveUpFraction = 0.5
)

func newSimulation(gateways, runners int, slowStart bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(1, 2)), slowStart: slowStart, now: at(0), retries: map[time.Time]int{}}
	for range gateways {
		s.gateways = append(s.gateways, New())
	}
	for i := range runners {
		s.runners = append(s.runners, &simRunner{name: fmt.Sprint("r", i)})
	}
	return s
}

// advance runs the simulation for a time, with requests arriving at a rate.
func (s *simulation) advance(perSecond float64, lasts time.Duration) {
	for end := s.now.Add(lasts); s.now.Before(end); s.now = s.now.Add(simStep) {
		for _, r := range s.runners {
			s.finish(r)
		}
		arrivals := s.retries[s.now]
		delete(s.retries, s.now)
		if s.random.Float64() < perSecond*simStep.Seconds() {
			arrivals++
		}
		for range arrivals {
			s.arrive(s.random.IntN(len(s.gateways)))
		}
	}
}

func (s *simulation) finish(r *simRunner) {
	left := r.running[:0]
	for _, x := range r.running {
		if s.now.Before(x.ends) {
			left = append(left, x)
			continue
		}
		s.served++
		s.gateways[x.gateway].Release(r.name, x.request)
		s.gateways[x.gateway].Observe(r.name, Notice{Accepted: true, Sent: x.sent}, s.now)
	}
	r.running = left
}

// arrive sends a request to the least loaded runner that its gateway may use, and retries it at other runners
// after a refusal.
func (s *simulation) arrive(gateway int) {
	s.serial++
	request, table := fmt.Sprint(s.serial), s.gateways[gateway]
	tried := map[*simRunner]bool{}
	for range 3 {
		best := s.choose(table, tried)
		if best == nil || s.slowStart && !table.Claim(best.name, request, s.now) {
			break
		}
		tried[best] = true
		if len(best.running) < simSlots {
			best.running = append(best.running, simRequest{gateway, request, s.now, s.now.Add(simService)})
			return
		}
		s.shed++
		table.Release(best.name, request)
		table.Observe(best.name, asksFor(simPause), s.now)
	}
	s.refused++
	if s.random.Float64() >= simGiveUpFraction {
		s.scheduleRetry(table)
	}
}

// scheduleRetry schedules a client's retry after the shortest remaining pause, at least 300 ms, plus up to a
// quarter of that at random.
func (s *simulation) scheduleRetry(table *Table) {
	after := 300 * time.Millisecond
	for i, r := range s.runners {
		if left := table.PausedFor(r.name, s.now); i == 0 || left < after {
			after = max(left, 300*time.Millisecond)
		}
	}
	after += time.Duration(s.random.Int64N(int64(after)/4 + 1))
	s.retries[s.now.Add(after.Truncate(simStep))]++
}

// choose returns the runner with the fewest requests of this gateway, which doesn't see those of other
// gateways.
func (s *simulation) choose(table *Table, tried map[*simRunner]bool) *simRunner {
	var best *simRunner
	least := 0
	for _, r := range s.runners {
		if tried[r] || table.PausedFor(r.name, s.now) > 0 || s.slowStart && !table.Room(r.name, s.now) {
			continue
		}
		own := 0
		for _, x := range r.running {
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

// Guards against a slow start that makes runners refuse more requests, or serve fewer, than a return at full
// load after a pause.
func TestSlowStartAddsNoRefusalsAndKeepsThroughput(t *testing.T) {
	for _, gateways := range []int{4, 30} {
		for _, load := range []float64{0.7, 1, 1.5, 3} {
			t.Run(fmt.Sprintf("%d gateways, load %g", gateways, load), func(t *testing.T) {
				g := NewWithT(t)
				capacity := 3 * simSlots / simService.Seconds()
				slow, full := newSimulation(gateways, 3, true), newSimulation(gateways, 3, false)
				for _, s := range []*simulation{slow, full} {
					s.advance(load*capacity, 20*time.Second)
				}
				t.Logf("slow start: served %d, refused by runners %d, refused to clients %d; without: %d, %d, %d",
					slow.served, slow.shed, slow.refused, full.served, full.shed, full.refused)
				g.Expect(slow.served).To(BeNumerically(">", full.served*19/20))
				g.Expect(slow.shed).To(BeNumerically("<=", full.shed*21/20))
			})
		}
	}
}
