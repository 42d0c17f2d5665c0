package staging

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// simStep is the step of a simulated load, simChange how long a stage change takes after the work in
	// progress, and simTarget the time in which a prompt should be computed.
	simStep   = 100 * time.Millisecond
	simChange = 6 * time.Second
	simTarget = 900 * time.Millisecond
	// simAnswers is how many answers fit into the memory of an engine, simAnswer how long one takes at the
	// mean speed, and simPrompt how long its prompt takes.
	simAnswers = 10.0
	simAnswer  = 3.2
	simPrompt  = 0.09
)

// simulation is a load on engines, a third of which take 2.4 times as long, in fluid approximation.
type simulation struct {
	dir    *runners.Directory
	policy Policy
	start  time.Time
	now    time.Time
	// answers is the number of answers by engine, done when an engine's change is completed.
	answers map[string]float64
	done    map[string]time.Time
	// prompt is the length of prompts as a multiple of the usual one; queue is the time that the prompts
	// waiting for the prefill stage take at the mean speed, and waiting the requests without room.
	prompt, queue, waiting float64
	// memory is what an answer occupies, as a multiple of the usual.
	memory            float64
	mismatch, ordered time.Time
	learned           float64

	orders, swaps  int
	served         float64
	longestPrefill time.Duration
	leastDecode    float64
}

func newSimulation(prefill, decode int) *simulation {
	s := &simulation{dir: runners.NewDirectory("a"), policy: DefaultPolicy(), start: time.Now(), answers: map[string]float64{}, done: map[string]time.Time{}, prompt: 1, memory: 1, learned: 0.21}
	s.now = s.start
	for i := range prefill + decode {
		stage := runners.Decode
		if i < prefill {
			stage = runners.Prefill
		}
		s.dir.Put(runners.Runner{ID: fmt.Sprintf("e%02d", i), Service: "s", Domain: fmt.Sprintf("z%d", i%4), Stage: stage}, s.now)
	}
	s.leastDecode = math.Inf(1)
	return s
}

// speed returns the speed of an engine as a multiple of the mean.
func (s *simulation) speed(r *runners.State) float64 {
	if r.ID[2]%3 == 0 {
		return 0.51
	}
	return 1.23
}

// slowDecoding returns the number of slow engines in the decode stage.
func (s *simulation) slowDecoding() int {
	n := 0
	for _, r := range s.dir.Stage("s", runners.Decode) {
		if s.speed(r) < 1 {
			n++
		}
	}
	return n
}

// run simulates a load for a time. rate returns the requests per second at a time since the start.
func (s *simulation) run(d time.Duration, rate func(at float64) float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.finishChanges()
		s.serve(rate(s.now.Sub(s.start).Seconds()))
		s.order()
	}
}

// finishChanges completes the stage changes that are due.
func (s *simulation) finishChanges() {
	for id, at := range s.done {
		r := s.dir.Find(id)
		if to, _ := r.Changing(s.now); !s.now.Before(at) {
			delete(s.done, id)
			r.EndStageChange()
			changed := r.Runner
			changed.Stage = to
			s.dir.Put(changed, s.now)
		}
	}
}

// serve admits requests where there is room, and advances prompts and answers.
func (s *simulation) serve(rate float64) {
	step := simStep.Seconds()
	room, prefill, decode := 0.0, 0.0, 0.0
	for _, r := range s.dir.Present("s", s.now) {
		v := s.speed(r)
		ended := min(s.answers[r.ID], s.answers[r.ID]*v/simAnswer*step)
		s.answers[r.ID] -= ended
		s.served += ended
		if _, changing := r.Changing(s.now); changing {
			continue
		}
		if r.Stage == runners.Prefill {
			prefill += v
		} else {
			decode += v
			room += s.room(r)
		}
	}
	s.leastDecode = min(s.leastDecode, decode)
	s.waiting += rate * step
	admitted := min(s.waiting, room)
	for _, r := range s.dir.Stage("s", runners.Decode) {
		if _, changing := r.Changing(s.now); !changing && room > 0 {
			s.answers[r.ID] += admitted * s.room(r) / room
		}
	}
	s.waiting = (s.waiting - admitted) * 0.9 // Clients don't wait for long.
	s.queue += admitted * simPrompt * s.prompt
	s.longestPrefill = max(s.longestPrefill, time.Duration(s.queue/max(prefill, 0.01)*float64(time.Second)))
	s.queue = max(0, s.queue-prefill*step)
}

// room returns how many more answers fit on an engine.
func (s *simulation) room(r *runners.State) float64 {
	return max(0, simAnswers/s.memory-s.answers[r.ID])
}

// order orders the planned changes, with the patience and the pause of the policy.
func (s *simulation) order() {
	changes := s.policy.Plan(s.situation(), s.now)
	if len(changes) == 0 {
		s.mismatch = time.Time{}
		return
	}
	if s.mismatch.IsZero() {
		s.mismatch = s.now
	}
	if s.now.Sub(s.mismatch) < s.policy.Patience || !s.ordered.IsZero() && s.now.Sub(s.ordered) < s.policy.Pause {
		return
	}
	s.ordered, s.mismatch = s.now, time.Time{}
	for _, c := range changes {
		s.orders++
		if c.Swap {
			s.swaps++
		}
		took := simChange
		if c.Runner.Stage == runners.Decode {
			took += time.Duration(simAnswer / s.speed(c.Runner) * float64(time.Second))
		}
		c.Runner.BeginStageChange(c.Stage, time.Minute, s.now)
		s.done[c.Runner.ID] = s.now.Add(took)
	}
}

func (s *simulation) situation() Situation {
	used, n := 0.0, 0.0
	for _, r := range s.dir.Stage("s", runners.Decode) {
		if _, changing := r.Changing(s.now); !changing {
			used += s.answers[r.ID] * s.memory / simAnswers
			n++
		}
	}
	return Situation{
		Engines: s.dir.Present("s", s.now), LearnedShare: s.learned, Speed: s.speed, SlowPrefill: true,
		Reserved: used / max(1, n), Waiting: int(s.waiting),
	}
}

// capacity is the rate at which all engines together are busy.
func capacity(engines int) float64 { return float64(engines) / (simAnswer/simAnswers + simPrompt) }

// Under a load that rises and falls the slow engines get to the prefill stage once, while the load is
// low, and the stages then stay as they are.
func TestWaveMovesSlowEnginesOnce(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(13, 33)
	wave := func(at float64) float64 { return capacity(46) * (0.45 - 0.35*math.Cos(at*2*math.Pi/60)) }
	before := s.slowDecoding()
	s.run(5*time.Minute, wave)
	after, orders := s.slowDecoding(), s.orders
	g.Expect(before).To(BeNumerically(">=", 10))
	g.Expect(after).To(BeNumerically("<=", 2))
	g.Expect(s.longestPrefill).To(BeNumerically("<", simTarget))
	s.run(5*time.Minute, wave)
	g.Expect(s.orders-orders).To(BeNumerically("<=", 1), "the stages don't change again")
}

// A burst of 5 s orders no change while it lasts, and its prompts are computed in time.
func TestBurstChangesNoStages(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(13, 33)
	s.run(2*time.Minute, func(float64) float64 { return 0.3 * capacity(46) })
	orders, served := s.orders, s.served
	s.longestPrefill = 0
	s.run(5*time.Second, func(float64) float64 { return 1.8 * capacity(46) })
	g.Expect(s.orders).To(Equal(orders))
	g.Expect(s.longestPrefill).To(BeNumerically("<", 2*simTarget), "the decode engines' memory fills once")
	g.Expect(s.served - served).To(BeNumerically(">", 0.6*5*capacity(46)))
}

// Engines leave during a burst: no more leave a stage for the other one than it can spare.
func TestLossInBurstLeavesBothStagesTheirNeed(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(13, 33)
	load := func(float64) float64 { return 1.2 * capacity(46) }
	s.run(3*time.Second, load)
	for i := range 10 {
		s.dir.Remove(fmt.Sprintf("e%02d", i), s.now)
	}
	decode := len(s.dir.Stage("s", runners.Decode))
	most := 0
	for range 100 {
		s.run(simStep, load)
		changing := 0
		for _, r := range s.dir.Stage("s", runners.Decode) {
			if _, ok := r.Changing(s.now); ok {
				changing++
			}
		}
		most = max(most, changing)
	}
	g.Expect(decode).To(Equal(33))
	g.Expect(most).To(Equal(1), "memory is full: one engine at a time")
}

// Prompts that double in length take twice as long, but also more memory, so that fewer are admitted: the
// stages suffice. Prompts that double while answers shrink get more prefill engines.
func TestPrefillFollowsLongerPrompts(t *testing.T) {
	for _, c := range []struct {
		name             string
		memory, learned  float64
		least, mostCount float64
	}{
		{"longer prompts", 1.7, 0.25, 11, 13.5},
		{"longer prompts and shorter answers", 1, 0.5, 17, 24},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSimulation(12, 34)
			load := func(float64) float64 { return 0.5 * capacity(46) }
			s.run(time.Minute, load)
			s.prompt, s.memory, s.learned = 2, c.memory, c.learned
			s.run(time.Minute, load)
			s.longestPrefill = 0
			s.run(time.Minute, load)
			g.Expect(s.longestPrefill).To(BeNumerically("<", simTarget))
			g.Expect(newStages(s.situation(), s.now).prefill.speed).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.mostCount)))
		})
	}
}

// Guards against two of three decode engines that are changed at once: the third one asked for a
// pause, and no engine was left to decode.
func TestStageKeepsTwoServingEngines(t *testing.T) {
	g := NewWithT(t)
	p, now := DefaultPolicy(), time.Now()
	x := Situation{Engines: engines(2, 3), LearnedShare: 0.9, Exact: true}
	g.Expect(p.Wanted(5, 0.9)).To(Equal(4))
	first := p.Plan(x, now)
	g.Expect(first).To(HaveLen(1))
	first[0].Runner.BeginStageChange(runners.Prefill, time.Minute, now)
	g.Expect(p.Plan(x, now)).To(BeEmpty(), "until the first change is done")
	x.LearnedShare = 0
	for _, c := range p.Plan(x, now) {
		g.Expect(c.Stage).To(Equal(runners.Decode), "the second change is no longer wanted")
	}
}

// Guards against engines that change stages and back as the measured speed of a stage varies, in a large
// service of equal engines.
func TestMeasuringErrorOfAStageChangesNoEngines(t *testing.T) {
	for _, error := range []float64{0.92, 1.08} {
		for _, exact := range []bool{false, true} {
			g := NewWithT(t)
			p, now := DefaultPolicy(), time.Now()
			wanted := p.Wanted(1250, 0)
			x := Situation{Engines: engines(wanted, 1250-wanted), Reserved: 0.4, Exact: exact, Speed: func(r *runners.State) float64 {
				if r.Stage == runners.Prefill {
					return error
				}
				return 1
			}}
			g.Expect(p.Plan(x, now)).To(BeEmpty(), "error %g, exact %t", error, exact)
		}
	}
}

// Guards against an engine that changes back and forth, because its speed differs between the stages.
func TestEngineMeasuredAnewStaysInItsStage(t *testing.T) {
	g := NewWithT(t)
	dir, p, now := runners.NewDirectory("a"), DefaultPolicy(), time.Now()
	for i := range 9 {
		stage := runners.Decode
		if i < 2 {
			stage = runners.Prefill
		}
		dir.Put(runners.Runner{ID: fmt.Sprintf("e%02d", i), Service: "s", Stage: stage}, now)
	}
	speed := func(r *runners.State) float64 {
		if r.Stage == runners.Prefill {
			return 1.3
		}
		return 0.7
	}
	changes := 0
	for range 20 {
		for _, c := range p.Plan(Situation{Engines: dir.Present("s", now), Exact: true, Speed: speed}, now) {
			changes++
			changed := c.Runner.Runner
			changed.Stage = c.Stage
			dir.Put(changed, now)
		}
	}
	g.Expect(changes).To(BeNumerically("<=", 1))
}

// Guards against a service with one prefill engine because that one is fast.
func TestFastEnginesLeaveLeastNumberOfPrefillEngines(t *testing.T) {
	p, now := DefaultPolicy(), time.Now()
	for _, prefill := range []int{1, 2} {
		g := NewWithT(t)
		x := Situation{Engines: engines(prefill, 6-prefill), Exact: true, Speed: func(r *runners.State) float64 {
			if r.Stage == runners.Prefill {
				return 2
			}
			return 0.6
		}}
		g.Expect(p.Wanted(6, 0)).To(Equal(2))
		g.Expect(p.Plan(x, now)).To(HaveLen(2-prefill), "%d prefill engines", prefill)
	}
}

// Where speeds differ ten times, the stages of an idle service come to rest.
func TestStagesOfVeryDifferentEnginesComeToRest(t *testing.T) {
	for _, count := range []int{2, 3, 5, 9, 46, 300} {
		g := NewWithT(t)
		dir, p, now := runners.NewDirectory("a"), DefaultPolicy(), time.Now()
		for i := range count {
			dir.Put(runners.Runner{ID: fmt.Sprintf("e%03d", i), Service: "s", Domain: fmt.Sprintf("z%d", i%4), Stage: runners.Decode}, now)
		}
		speed := func(r *runners.State) float64 {
			if r.ID[3]%2 == 0 {
				return 0.18
			}
			return 1.82
		}
		plans := 0
		for ; plans < 200; plans++ {
			changes := p.Plan(Situation{Engines: dir.Present("s", now), Exact: true, Speed: speed, SlowPrefill: true}, now)
			if len(changes) == 0 {
				break
			}
			for _, c := range changes {
				changed := c.Runner.Runner
				changed.Stage = c.Stage
				dir.Put(changed, now)
			}
		}
		g.Expect(plans).To(BeNumerically("<", 100), "%d engines", count)
		g.Expect(dir.Stage("s", runners.Prefill)).NotTo(BeEmpty())
		g.Expect(dir.Stage("s", runners.Decode)).NotTo(BeEmpty())
	}
}
