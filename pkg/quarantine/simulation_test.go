package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/spectest"
)

const (
	simStep     = 10 * time.Millisecond
	simDelay    = 10 * time.Millisecond
	simDecide   = 200 * time.Millisecond
	simContact  = 3 * time.Second
	simDown     = 2 * time.Second
	simCrash    = 50 * time.Millisecond
	simFirst    = 100 * time.Millisecond
	simStream   = time.Second
	simTraffic  = 16 * time.Second
	simLoss     = 0.05
	simAllowed  = 3
	simLearned  = 5
	simMiddles  = 4
	simSoundGap = 40 * time.Millisecond
	lossGap     = 60 * time.Millisecond
)

// partLoad is a load of sound requests and of requests with parts that crash runners.
type partLoad struct {
	gateways, runners int
	// every is the time between two requests that crash runners; crashing returns their parts, sound those of
	// the others.
	every           time.Duration
	crashing, sound func(r *rand.Rand) []string
	bad             []string
	// crashEvery crashes a runner without a cause in prompts; 0 for never.
	crashEvery time.Duration
	// loseAll crashes all runners one after the other, lossGap apart.
	loseAll bool
	// restart replaces all gateways after the fifth crash.
	restart bool
	length  time.Duration
}

type simRequest struct {
	parts   Parts
	digest  uint64
	gateway int
	sent    time.Time
	bad     bool
	sound   bool
}

type simRunner struct {
	incarnation uint64
	downUntil   time.Time
	running     []*simRequest
}

// simulation runs PartTables of several gateways in virtual time.
type simulation struct {
	partLoad
	random  *rand.Rand
	tables  []*PartTable
	runners []simRunner
	now     time.Time
	mail    []simMail
	serial  uint64
	// crashes are the times of all crashes, badSent those of requests with a bad part that reached a runner.
	crashes, badSent []time.Time
	// soundRefused and soundSent count sound requests later than twice simContact after the fifth crash.
	soundRefused, soundSent int
}

type simMail struct {
	at   time.Time
	to   int
	what Evidence
}

func newSimulation(l partLoad, seed uint64) *simulation {
	s := &simulation{partLoad: l, random: rand.New(rand.NewPCG(seed, 1)), now: start, runners: make([]simRunner, l.runners)}
	s.startGateways()
	return s
}

func (s *simulation) startGateways() {
	s.tables = nil
	for i := range s.gateways {
		s.tables = append(s.tables, NewPartTable(func(d time.Duration) time.Duration { return d }, func(SetID) bool { return i == 0 }))
	}
}

// broadcast sends evidence to all other gateways.
func (s *simulation) broadcast(from int, e Evidence) {
	if len(e.Crashes)+len(e.Sound)+len(e.Blames) == 0 {
		return
	}
	for to := range s.tables {
		if to != from && s.random.Float64() >= simLoss {
			s.mail = append(s.mail, simMail{s.now.Add(simDelay), to, e})
		}
	}
}

func (s *simulation) crash(r *simRunner) {
	for _, q := range r.running {
		if !q.sound && s.now.Sub(q.sent) < simFirst+simDelay {
			s.broadcast(q.gateway, s.tables[q.gateway].RecordCrash(Crash{Runner: r.incarnation, Request: q.digest, Parts: q.parts, At: s.now}))
		}
	}
	s.crashes = append(s.crashes, s.now)
	r.running, r.downUntil = nil, s.now.Add(simDown)
}

// fifth returns the time of the crash from which on requests must stop.
func (s *simulation) fifth() time.Time {
	if len(s.crashes) == 0 {
		return s.now
	}
	return s.crashes[min(len(s.crashes), simLearned)-1]
}

func (s *simulation) send(names []string, bad bool) {
	s.serial++
	q := &simRequest{digest: s.serial, gateway: s.random.IntN(len(s.tables)), sent: s.now, bad: bad}
	for _, name := range names {
		q.parts = append(q.parts, PartOf(name))
	}
	late := !bad && len(s.crashes) > 0 && s.now.Sub(s.fifth()) > 2*simContact
	if late {
		s.soundSent++
	}
	if _, err := s.tables[q.gateway].Check(q.parts, 0, s.now); err != nil {
		if late {
			s.soundRefused++
		}
		return
	}
	for range 4 {
		r := &s.runners[s.random.IntN(len(s.runners))]
		if s.now.Before(r.downUntil) {
			continue
		}
		if len(r.running) == 0 && r.incarnation == 0 || !r.downUntil.IsZero() {
			s.serial++
			r.incarnation, r.downUntil = s.serial, time.Time{}
		}
		r.running = append(r.running, q)
		if bad {
			s.badSent = append(s.badSent, s.now)
		}
		return
	}
}

func (s *simulation) step() {
	for i := range s.runners {
		r := &s.runners[i]
		for _, q := range slices.Clone(r.running) {
			age := s.now.Sub(q.sent)
			if q.bad && age >= simCrash {
				s.crash(r)
				break
			}
			if !q.bad && !q.sound && age >= simFirst+4*simStep {
				q.sound = true
				s.broadcast(q.gateway, s.tables[q.gateway].RecordSound(q.parts, s.now))
			}
		}
		r.running = slices.DeleteFunc(r.running, func(q *simRequest) bool { return s.now.Sub(q.sent) > simStream })
	}
	s.mail = slices.DeleteFunc(s.mail, func(m simMail) bool {
		if m.at.After(s.now) {
			return false
		}
		if m.to < len(s.tables) {
			s.tables[m.to].Receive(m.what, s.now)
		}
		return true
	})
}

func (s *simulation) run() {
	end := s.now.Add(max(s.length, simTraffic))
	every := func(d time.Duration) bool { return d > 0 && s.now.Sub(start)%d == 0 }
	for ; s.now.Before(end); s.now = s.now.Add(simStep) {
		s.step()
		if s.sound != nil && every(simSoundGap) {
			s.send(s.sound(s.random), false)
		}
		if every(s.every) {
			s.send(s.crashing(s.random), true)
		}
		if every(s.crashEvery) {
			if r := &s.runners[s.random.IntN(len(s.runners))]; len(r.running) > 0 {
				s.crash(r)
			}
		}
		if at := s.now.Sub(start) - simContact; s.loseAll && at >= 0 && at%lossGap == 0 && at/lossGap < time.Duration(len(s.runners)) {
			s.crash(&s.runners[at/lossGap])
		}
		if every(simDecide) {
			for i, table := range s.tables {
				s.broadcast(i, Evidence{Blames: table.Decide(s.now)})
			}
		}
		if s.restart && len(s.crashes) >= simLearned {
			s.restart = false
			quarantined := s.tables[0].Quarantined(s.now)
			s.startGateways()
			for _, table := range s.tables {
				for _, b := range quarantined {
					table.RecordPublished(b.Parts, s.now)
				}
			}
		}
	}
}

// late returns the number of requests with a bad part that reached runners later than allowed.
func (s *simulation) late() int {
	n := 0
	for _, at := range s.badSent {
		if at.After(s.fifth().Add(simContact)) {
			n++
		}
	}
	return n
}

func middle(r *rand.Rand) string { return fmt.Sprintf("middle-%d", r.IntN(simMiddles)) }

// partLoads are loads with requests that crash runners.
func partLoads() map[string]partLoad {
	sound := func(r *rand.Rand) []string { return []string{"first", middle(r)} }
	base := partLoad{gateways: 5, runners: 16, every: 250 * time.Millisecond, bad: []string{"bad"}, sound: sound,
		crashing: func(r *rand.Rand) []string { return []string{"first", middle(r), "bad"} }}
	with := func(change func(*partLoad)) partLoad { l := base; change(&l); return l }
	return map[string]partLoad{
		"five gateways": base,
		"one gateway":   with(func(l *partLoad) { l.gateways = 1 }),
		"100 gateways":  with(func(l *partLoad) { l.gateways = 100 }),
		"part is first": with(func(l *partLoad) {
			l.crashing = func(r *rand.Rand) []string { return []string{"bad", "first", middle(r)} }
		}),
		"no other part":    with(func(l *partLoad) { l.crashing = func(*rand.Rand) []string { return []string{"bad"} } }),
		"fifteen a second": with(func(l *partLoad) { l.every = 70 * time.Millisecond }),
		"one in 1.2 s":     with(func(l *partLoad) { l.every = 1200 * time.Millisecond }),
		"one a minute":     with(func(l *partLoad) { l.every, l.length = time.Minute, 5*time.Minute }),
		"two bad parts": with(func(l *partLoad) {
			l.crashing = func(r *rand.Rand) []string { return []string{"first", []string{"bad", "worse"}[r.IntN(2)], middle(r)} }
		}),
		"a sound part nearly always beside": with(func(l *partLoad) {
			l.crashing = func(*rand.Rand) []string { return []string{"first", "beside", "bad"} }
			l.sound = func(r *rand.Rand) []string {
				if r.IntN(20) == 0 {
					return []string{"first", "beside"}
				}
				return sound(r)
			}
		}),
		"other first parts": with(func(l *partLoad) {
			l.crashing = func(r *rand.Rand) []string { return []string{fmt.Sprintf("first-%d", r.IntN(20)), "bad"} }
		}),
		"gateways restart":  with(func(l *partLoad) { l.restart = true }),
		"no sound requests": with(func(l *partLoad) { l.sound = nil }),
		"few runners":       with(func(l *partLoad) { l.runners = 4 }),
	}
}

// Guards against requests with a part that crashes runners, no two alike, that keep reaching runners, and against sound
// requests that are refused because they share other parts.
func TestPartsThatCrashRunnersAreBlamed(t *testing.T) {
	for name, load := range partLoads() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(10) {
				s := newSimulation(load, seed)
				s.run()
				t.Logf("seed %d: %d crashes, %d requests late, %d of %d sound ones refused", seed, len(s.crashes), s.late(), s.soundRefused, s.soundSent)
				g.Expect(s.late()).To(BeNumerically("<=", simAllowed))
				g.Expect(s.soundRefused).To(BeNumerically("<=", s.soundSent/10))
			}
		})
	}
}

// Guards against parts that are refused because runners crash for another reason while all prompts share them.
func TestCrashesWithoutCauseInPromptsBlameNoPart(t *testing.T) {
	shared := func(*rand.Rand) []string { return []string{"first", "common"} }
	for name, load := range map[string]partLoad{
		"one after the other": {crashEvery: 400 * time.Millisecond},
		"all within a second": {loseAll: true},
	} {
		for _, runners := range []int{4, 16} {
			for seed := range uint64(10) {
				g := NewWithT(t)
				load.gateways, load.runners, load.sound = 5, runners, shared
				s := newSimulation(load, spectest.Seed+seed)
				s.run()
				g.Expect(len(s.crashes)).To(BeNumerically(">", minCrashes))
				for _, table := range s.tables {
					g.Expect(table.Quarantined(s.now)).To(BeEmpty(), "%s, %d runners, seed %d", name, runners, seed)
				}
			}
		}
	}
}

// Guards against a sound part that stays refused: one request that is let through shows that it is sound.
func TestProbeLiftsQuarantine(t *testing.T) {
	g := NewWithT(t)
	parts := Parts{PartOf("a"), PartOf("b")}
	prober, other := NewPartTable(noJitter, func(SetID) bool { return true }), NewPartTable(noJitter, func(SetID) bool { return false })
	for i := range uint64(minCrashes) {
		e := prober.RecordCrash(Crash{Runner: i, Request: i, Parts: parts, At: start.Add(time.Duration(i) * unservedSpan)})
		other.Receive(e, start.Add(time.Duration(i)*unservedSpan))
	}
	now := start.Add(3 * unservedSpan)
	blames := prober.Decide(now)
	g.Expect(blames).To(HaveLen(1))
	g.Expect(other.Receive(Evidence{Blames: blames}, now)).To(HaveLen(1))
	refused := func(table *PartTable, p Parts, at time.Time) bool { _, err := table.Check(p, 0, at); return err != nil }
	g.Expect(refused(prober, parts, now)).To(BeTrue())
	g.Expect(refused(prober, parts[:1], now)).To(BeFalse(), "a request with one of the parts")
	later := now.Add(firstProbe)
	g.Expect(refused(other, parts, later)).To(BeTrue())
	probing, err := prober.Check(parts, 0, later)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(probing).To(Equal(parts.ID()))
	_, err = prober.Check(parts, probing, later)
	g.Expect(err).NotTo(HaveOccurred(), "the second check of the same request")
	g.Expect(refused(prober, parts, later)).To(BeTrue(), "one request at a time")
	e := prober.RecordSound(parts, later.Add(time.Second))
	other.Receive(e, later.Add(time.Second))
	for _, table := range []*PartTable{prober, other} {
		g.Expect(refused(table, parts, later.Add(time.Second))).To(BeFalse())
		g.Expect(table.TakeLifted()).To(ConsistOf(parts.ID()))
	}
}

// Guards against a probe that crashes its runner and lifts the quarantine, or is followed by others at once.
func TestProbeThatCrashesExtendsQuarantine(t *testing.T) {
	g := NewWithT(t)
	parts := Parts{PartOf("a")}
	table := NewPartTable(noJitter, func(SetID) bool { return true })
	table.Receive(Evidence{Blames: []Blame{{Parts: parts, Since: start, Left: Duration}}}, start)
	now := start
	for i := range uint64(5) {
		now = now.Add(maxProbe)
		_, err := table.Check(parts, 0, now)
		g.Expect(err).NotTo(HaveOccurred())
		table.RecordCrash(Crash{Runner: i, Request: i, Parts: parts, At: now})
		table.Sweep(now)
	}
	_, err := table.Check(parts, 0, now.Add(time.Second))
	g.Expect(err).To(BeAssignableToTypeOf(&ErrPartsQuarantined{}))
}

// Guards against a probe that is put off by crashes of requests that were under way when the set was quarantined, and
// against one that another quarantined set makes worthless.
func TestFirstProbeComesOnTime(t *testing.T) {
	g := NewWithT(t)
	parts := Parts{PartOf("a")}
	table := NewPartTable(noJitter, func(SetID) bool { return true })
	table.Receive(Evidence{Blames: []Blame{{Parts: parts, Since: start, Left: Duration}, {Parts: Parts{PartOf("b")}, Since: start, Left: Duration}}}, start)
	last := start.Add(time.Second)
	for i := range uint64(5) {
		table.RecordCrash(Crash{Runner: i, Request: i, Parts: parts, At: last})
	}
	due := last.Add(firstProbe)
	_, err := table.Check(Parts{PartOf("a"), PartOf("b")}, 0, due)
	g.Expect(err).To(HaveOccurred(), "a prompt with two quarantined sets")
	_, err = table.Check(parts, 0, due)
	g.Expect(err).NotTo(HaveOccurred())
	table.RecordCrash(Crash{Runner: 9, Request: 9, Parts: parts, At: due.Add(time.Second)})
	_, err = table.Check(parts, 0, due.Add(2*firstProbe-time.Second))
	g.Expect(err).To(HaveOccurred())
	_, err = table.Check(parts, 0, due.Add(2*firstProbe))
	g.Expect(err).NotTo(HaveOccurred(), "the second probe, after twice the time")
}

// Guards against a write to the store by each gateway, since all blame a set at the same time.
func TestOnlyOwnerWritesQuarantinedSetAtOnce(t *testing.T) {
	g := NewWithT(t)
	for _, owner := range []bool{true, false} {
		table := NewPartTable(noJitter, func(SetID) bool { return owner })
		for i := range uint64(minCrashes) {
			table.RecordCrash(Crash{Runner: i, Request: i, Parts: Parts{PartOf("a")}, At: start.Add(time.Duration(i) * unservedSpan)})
		}
		now := start.Add(3 * unservedSpan)
		g.Expect(table.Decide(now)).To(HaveLen(1))
		g.Expect(table.DueForPublish(now)).To(HaveLen(map[bool]int{true: 1, false: 0}[owner]))
		g.Expect(table.DueForPublish(now.Add(publishDelay))).To(HaveLen(1), "the owner's write may have failed")
	}
}

// Guards against a request that is sent to one runner after the other on its first suspicion.
func TestRepeatIsRefusedAfterTwoCrashes(t *testing.T) {
	g := NewWithT(t)
	table := NewPartTable(noJitter, notOwner)
	parts := Parts{PartOf("first"), PartOf("a")}
	table.RecordCrash(Crash{Runner: 1, Request: 1, Parts: parts, At: start})
	g.Expect(table.CheckRepeat(parts)).To(Succeed())
	table.RecordCrash(Crash{Runner: 2, Request: 2, Parts: parts, At: start.Add(time.Second)})
	g.Expect(table.CheckRepeat(parts)).To(BeAssignableToTypeOf(&ErrSuspectedParts{}))
	table.RecordSound(parts, start.Add(2*time.Second))
	g.Expect(table.CheckRepeat(parts)).To(Succeed())
}

// Guards against quarantines that gateways which start later don't know, and against those that the store lost.
func TestQuarantinedSetsAreWrittenToStore(t *testing.T) {
	g := NewWithT(t)
	parts := Parts{PartOf("a")}
	detector, reader := NewPartTable(noJitter, notOwner), NewPartTable(noJitter, notOwner)
	detector.Receive(Evidence{Blames: []Blame{{Parts: parts, Since: start, Left: Duration}}}, start)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	g.Expect(detector.DueForPublish(at(0))).To(BeEmpty())
	g.Expect(detector.DueForPublish(at(publishDelay))).To(HaveLen(1))
	read, err := ParseParts(parts.String())
	g.Expect(err).NotTo(HaveOccurred())
	for _, table := range []*PartTable{detector, reader} {
		g.Expect(table.RecordPublished(read, at(5*time.Second))).To(Equal(table == reader))
		table.RecordRemoved(parts.ID(), at(time.Minute/2))
	}
	g.Expect(detector.DueForPublish(at(time.Minute/2 + publishDelay))).To(HaveLen(1))
	_, err = reader.Check(parts, 0, at(time.Minute/2))
	g.Expect(err).NotTo(HaveOccurred())
	for _, text := range []string{"", "x", "1,,2", "10000000000000000"} {
		_, err := ParseParts(text)
		g.Expect(err).To(BeAssignableToTypeOf(&ErrParts{}), text)
	}
}

// Guards against a table that grows with the parts that clients make up.
func TestPartTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := NewPartTable(noJitter, notOwner)
	for i := range uint64(2 * maxCrashes) {
		table.RecordCrash(Crash{Runner: i, Request: i, Parts: Parts{Part(i)}, At: start.Add(time.Duration(i) * time.Millisecond)})
		table.Receive(Evidence{Blames: []Blame{{Parts: Parts{Part(i)}, Since: start, Left: Duration}}}, start)
	}
	g.Expect(table.crashes).To(HaveLen(maxCrashes))
	g.Expect(table.sets).To(HaveLen(maxSets))
	table.Sweep(start.Add(time.Hour))
	g.Expect(table.Empty()).To(BeTrue())
}

func noJitter(d time.Duration) time.Duration { return d }

func notOwner(SetID) bool { return false }

func BenchmarkRecordSound(b *testing.B) {
	table := NewPartTable(noJitter, notOwner)
	for i := range uint64(maxCrashes) {
		table.RecordCrash(Crash{Runner: i, Request: i, Parts: Parts{Part(i), Part(i + 1), Part(i + 2)}, At: start})
	}
	for b.Loop() {
		table.RecordSound(Parts{1, 2, 3}, start)
	}
}
