package enginepool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	clusterStep   = 10 * time.Millisecond
	clusterMemory = 73000
	clusterSlots  = 16
	eventTokens   = 74
	clusterPrompt = 5000
	clusterHint   = 3500
	// clusterWait is how long a job waits for room before it is refused, and prefillDelay the time
	// from a reservation to the first event.
	clusterWait  = time.Second
	prefillDelay = 150 * time.Millisecond
	prefillRate  = 60000
)

// simRequest is a request in a cluster.
type simRequest struct {
	waiter   *Waiter
	gateway  int
	arrived  time.Time
	engine   int
	length   float64
	made     float64
	placedAt time.Time
	// readyAt is when its prompt is processed. evicted is set while it is preempted.
	readyAt time.Time
	evicted bool
	events  int
}

func (q *simRequest) memory() float64 { return float64(q.waiter.job.Prompt) + q.made }

// simEngine is a simulated engine. It preempts the newest request if its memory is full.
type simEngine struct {
	id     string
	speed  float64
	active []*simRequest
	// placed and events count the requests and the events so far.
	placed, events int
}

// cluster simulates gateways that place requests on engines and report to each other with a delay.
type cluster struct {
	now      time.Time
	random   *rand.Rand
	pools    []*Pool
	since    []uint64
	engines  []*simEngine
	byID     map[string]int
	waiting  []*simRequest
	inFlight []simReport
	serial   int
	// reportAge is the age of reports when they arrive; they are sent as often.
	reportAge time.Duration

	completed, preempted, refused int
}

type simReport struct {
	from int
	at   time.Time
	s    Snapshot
}

func newCluster(seed uint64, gateways int, speeds []float64, reportAge time.Duration) *cluster {
	c := &cluster{now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 4)), since: make([]uint64, gateways), byID: map[string]int{}, reportAge: reportAge}
	for i, speed := range speeds {
		id := fmt.Sprintf("d%d", i)
		c.byID[id] = i
		c.engines = append(c.engines, &simEngine{id: id, speed: speed})
	}
	for i := range gateways {
		d := runners.NewDirectory(fmt.Sprint("g", i))
		for _, e := range c.engines {
			d.Put(runners.Runner{ID: e.id, Service: "llm", Stage: runners.Decode}, c.now)
		}
		o := DefaultOptions()
		o.Pick = c.random.IntN
		o.Gateway, o.TurnInterval = fmt.Sprint("g", i), max(o.TurnInterval, 2*reportAge)
		p := New("llm", d, o)
		p.Configure(Spec{Memory: clusterMemory, Slots: clusterSlots})
		c.pools = append(c.pools, p)
	}
	return c
}

// capacity is the rate of requests, per second, at which the engines' memory is full.
func (c *cluster) capacity() float64 {
	length := clusterHint * math.Exp(priorSpread*priorSpread/2)
	sum := 0.0
	for _, e := range c.engines {
		sum += clusterMemory / ((clusterPrompt + length/2) * (length/e.speed + prefillDelay.Seconds()))
	}
	return sum
}

// arrive adds a request at a random gateway.
func (c *cluster) arrive() {
	c.serial++
	g := c.random.IntN(len(c.pools))
	p := c.pools[g]
	j := Job{ID: fmt.Sprint(c.serial), Prompt: clusterPrompt, Length: p.Lengths.Estimate(clusterHint, 0)}
	q := &simRequest{waiter: p.NewWaiter(j, Fresh), gateway: g, arrived: c.now, length: clusterHint * math.Exp(priorSpread*c.random.NormFloat64())}
	p.enqueue(q.waiter)
	c.waiting = append(c.waiting, q)
}

// run advances the cluster for a duration with a load, in requests per second.
func (c *cluster) run(d time.Duration, load float64) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(clusterStep)
		for due := load * clusterStep.Seconds(); c.random.Float64() < due; due-- {
			c.arrive()
		}
		for _, p := range c.pools {
			p.Dispatch(c.now)
		}
		c.place()
		for i, e := range c.engines {
			c.generate(i, e)
		}
		c.report()
	}
}

// place confirms granted reservations at the engines.
func (c *cluster) place() {
	kept := c.waiting[:0]
	for _, q := range c.waiting {
		p := c.pools[q.gateway]
		select {
		case s := <-q.waiter.granted:
			e := c.engines[c.byID[s.ID]]
			used := q.memory()
			for _, other := range e.active {
				used += other.memory()
			}
			if used > clusterMemory || len(e.active) >= clusterSlots {
				p.Refused(s.ID, q.waiter.job.ID, true, c.now)
				p.enqueue(q.waiter)
				kept = append(kept, q)
				continue
			}
			q.engine, q.placedAt, q.readyAt = c.byID[s.ID], c.now, c.now.Add(prefillDelay)
			e.active = append(e.active, q)
			e.placed++
		default:
			if c.now.Sub(q.arrived) > clusterWait {
				p.leave(q.waiter)
				c.refused++
				continue
			}
			kept = append(kept, q)
		}
	}
	c.waiting = kept
}

// generate advances the responses on an engine.
func (c *cluster) generate(i int, e *simEngine) {
	kept, used := e.active[:0], 0.0
	for _, q := range e.active {
		if !q.evicted {
			used += q.memory()
		}
	}
	for _, q := range e.active {
		if q.evicted {
			if used+q.memory() <= clusterMemory-eventTokens*clusterSlots {
				q.evicted, q.readyAt = false, c.now.Add(time.Duration(q.memory()/prefillRate*float64(time.Second)))
				used += q.memory()
			}
			kept = append(kept, q)
			continue
		}
		if c.now.Before(q.readyAt) {
			kept = append(kept, q)
			continue
		}
		grown := e.speed * clusterStep.Seconds()
		q.made += grown
		used += grown
		for q.made >= float64((q.events+1)*eventTokens) || q.events == 0 {
			q.events++
			e.events++
			c.pools[q.gateway].RecordTokens(e.id, q.waiter.job.ID, q.events*eventTokens, time.Time{}, c.now)
		}
		if q.made >= q.length {
			c.pools[q.gateway].End(e.id, q.waiter.job.ID, c.now)
			c.pools[q.gateway].Lengths.Learn(clusterHint, int(q.length))
			c.completed++
			continue
		}
		kept = append(kept, q)
	}
	e.active = kept
	for k := len(e.active) - 1; k >= 0 && used > clusterMemory; k-- {
		if q := e.active[k]; !q.evicted {
			q.evicted = true
			used -= q.memory()
			c.preempted++
		}
	}
}

// report delivers reports that are due and sends new ones.
func (c *cluster) report() {
	for len(c.inFlight) > 0 && c.now.Sub(c.inFlight[0].at) >= c.reportAge {
		r := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		for i, p := range c.pools {
			if i != r.from {
				p.ReceiveSnapshot(fmt.Sprint("g", r.from), r.s, c.now)
			}
		}
	}
	if c.now.UnixMilli()%c.reportAge.Milliseconds() != 0 {
		return
	}
	for i, p := range c.pools {
		var s Snapshot
		if s, c.since[i] = p.Snapshot(c.since[i], c.now); len(s.Engines) > 0 || s.WaitingChanged {
			c.inFlight = append(c.inFlight, simReport{i, c.now, s})
		}
	}
}

// twoSpeeds returns the speeds of engines of which a third takes 2.4 times as long per token.
func twoSpeeds(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		if out[i] = 1850; i%3 == 0 {
			out[i] /= 2.4
		}
	}
	return out
}

// seeds are the seeds with which each simulation runs.
var seeds = []uint64{1, 2, 3, 4}

// eachSeed runs a simulation with each seed, at the same time, and returns the results in their order.
func eachSeed[T any](seeds []uint64, run func(seed uint64) T) []T {
	out := make([]T, len(seeds))
	var running sync.WaitGroup
	for i, seed := range seeds {
		running.Go(func() { out[i] = run(seed) })
	}
	running.Wait()
	return out
}

// Guards against choices that depend on the iteration order of maps: a failure of a simulation could not
// be repeated.
func TestSimulationIsRepeatable(t *testing.T) {
	g := NewWithT(t)
	type result struct{ completed, preempted, refused int }
	got := eachSeed([]uint64{1, 1, 1}, func(seed uint64) result {
		s := newCluster(seed, 8, twoSpeeds(12), 20*time.Millisecond)
		s.run(5*time.Second, 1.1*s.capacity())
		return result{s.completed, s.preempted, s.refused}
	})
	g.Expect(got[0].completed).To(BeNumerically(">", 50))
	g.Expect(got).To(HaveEach(got[0]))
}

// Guards against one speed for all engines: responses on slow engines then seem to end too early, and
// the engine preempts them. Below capacity nearly all requests get room, above it the engines stay full.
func TestEnginesOfTwoSpeeds(t *testing.T) {
	for _, c := range []struct{ load, maxPreempted, maxRefused float64 }{{0.5, 0.005, 0.001}, {0.9, 0.1, 0.25}, {1.1, 0.1, 0.40}} {
		t.Run(fmt.Sprintf("load %.1f", c.load), func(t *testing.T) {
			g := NewWithT(t)
			completed, preempted, refused := 0, 0, 0
			for i, s := range eachSeed(seeds, func(seed uint64) *cluster { return runTwoSpeeds(seed, c.load) }) {
				t.Logf("seed %d: completed %d, preempted %d, refused %d, capacity %.1f/s", seeds[i], s.completed, s.preempted, s.refused, s.capacity())
				completed, preempted, refused = completed+s.completed, preempted+s.preempted, refused+s.refused
			}
			total := float64(completed + refused)
			g.Expect(float64(preempted)/total).To(BeNumerically("<=", c.maxPreempted), "preempted")
			g.Expect(float64(refused)/total).To(BeNumerically("<=", c.maxRefused), "refused")
		})
	}
}

// runTwoSpeeds simulates engines of two speeds at a part of their capacity, and counts after the start.
func runTwoSpeeds(seed uint64, part float64) *cluster {
	s := newCluster(seed, 8, twoSpeeds(12), 20*time.Millisecond)
	load := part * s.capacity()
	s.run(6*time.Second, load)
	s.completed, s.preempted, s.refused = 0, 0, 0
	s.run(10*time.Second, load)
	return s
}

// Guards against gateways that all choose the same engines: 25 gateways place four requests each by
// reports that are 100 ms old.
func TestManyGatewaysSpreadWithinOneReport(t *testing.T) {
	g := NewWithT(t)
	sum := 0.0
	for i, most := range eachSeed(seeds, mostPlacedWithinOneReport) {
		t.Logf("seed %d: most requests placed on one engine in 100 ms: %.2f on average", seeds[i], most)
		sum += most
	}
	g.Expect(sum / float64(len(seeds))).To(BeNumerically("<=", 4.0))
}

// mostPlacedWithinOneReport returns the mean of the most requests that 25 gateways place on one engine
// between two reports.
func mostPlacedWithinOneReport(seed uint64) float64 {
	s := newCluster(seed, 25, twoSpeeds(33), 100*time.Millisecond)
	s.run(8*time.Second, 0.7*s.capacity())
	before := make([]int, len(s.engines))
	mean := 0.0
	for range 20 {
		for i, e := range s.engines {
			before[i] = e.placed
		}
		s.run(100*time.Millisecond, 1.2*s.capacity())
		most := 0
		for i, e := range s.engines {
			most = max(most, e.placed-before[i])
		}
		mean += float64(most) / 20
	}
	return mean
}

// slowPhase is what is seen of an engine that gets six times slower and recovers.
type slowPhase struct {
	// whileSlow and recovered are the speeds that each gateway knows: a second after the engine got slow,
	// and 1.5 s after it recovered, but at least 0.5 s after its first events at full speed.
	whileSlow, recovered []float64
	// unusedFor is the time from the recovery to the first events at full speed.
	unusedFor time.Duration
	// placedSlow and placedAfter count the requests placed on the engine in 4 s of each phase.
	placedSlow, placedAfter int
}

// An engine that gets six times slower is avoided after three of its events, and used again soon after it
// has recovered. With seed 545 no response runs there while it recovers, so that no gateway can know yet.
func TestEngineThatTurnsSlowIsAvoidedUntilItRecovers(t *testing.T) {
	g := NewWithT(t)
	seeds := append(slices.Clone(seeds), 545)
	for i, p := range eachSeed(seeds, runSlowPhase) {
		t.Logf("seed %d: placed in 4 s: %d while slow, %d after it recovered, unused for %v", seeds[i], p.placedSlow, p.placedAfter, p.unusedFor)
		g.Expect(p.whileSlow).To(HaveEach(BeNumerically("<", 1850/2)), "seed %d", seeds[i])
		g.Expect(p.unusedFor).To(BeNumerically("<=", 4*time.Second), "seed %d", seeds[i])
		g.Expect(p.recovered).To(HaveEach(BeNumerically(">", 1850*0.6)), "seed %d", seeds[i])
		g.Expect(p.placedSlow).To(BeNumerically("<", p.placedAfter/2), "seed %d", seeds[i])
	}
}

func runSlowPhase(seed uint64) (out slowPhase) {
	speeds := make([]float64, 12)
	for i := range speeds {
		speeds[i] = 1850
	}
	s := newCluster(seed, 8, speeds, 20*time.Millisecond)
	load := 0.5 * s.capacity()
	s.run(8*time.Second, load)
	e := s.engines[0]
	e.speed = 1850 / 6
	// Three events of 74 tokens take 0.7 s now.
	s.run(time.Second, load)
	out.whileSlow = s.speeds(e)
	placed := e.placed
	s.run(4*time.Second, load)
	out.placedSlow = e.placed - placed
	e.speed = 1850
	recoveredAt, events := s.now, e.events
	for e.events < events+3 && s.now.Sub(recoveredAt) < 10*time.Second {
		s.run(clusterStep, load)
	}
	out.unusedFor = s.now.Sub(recoveredAt)
	s.run(max(1500*time.Millisecond-out.unusedFor, 500*time.Millisecond), load)
	out.recovered = s.speeds(e)
	placed = e.placed
	s.run(4*time.Second, load)
	out.placedAfter = e.placed - placed
	return out
}

// speeds returns the speed of an engine that each gateway knows.
func (c *cluster) speeds(e *simEngine) (out []float64) {
	for _, p := range c.pools {
		out = append(out, p.Speed(e.id, c.now).Decode)
	}
	return out
}
