package enginepool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stream places a response on d0 and receives events at an interval.
func stream(p *Pool, id string, events int, interval time.Duration, now time.Time) time.Time {
	p.mu.Lock()
	e := p.engine("d0")
	b := e.own.get(id)
	if b == nil {
		b = &reservation{job: job(id, 100, 1<<20)}
		e.own.set(id, b)
	}
	p.mu.Unlock()
	for range events {
		now = now.Add(interval)
		p.RecordTokens("d0", id, b.generated+eventTokens, b.lastEventAt, now)
	}
	return now
}

// A single pause of a response is a preemption and doesn't change the engine's speed. The second slow
// event in a row shows that the engine is slow.
func TestPauseIsPreemptionUnlessItRepeats(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 1<<30)
	now := stream(p, "a", 20, 40*time.Millisecond, time.Now())
	g.Expect(p.Speed("d0", now).Decode).To(BeNumerically("~", 1850, 1))
	now = stream(p, "a", 1, 600*time.Millisecond, now)
	g.Expect(p.Speed("d0", now).Decode).To(BeNumerically("~", 1850, 1))
	g.Expect(p.engine("d0").speed.preemptions(now)).To(BeNumerically("~", 1, 0.01))
	now = stream(p, "a", 5, 40*time.Millisecond, now)
	now = stream(p, "a", 2, 240*time.Millisecond, now)
	g.Expect(p.Speed("d0", now).Decode).To(BeNumerically("~", 1850/6, 1))
	g.Expect(p.engine("d0").speed.preemptions(now)).To(BeNumerically("~", 1, 0.1))
	now = stream(p, "a", 12, 40*time.Millisecond, now)
	g.Expect(p.Speed("d0", now).Decode).To(BeNumerically(">", 1850/1.5))
}

// A speed measured by one gateway is used by others, which don't report it as their own. Without
// measurements a temporary speed returns to the long-term one. Another incarnation has another ID.
func TestSpeedIsSharedAndForgotten(t *testing.T) {
	g := NewWithT(t)
	a, _ := pool(1, 0, 1<<30)
	b, _ := pool(1, 0, 1<<30)
	now := stream(a, "a", 250, 40*time.Millisecond, time.Now())
	report := func() {
		s, _ := a.Snapshot(0, now)
		b.ReceiveSnapshot("a", s, now)
	}
	report()
	g.Expect(b.Speed("d0", now).Decode).To(BeNumerically("~", 1850, 1))
	now = stream(a, "a", 3, 240*time.Millisecond, now)
	report()
	g.Expect(b.Speed("d0", now).Decode).To(BeNumerically("<", 1850/5))
	g.Expect(b.Speed("d0", now.Add(time.Minute)).Decode).To(BeNumerically(">", 1850*0.7))
	own, _ := b.Snapshot(0, now)
	for _, l := range own.Engines {
		g.Expect(l.Speed).To(BeZero())
	}
	g.Expect(b.Speed("d1", now).Decode).To(BeNumerically("~", b.rate, 1e-9))
}

// An engine that preempted responses lately keeps more memory free.
func TestPreemptionRaisesMargin(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 100000)
	now, typical := time.Now(), p.Lengths.Typical()
	p.ReceiveSnapshot("other", oneLoad("d0", 5000, 3000), now)
	j := profileOfJob(Job{Prompt: 1000, Length: p.Lengths.Estimate(3000, 0)}, typical)
	e := p.engine("d0")
	before := e.room(j, now, 1000, typical, 2)
	p.ReceiveSnapshot("third", Snapshot{Engines: []EngineLoad{{Runner: "d0", Preempted: 2}}}, now)
	g.Expect(e.room(j, now, 1000, typical, 2)).To(BeNumerically("<", before))
	g.Expect(e.room(j, now.Add(10*preemptionTime), 0, typical, 2)).To(BeNumerically("~", before, 5))
}

// A refusal by an engine that seemed to have room shows memory in use that no gateway has reported.
func TestRefusalShowsUnreportedMemory(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(2, 0, 10000)
	now := time.Now()
	p.mu.Lock()
	s := p.place(&Waiter{job: job("a", 1000, 100)}, now)
	p.mu.Unlock()
	p.Refused(s.ID, "a", true, now)
	e := p.engine(s.ID)
	g.Expect(e.unseen.value(now)).To(BeNumerically("~", 9000, 1))
	g.Expect(e.unseen.value(now.Add(time.Second))).To(BeNumerically("<", 100))
}

// All gateways with waiting jobs see room at the same time. One takes it first, and the others follow
// after turnInterval each, so that no engine stays unused.
func TestGatewaysTakeTurns(t *testing.T) {
	g := NewWithT(t)
	const gateways = 25
	now := time.Now()
	var pools []*Pool
	for i := range gateways {
		p, _ := pool(1, 0, 10000)
		p.options.Gateway, p.options.TurnInterval = fmt.Sprint("g", i), turnInterval
		for k := range gateways {
			if k != i {
				p.peerWaiting[fmt.Sprint("g", k)] = 1
			}
		}
		p.engine("d0").fullAt = now
		pools = append(pools, p)
	}
	free := func(after time.Duration) int {
		n := 0
		for _, p := range pools {
			if p.ourTurn(p.engine("d0"), job("a", 900, 50), 100, now.Add(after)) {
				n++
			}
		}
		return n
	}
	g.Expect(free(0)).To(Equal(1))
	g.Expect(free(turnInterval)).To(Equal(2))
	g.Expect(free(gateways * turnInterval)).To(Equal(gateways))
}

// streams receives one event of each of several responses on d0, spread over an interval.
func streams(p *Pool, n int, interval time.Duration, now time.Time) {
	for i := range n {
		stream(p, fmt.Sprint("s", i), 1, interval*time.Duration(i)/time.Duration(n), now)
	}
}

// While an engine processes the prompt of a preempted response, all responses wait. Their late events are
// one pause, not an engine that turned slow.
func TestPauseOfAllResponsesIsOnePreemption(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 1<<30)
	const interval = 40 * time.Millisecond
	now := time.Now()
	for range 10 {
		now = now.Add(interval)
		streams(p, 4, interval, now)
	}
	now = now.Add(interval + 500*time.Millisecond)
	streams(p, 4, interval, now)
	at := now.Add(interval)
	g.Expect(p.Speed("d0", at).Decode).To(BeNumerically("~", 1850, 1))
	g.Expect(p.engine("d0").speed.preemptions(at)).To(BeNumerically("~", 1, 0.02))
}

// A gateway, or a link, that stalls receives late events together. Neither is the engine slow or faster
// afterwards, nor has it preempted anything.
func TestLateDeliveryIsNoPreemption(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 1<<30)
	now := stream(p, "a", 20, 40*time.Millisecond, time.Now())
	now = stream(p, "a", 1, 400*time.Millisecond, now)
	now = stream(p, "a", 9, 20*time.Microsecond, now)
	now = stream(p, "a", 1, 40*time.Millisecond, now)
	g.Expect(p.Speed("d0", now).Decode).To(BeNumerically("~", 1850, 1))
	g.Expect(p.engine("d0").speed.preemptions(now)).To(BeNumerically("<", 0.01))
}

// Events of many responses at alternating speeds cause few reports.
func TestSpeedIsReportedAtMostOncePerInterval(t *testing.T) {
	g := NewWithT(t)
	var d decodeSpeed
	now, reports := time.Now(), 0
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		perEvent := 10 * time.Millisecond
		if i/10%2 == 1 {
			perEvent *= 2
		}
		if d.observe(10, perEvent, now) {
			reports++
		}
	}
	g.Expect(reports).To(BeNumerically("<=", int(time.Second/speedInterval)))
}

// Gateways come and go, and a report may hold any number: neither the memory nor the margin stays.
func TestReportedPreemptionsAreBoundedAndForgotten(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 1000)
	now := time.Now()
	for i := range 50 {
		p.ReceiveSnapshot(fmt.Sprint("g", i), Snapshot{Engines: []EngineLoad{{Runner: "d0", Preempted: 1 << 28}}}, now)
	}
	d := &p.engine("d0").speed
	g.Expect(d.preemptions(now)).To(BeNumerically("<=", 50*maxReported))
	g.Expect(d.preemptions(now.Add(2 * time.Minute))).To(BeZero())
	g.Expect(d.peersPreempted.len()).To(BeZero())
}

// The time left on an engine that is silent, or as reported by a faulty gateway, is bounded.
func TestTimeLeftIsNeverNegative(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 1000)
	now := stream(p, "a", 3, 40*time.Millisecond, time.Now())
	stream(p, "b", 3, 40*time.Millisecond, now)
	p.ReceiveSnapshot("x", Snapshot{Engines: []EngineLoad{{Runner: "d0", Loads: []Load{{Now: 1, Left: 1<<32 - 1}}}}}, now)
	for _, r := range p.Running(now.Add(100 * time.Hour)) {
		g.Expect(r.Left).To(BeNumerically(">=", 0))
		g.Expect(r.Left).To(BeNumerically("<=", maxLeft))
	}
}

// A hold without a response, or refused for lack of slots, shows nothing about memory.
func TestOtherRefusalsShowNoMemory(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		noRoom      bool
		slots, peer int
	}{{false, 64, 1}, {true, 4, 3}} {
		p, _ := pool(1, 0, 10000)
		p.Configure(Spec{Memory: 10000, Slots: c.slots})
		now := time.Now()
		var loads []Load
		for range c.peer {
			loads = append(loads, Load{Now: 100, Left: 10})
		}
		p.ReceiveSnapshot("g", Snapshot{Engines: []EngineLoad{{Runner: "d0", Loads: loads}}}, now)
		p.mu.Lock()
		s := p.place(&Waiter{job: job("a", 1000, 100)}, now)
		p.mu.Unlock()
		g.Expect(s).NotTo(BeNil())
		p.Refused(s.ID, "a", c.noRoom, now)
		g.Expect(p.engine("d0").unseen.value(now)).To(BeZero())
	}
}

// A client that reads slowly delays the events of its response. The engine isn't slow.
func TestSlowClientIsNoSlowEngine(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 1<<30)
	now := stream(p, "a", 20, 40*time.Millisecond, time.Now())
	b := p.engine("d0").own.get("a")
	for range 20 {
		now = now.Add(400 * time.Millisecond)
		p.RecordTokens("d0", "a", b.generated+eventTokens, now.Add(-time.Millisecond), now)
	}
	g.Expect(p.Speed("d0", now).Decode).To(BeNumerically("~", 1850, 1))
	g.Expect(p.engine("d0").speed.preemptions(now)).To(BeZero())
}

// The learned speed returns to the long-term one all the time. The model of the engine must not be computed
// anew for each choice because of it, but must be for another speed.
func TestFootprintsAreReusedWhileSpeedDrifts(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 1<<30)
	now := stream(p, "a", 20, 40*time.Millisecond, time.Now())
	now = stream(p, "a", 5, 50*time.Millisecond, now)
	e := p.engine("d0")
	e.footprints(now, p.decodeRate(e, now))
	later := now.Add(footprintTTL / 2)
	g.Expect(p.decodeRate(e, later)).NotTo(Equal(p.decodeRate(e, now)))
	e.footprints(later, p.decodeRate(e, later))
	g.Expect(e.footprintsAt).To(Equal(now))
	e.footprints(later, 2*p.decodeRate(e, later))
	g.Expect(e.footprintsAt).To(Equal(later))
}
