package enginepool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/spectest"
)

// A gateway that receives all deltas has the same state as one that receives a full snapshot.
func TestDeltasMatchFullSnapshot(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		p, _ := pool(3, 2, 100000)
		fromDeltas, _ := pool(3, 2, 100000)
		now, since := time.Now(), uint64(0)
		runnersOf := map[string]string{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "job"))
			switch rapid.SampledFrom([]string{"place", "end", "read", "send"}).Draw(t, "step") {
			case "place":
				p.mu.Lock()
				if runnersOf[id] == "" {
					runnersOf[id] = p.place(&Waiter{job: job(id, 100+i, 50)}, now).ID
				}
				p.mu.Unlock()
			case "end":
				if r := runnersOf[id]; r != "" {
					p.End(r, id, now)
					delete(runnersOf, id)
				}
			case "read":
				s, _, err := p.BeginPrefill(Prompt{ID: "r" + id, Tokens: 500, Domain: "z0"}, now)
				g.Expect(err).NotTo(HaveOccurred())
				if rapid.Bool().Draw(t, "ends") {
					p.EndPrefill(s.ID, "r"+id, false, now)
				}
			case "send":
				var s Snapshot
				s, since = p.Snapshot(since, now)
				fromDeltas.ReceiveSnapshot("a", s, now)
			}
		}
		s, _ := p.Snapshot(since, now)
		fromDeltas.ReceiveSnapshot("a", s, now)
		fromFull, _ := pool(3, 2, 100000)
		all, _ := p.Snapshot(0, now)
		fromFull.ReceiveSnapshot("a", all, now)
		for _, id := range []string{"d0", "d1", "d2", "p0", "p1"} {
			g.Expect(fromDeltas.engine(id).reservationCount()).To(Equal(fromFull.engine(id).reservationCount()), id)
			g.Expect(fromDeltas.engine(id).usedShare(now, 0)).To(Equal(fromFull.engine(id).usedShare(now, 0)), id)
			g.Expect(fromDeltas.backlog(id)).To(Equal(fromFull.backlog(id)), id)
		}
	})
}

// Responses of other gateways grow between two reports. The memory that they take grows with them,
// also beyond the expected length, since their end would have been reported. A report of the end may be
// lost: hardly any response gets four times as long as expected.
func TestReportedResponsesGrowUntilNextReport(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 10000)
	now := time.Now()
	p.ReceiveSnapshot("other", oneLoad("d0", 1000, 300), now)
	e := p.engine("d0")
	g.Expect(e.usedShare(now, 100)).To(BeNumerically("~", 0.1, 1e-9))
	g.Expect(e.usedShare(now.Add(time.Second), 100)).To(BeNumerically("~", 0.11, 1e-9))
	g.Expect(e.usedShare(now.Add(4*time.Second), 100)).To(BeNumerically("~", 0.14, 1e-9))
	longest := estimateFrom(0, 300, p.Lengths.Spread()).longest(0)
	g.Expect(longest).To(BeNumerically("<=", 4*300))
	g.Expect(e.usedShare(now.Add(time.Minute), 100)).To(BeNumerically("~", 0.1+longest/10000, 1e-9))
}

// A response of another gateway that outlives its estimate isn't about to end: it is expected to take
// longer the longer it has run.
func TestReportedResponseThatOutlivesItsEstimateIsStillRunning(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 0, 10000)
	now := time.Now()
	p.ReceiveSnapshot("other", Snapshot{Full: true, Engines: []EngineLoad{{Runner: "d0", Loads: []Load{{Now: 1000, Left: 50, Generated: 400}}}}}, now)
	at := now.Add(time.Second)
	running := p.Running(at)
	g.Expect(running).To(HaveLen(1))
	g.Expect(running[0].Memory).To(BeNumerically("~", 1000+p.rate, 1))
	g.Expect(running[0].Left.Seconds() * p.rate).To(BeNumerically(">", 50.0))
}

// A gateway chooses from its subset of the runners, and from all if the subset has too few usable
// ones.
func TestGatewayUsesItsSubset(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(8, 0, 10000)
	share := map[string]bool{"d0": true, "d2": true, "d4": true, "d6": true}
	p.options.Uses = func(runner string) bool { return share[runner] }
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(p.sample(runners.Decode, nil, now)).To(HaveLen(4))
	delete(share, "d0")
	g.Expect(p.sample(runners.Decode, nil, now.Add(2*subsetTTL))).To(HaveLen(8))
}

// Guards against a deadlock: what Changed calls may wait for locks of callers that wait for the pool.
func TestChangesAreReportedWithoutTheLock(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 1, 10000)
	calls := 0
	p.options.Changed = func() {
		if g.Expect(p.mu.TryLock()).To(BeTrue(), "the pool is locked") {
			p.mu.Unlock()
		}
		calls++
	}
	s, err := wait(p, job("a", 1000, 100), Fresh, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(calls).To(Equal(1), "a reservation")
	p.Refused(s.ID, "a", true, time.Now())
	g.Expect(calls).To(Equal(2))
	prefill, _, err := p.BeginPrefill(Prompt{ID: "b", Tokens: 100}, time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	p.EndPrefill(prefill.ID, "b", true, time.Now())
	g.Expect(calls).To(Equal(4))
	_, err = wait(p, job("c", 20000, 100), Fresh, time.Millisecond)
	g.Expect(err).To(HaveOccurred())
	g.Expect(calls).To(Equal(6), "a job began and ceased to wait")
}
