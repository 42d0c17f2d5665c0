package enginepool

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/spectest"
)

// pool returns a pool of one service with decode runners d0.. and prefill runners p0.. in two
// domains.
func pool(decode, prefill, memory int) (*Pool, *runners.Directory) {
	d := runners.NewDirectory("a")
	for i := range decode {
		d.Put(runners.Runner{ID: "d" + string(rune('0'+i)), Service: "llm", Domain: "z" + string(rune('0'+i%2)), Stage: runners.Decode}, time.Now())
	}
	for i := range prefill {
		d.Put(runners.Runner{ID: "p" + string(rune('0'+i)), Service: "llm", Domain: "z" + string(rune('0'+i%2)), Stage: runners.Prefill}, time.Now())
	}
	p := New("llm", d, Options{Fill: 1, RefusalPause: 50 * time.Millisecond})
	p.Configure(Spec{Memory: memory, Slots: 64})
	return p, d
}

// exact is an estimate with the least spread.
func exact(tokens int) Estimate { return Estimate{median: float64(tokens), spread: minSpread} }

func job(id string, prompt, out int) Job { return Job{ID: id, Prompt: prompt, Length: exact(out)} }

func wait(p *Pool, j Job, rank Rank, limit time.Duration) (*runners.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return p.Wait(ctx, p.NewWaiter(j, rank))
}

func TestWaitChoosesRunnerWithMostRoom(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(2, 0, 10000)
	first, err := wait(p, job("a", 1000, 100), Fresh, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	second, err := wait(p, job("b", 1000, 100), Fresh, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.ID).NotTo(Equal(first.ID))
}

// Begun work goes first and late work last, whatever the priority. Between them a lower priority
// number goes first, and at the same priority returning requests go before fresh ones.
func TestQueueOrdersByTierPriorityAndRank(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		p, _ := pool(1, 0, 1000)
		for i := range rapid.IntRange(2, 12).Draw(t, "jobs") {
			j := job(fmt.Sprint(i), 900, 50)
			j.Priority = rapid.IntRange(0, 3).Draw(t, "priority")
			p.enqueue(p.NewWaiter(j, rapid.SampledFrom([]Rank{Begun, Returning, Fresh, Late}).Draw(t, "rank")))
		}
		for i := 1; i < len(p.waiting); i++ {
			a, b := p.waiting[i-1], p.waiting[i]
			switch {
			case a.rank == Begun || b.rank == Late:
			case a.rank == Late || b.rank == Begun:
				t.Fatalf("rank %d before %d", a.rank, b.rank)
			default:
				g.Expect(a.job.Priority).To(BeNumerically("<=", b.job.Priority))
				if a.job.Priority == b.job.Priority {
					g.Expect(a.rank).To(BeNumerically("<=", b.rank))
				}
			}
		}
	})
}

func TestWaitCountsReservationsOfOtherGateways(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(2, 0, 10000)
	p.ReceiveSnapshot("other", oneLoad("d0", 9900, 50), time.Now())
	for _, id := range []string{"a", "b"} {
		s, err := wait(p, job(id, 1000, 100), Fresh, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.ID).To(Equal("d1"))
	}
}

// oneLoad is another gateway's full snapshot with one reservation.
func oneLoad(runner string, now, left int) Snapshot {
	return Snapshot{Full: true, Engines: []EngineLoad{{Runner: runner, Loads: []Load{{Now: now, Left: left}}}}}
}

func TestDropGatewayFreesItsReservations(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 10000)
	now := time.Now()
	p.ReceiveSnapshot("other", oneLoad("d0", 9900, 50), now)
	_, err := wait(p, job("a", 1000, 100), Fresh, 0)
	var none *ErrNoRoom
	g.Expect(err).To(BeAssignableToTypeOf(none))
	p.DropGateway("other")
	_, err = wait(p, job("a", 1000, 100), Fresh, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestRefusedRunnerIsSkippedBriefly(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 10000)
	now := time.Now()
	s, err := wait(p, job("a", 1000, 100), Fresh, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	p.Refused(s.ID, "a", true, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(p.place(&Waiter{job: job("b", 1, 1)}, now)).To(BeNil())
	g.Expect(p.place(&Waiter{job: job("b", 1, 1)}, now.Add(time.Second))).NotTo(BeNil())
}

func TestReturningJobGoesBeforeFreshJob(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 1000)
	s, err := wait(p, job("first", 900, 50), Fresh, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	fresh, back := p.NewWaiter(job("fresh", 900, 50), Fresh), p.NewWaiter(job("back", 900, 50), Returning)
	p.enqueue(fresh)
	p.enqueue(back)
	p.End(s.ID, "first", time.Now())
	g.Expect(back.granted).To(Receive())
	g.Expect(fresh.granted).NotTo(Receive())
}

func TestLargerJobDoesNotPassFirstWaiter(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 1000)
	_, err := wait(p, job("first", 400, 50), Fresh, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	large, larger, small := p.NewWaiter(job("large", 700, 50), Fresh), p.NewWaiter(job("larger", 800, 50), Fresh), p.NewWaiter(job("small", 100, 50), Fresh)
	for _, w := range []*Waiter{large, larger, small} {
		p.enqueue(w)
	}
	p.Dispatch(time.Now())
	g.Expect(small.granted).To(Receive())
	g.Expect(large.granted).NotTo(Receive())
	g.Expect(larger.granted).NotTo(Receive())
}

func TestWaiterThatTimesOutHoldsNoMemory(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 1000)
	s, _ := wait(p, job("first", 900, 50), Fresh, time.Second)
	_, err := wait(p, job("second", 900, 50), Fresh, 0)
	g.Expect(err).To(HaveOccurred())
	p.End(s.ID, "first", time.Now())
	_, err = wait(p, job("third", 900, 50), Fresh, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestPrefillChoosesRunnerWithShortestWait(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(0, 2, 1000)
	now := time.Now()
	p.ReceiveSnapshot("other", Snapshot{Engines: []EngineLoad{{Runner: "p0", PrefillTokens: 50000}}}, now)
	s, expected, err := p.BeginPrefill(Prompt{ID: "a", Tokens: 3000, Domain: "z0"}, now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.ID).To(Equal("p1"))
	g.Expect(expected).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
}

// A prefill runner that failed, for example because its KV cache could not be fetched, is avoided.
// Excluded runners are never chosen.
func TestPrefillAvoidsFailingAndExcludedRunners(t *testing.T) {
	g := NewWithT(t)
	p, d := pool(0, 2, 1000)
	now := time.Now()
	d.Find("p0").Failed(now)
	s, _, err := p.BeginPrefill(Prompt{ID: "a", Tokens: 3000, Domain: "z0"}, now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.ID).To(Equal("p1"))
	_, _, err = p.BeginPrefill(Prompt{ID: "b", Tokens: 3000, Domain: "z0", Avoid: map[string]bool{"p0": true, "p1": true}}, now)
	var none *ErrNoRunner
	g.Expect(err).To(BeAssignableToTypeOf(none))
}

func TestPrefillLearnsRate(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(0, 1, 1000)
	now := time.Now()
	for range 60 {
		_, _, err := p.BeginPrefill(Prompt{ID: "a", Tokens: 3000, Domain: "z0"}, now)
		g.Expect(err).NotTo(HaveOccurred())
		now = now.Add(300 * time.Millisecond)
		p.EndPrefill("p0", "a", true, now)
	}
	g.Expect(p.prefillRunners.get("p0").rate).To(BeNumerically("~", 10000, 200))
}

func TestLengthsLearnBiasOfHints(t *testing.T) {
	g := NewWithT(t)
	l := NewLengths()
	before := l.Estimate(500, 0).Expected(0)
	for i := range 400 {
		hint := 200 + 10*(i%80)
		l.Learn(hint, 2*hint)
	}
	after := l.Estimate(500, 0)
	g.Expect(before).To(BeNumerically("~", 550, 60))
	g.Expect(after.Expected(0)).To(BeNumerically("~", 1000, 50))
}

// The expected length is never below the number of generated tokens, never above the limit, and
// does not fall while a response grows.
func TestExpectedLengthGrowsWithGeneratedTokens(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		most := rapid.IntRange(100, 4000).Draw(t, "most")
		b := Estimate{median: rapid.Float64Range(1, 4000).Draw(t, "median"), spread: rapid.Float64Range(minSpread, 1).Draw(t, "spread"), maxTokens: float64(most)}
		last := 0.0
		for made := 0; made <= most; made += 1 + most/37 {
			v := b.Expected(made)
			g.Expect(v).To(BeNumerically(">=", math.Max(last, float64(made))-0.01*float64(most)))
			g.Expect(v).To(BeNumerically("<=", float64(most)))
			last = v
		}
	})
}

func TestLateJobGoesBehindJobsThatCanMeetTarget(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 1000)
	s, err := wait(p, job("first", 900, 50), Fresh, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	now := time.Now()
	late, fresh, back := p.NewWaiter(job("late", 900, 50), Returning), p.NewWaiter(job("fresh", 900, 50), Fresh), p.NewWaiter(job("back", 900, 50), Returning)
	late.LateFrom(now)
	back.LateFrom(now.Add(time.Hour))
	for _, w := range []*Waiter{late, fresh, back} {
		p.enqueue(w)
	}
	for _, w := range []*Waiter{back, fresh, late} {
		now = now.Add(time.Second)
		// End dispatches the next job, also if "first" has ended already.
		p.End(s.ID, "first", now)
		p.mu.Lock()
		for id := range p.engine(s.ID).own.all() {
			p.engine(s.ID).own.remove(id)
		}
		p.mu.Unlock()
		g.Expect(w.granted).To(Receive())
	}
}

// All runners are sampled here: the decode runner with the most room and the prefill runner with
// the shortest backlog are chosen, by the load that another gateway reported.
func TestLeastLoadedRunnerIsChosen(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(8, 8, 10000)
	var loads []EngineLoad
	for i := range 7 {
		loads = append(loads, EngineLoad{Runner: fmt.Sprint("d", i+1), Loads: []Load{{Now: 100 * (i + 1)}}}, EngineLoad{Runner: fmt.Sprint("p", i+1), PrefillTokens: 5000 * (i + 1)})
	}
	p.ReceiveSnapshot("g0", Snapshot{Full: true, Engines: loads}, time.Now())
	for range 20 {
		p.mu.Lock()
		s := p.place(&Waiter{job: job("a", 100, 10)}, time.Now())
		p.engine(s.ID).own.remove("a")
		p.mu.Unlock()
		g.Expect(s.ID).To(Equal("d0"))
		s, _, err := p.BeginPrefill(Prompt{ID: "a", Tokens: 100, Domain: "z0"}, time.Now())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.ID).To(Equal("p0"))
		p.EndPrefill(s.ID, "a", false, time.Now())
	}
}

// A choice samples a limited number of runners, and still finds room if one runner in four has
// it. The sample is random: one in 15,000 contains no such runner. A waiting job is tried again
// at the next periodic dispatch, and one of two consecutive samples contains a runner with room.
func TestSampleOfManyRunnersFindsRoom(t *testing.T) {
	g := NewWithT(t)
	d := runners.NewDirectory("a")
	var full []EngineLoad
	for i := range 400 {
		id := fmt.Sprint("d", i)
		d.Put(runners.Runner{ID: id, Service: "llm", Stage: runners.Decode}, time.Now())
		if i%4 != 0 {
			full = append(full, EngineLoad{Runner: id, Loads: []Load{{Now: 9950}}})
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	p := New("llm", d, Options{Fill: 1, Pick: random.IntN})
	p.Configure(Spec{Memory: 10000, Slots: 64})
	now := time.Now()
	p.ReceiveSnapshot("g0", Snapshot{Full: true, Engines: full}, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	missed := 0
	for i := range 50 {
		g.Expect(len(p.sample(runners.Decode, nil, now))).To(Equal(maxSampled))
		w := &Waiter{job: job(fmt.Sprint(i), 100, 10)}
		placed := p.place(w, now)
		if placed == nil {
			missed++
			placed = p.place(w, now)
		}
		g.Expect(placed).NotTo(BeNil())
	}
	g.Expect(missed).To(BeNumerically("<=", 1), "of 50 samples")
}

// A runner that changed its stage is not chosen for the old one, although subsets are cached.
func TestRunnerIsNotChosenForItsFormerStage(t *testing.T) {
	g := NewWithT(t)
	p, d := pool(1, 0, 10000)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(p.sample(runners.Decode, nil, now)).To(HaveLen(1))
	d.Put(runners.Runner{ID: "d0", Service: "llm", Domain: "z0", Stage: runners.Prefill}, time.Now())
	g.Expect(p.sample(runners.Decode, nil, now)).To(BeEmpty())
	g.Expect(p.sample(runners.Prefill, nil, now)).To(HaveLen(1))
}

// A job that is bound to some failure domains is placed and prefilled only there, even if the
// gateway's subset has too few engines in them.
func TestJobRunsOnlyInAllowedDomains(t *testing.T) {
	g := NewWithT(t)
	d, now := runners.NewDirectory("a"), time.Now()
	for i := range 20 {
		for _, stage := range []runners.Stage{runners.Prefill, runners.Decode} {
			id, domain := fmt.Sprintf("%s-%d", stage, i), "home"
			if i >= 4 {
				domain = "away"
			}
			d.Put(runners.Runner{ID: id, Service: "s", Domain: domain, Stage: stage}, now)
		}
	}
	o := DefaultOptions()
	o.Uses = func(id string) bool { return !strings.HasSuffix(id, "-1") && !strings.HasSuffix(id, "-2") }
	p := New("s", d, o)
	p.Configure(Spec{Memory: 100000, Slots: 8})
	home := func(domain string) bool { return domain == "home" }
	for i := range 40 {
		id := fmt.Sprint("r", i)
		w := p.NewWaiter(Job{ID: id, Prompt: 100, Length: Estimate{}, Allows: home}, Fresh)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		s, err := p.Wait(ctx, w)
		cancel()
		if i < 32 {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Domain).To(Equal("home"))
		} else {
			g.Expect(err).To(BeAssignableToTypeOf(&ErrNoRoom{}), "the allowed domains are full")
		}
		r, _, err := p.BeginPrefill(Prompt{ID: id, Tokens: 100, Domain: "away", Allows: home}, now)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Domain).To(Equal("home"))
	}
	_, _, err := p.BeginPrefill(Prompt{ID: "x", Tokens: 100, Allows: func(string) bool { return false }}, now)
	g.Expect(err).To(BeAssignableToTypeOf(&ErrNoRunner{}))
}

// A cold runner is empty and so has the most room. It gets no more jobs than this gateway
// may send to it.
func TestColdRunnerGetsNoMoreThanItsShare(t *testing.T) {
	g := NewWithT(t)
	d, now := runners.NewDirectory("a"), time.Now()
	d.ColdShare = func(runners.Runner) (int, bool) { return 2, true }
	d.PutEntry(runners.Entry{Runner: runners.Runner{ID: "cold", Service: "s", Stage: runners.Decode}, ColdFor: time.Minute}, now)
	d.Put(runners.Runner{ID: "warm", Service: "s", Stage: runners.Decode}, now)
	p := New("s", d, DefaultOptions())
	p.Configure(Spec{Memory: 100000, Slots: 64})
	got := map[string]int{}
	for i := range 20 {
		s, err := p.Wait(context.Background(), p.NewWaiter(Job{ID: fmt.Sprint("r", i), Prompt: 100}, Fresh))
		g.Expect(err).NotTo(HaveOccurred())
		got[s.ID]++
	}
	g.Expect(got).To(Equal(map[string]int{"cold": 2, "warm": 18}))
	p.End("cold", "r0", now)
	p.End("cold", "r1", now)
	p.End("cold", "r2", now)
	s, err := p.Wait(context.Background(), p.NewWaiter(Job{ID: "next", Prompt: 100}, Fresh))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.ID).To(Equal("cold"), "ended jobs that were not sent release their claims")
}

// Guards against engines that are filled up to the expected lengths of responses and run out of
// memory. The figures are those of an engine in a deployment of 46 engines.
func TestMemoryMarginPreventsPreemption(t *testing.T) {
	g := NewWithT(t)
	const memory, prompt, hint = 73000, 5000, 3500
	// run keeps an engine full of other gateways' requests for a while. Each request is reported when
	// it begins and every three seconds. run returns the number of preempted requests per completed
	// request, and the mean number of running requests.
	run := func(deviations float64) (preempted, running float64) {
		const steps, step, rate, reportEvery = 6000, 20 * time.Millisecond, 1000, 3 * time.Second
		r := rand.New(rand.NewPCG(5, 6))
		lengths := NewLengths()
		e := &engine{capacity: int(DefaultOptions().Fill * memory), slots: 16}
		type request struct {
			reservation
			length     int
			reportedAt time.Time
		}
		resident := map[string]*request{}
		ended, preemptions, sum := 0, 0, 0
		now := time.Time{}.Add(time.Hour)
		for i := range steps {
			now = now.Add(step)
			job := Job{ID: fmt.Sprint(i), Prompt: prompt, Length: lengths.Estimate(hint, 0)}
			if e.room(profileOfJob(job, lengths.Typical()), now, rate, lengths.Typical(), deviations) >= 0 {
				resident[job.ID] = &request{reservation: reservation{job: job}, length: int(hint * math.Exp(priorSpread*r.NormFloat64()))}
			}
			taken, newest := 0, ""
			for id, q := range resident {
				if q.generated += int(rate * step.Seconds()); q.generated >= q.length {
					delete(resident, id)
					e.peers.remove(id)
					ended++
					continue
				}
				if now.Sub(q.reportedAt) >= reportEvery {
					q.reportedAt = now
					e.peers.set(id, peerLoads{loads: peerLoadsOf([]Load{{Now: prompt + q.generated, Left: q.remaining(), Generated: q.generated}}, lengths.Spread()), at: now})
				}
				taken += prompt + q.generated
				if newest == "" || q.generated < resident[newest].generated {
					newest = id
				}
			}
			if taken > memory { // The newest request is preempted.
				delete(resident, newest)
				e.peers.remove(newest)
				preemptions++
			}
			sum += len(resident)
		}
		return float64(preemptions) / float64(ended), float64(sum) / steps
	}
	preemptedWithout, runningWithout := run(0)
	preemptedWith, runningWith := run(DefaultOptions().Deviations)
	t.Logf("preempted per completed request: %.3f with %.1f running without a margin, %.3f with %.1f running with it", preemptedWithout, runningWithout, preemptedWith, runningWith)
	g.Expect(preemptedWithout).To(BeNumerically(">", 2*preemptedWith), "the test load must cause preemption")
	g.Expect(preemptedWith).To(BeNumerically("<", 0.05))
	g.Expect(runningWith).To(BeNumerically(">=", runningWithout-1.5), "mean number of running requests")
}

// Guards against a resumed stream that starves behind jobs which could run at other software versions, and against
// such jobs waiting for it.
func TestJobBoundToVersionKeepsOnlyRunnersOfThatVersion(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	d := runners.NewDirectory("a")
	for id, version := range map[string]string{"r1": "v1", "r2": "v2"} {
		d.Put(runners.Runner{ID: id, Service: "s", Stage: runners.Decode, Version: version}, now)
	}
	p := New("s", d, DefaultOptions())
	p.Configure(Spec{Memory: 1000, Slots: 1})
	wait := func(id, version string, rank Rank) (*runners.State, error) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		return p.Wait(ctx, p.NewWaiter(Job{ID: id, Prompt: 100, Version: version}, rank))
	}
	first, err := wait("first", "v1", Fresh)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.ID).To(Equal("r1"))

	bound := p.NewWaiter(Job{ID: "bound", Prompt: 100, Version: "v1"}, Begun)
	p.enqueue(bound)
	free, err := wait("free", "", Fresh)
	g.Expect(err).NotTo(HaveOccurred(), "the other version has room")
	g.Expect(free.ID).To(Equal("r2"))

	other := p.NewWaiter(Job{ID: "other", Prompt: 100}, Fresh)
	p.enqueue(other)
	p.End("r1", "first", now)
	g.Expect(bound.granted).To(HaveLen(1), "the room goes to the job that is bound to it")
	g.Expect(other.granted).To(BeEmpty())
}

// Guards against a resumed stream that waits while the only other engine of its software version is ejected for failures,
// although it serves.
func TestJobBoundToVersionGetsEjectedRunnerIfOthersFailedIt(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	d := runners.NewDirectory("a")
	for id, version := range map[string]string{"r1": "v1", "r2": "v1", "r3": "v2"} {
		d.Put(runners.Runner{ID: id, Service: "s", Stage: runners.Decode, Version: version}, now)
	}
	for range 20 {
		d.Find("r2").Failed(now)
	}
	g.Expect(d.Find("r2").Ejected(now)).To(BeTrue())
	p := New("s", d, DefaultOptions())
	p.Configure(Spec{Memory: 1000, Slots: 1})
	w := p.NewWaiter(Job{ID: "bound", Prompt: 100, Version: "v1"}, Begun)
	w.Avoid("r1")
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	s, err := p.Wait(ctx, w)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.ID).To(Equal("r2"))
}
