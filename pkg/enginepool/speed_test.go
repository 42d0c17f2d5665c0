package enginepool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stream places a response of another ID on d0 and receives events at an interval.
func stream(p *Pool, id string, events int, interval time.Duration, now time.Time) time.Time {
	p.mu.Lock()
	e := p.engine("d0")
	b := e.own[id]
	if b == nil {
		b = &reservation{job: job(id, 100, 1<<20)}
		e.own[id] = b
	}
	p.mu.Unlock()
	for range events {
		now = now.Add(interval)
		p.RecordTokens("d0", id, b.generated+eventTokens, now)
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
	p.Refused(s.ID, "a", now)
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
