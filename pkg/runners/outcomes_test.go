package runners

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

func directoryOf(ids ...string) *Directory {
	d := NewDirectory("a")
	for _, id := range ids {
		d.Put(Runner{ID: id, Service: "s"}, time.Now())
	}
	return d
}

// A gateway that never used a runner counts the failures that other gateways report of it.
func TestFailuresReportedByPeerAreCounted(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	a, b := directoryOf("bad", "good"), directoryOf("bad", "good")
	for range 4 {
		a.all["bad"].Failed(now)
		a.all["good"].Succeeded(now)
	}
	reported := a.Outcomes(now)
	g.Expect(reported).To(HaveLen(1), "nothing is reported of a runner without failures")
	b.ReceiveOutcomes("a", true, reported, now)
	g.Expect(b.all["bad"].Failures(now)).To(BeNumerically(">", 0.6))
	g.Expect(b.all["good"].Failures(now)).To(BeZero())
	g.Expect(b.all["bad"].Failures(now.Add(reportTTL+time.Second))).To(BeZero(), "a report expires after reportTTL")
}

// A single failure seen by one gateway is outweighed by many successes at another.
func TestPeerOutcomesCorrectOwnFailureRate(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	a := directoryOf("r")
	a.all["r"].Failed(now)
	alone := a.all["r"].Failures(now)
	a.ReceiveOutcomes("b", true, []Outcome{{Runner: "r", Failed: 0, Total: 20}}, now)
	g.Expect(a.all["r"].Failures(now)).To(BeNumerically("<", alone/3))
}

// Once one gateway suspects a runner, the gateways whose requests to the runner succeed report
// their outcomes too.
func TestSuccessesAreReportedForRunnerSuspectedByPeer(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	d := directoryOf("r")
	d.all["r"].Succeeded(now)
	g.Expect(d.Outcomes(now)).To(BeEmpty())
	d.ReceiveOutcomes("b", true, []Outcome{{Runner: "r", Failed: 1, Total: 1}}, now)
	g.Expect(d.Outcomes(now)).To(Equal([]Outcome{{Runner: "r", Failed: 0, Total: 1}}))
}

// A runner may fail the requests from one failure domain only.
func TestOutcomesFromSameDomainWeighMore(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	near, far := directoryOf("r"), directoryOf("r")
	bad, good := []Outcome{{Runner: "r", Failed: 10, Total: 10}}, []Outcome{{Runner: "r", Total: 10}}
	near.ReceiveOutcomes("a", true, bad, now)
	near.ReceiveOutcomes("b", false, good, now)
	far.ReceiveOutcomes("a", false, bad, now)
	far.ReceiveOutcomes("b", true, good, now)
	g.Expect(near.all["r"].Failures(now)).To(BeNumerically(">", 0.5))
	g.Expect(far.all["r"].Failures(now)).To(BeNumerically("<", 0.35))
}

// The failure rate stays between 0 and 1 for any outcomes and reports, and a report that has only
// failures never lowers it.
func TestFailureRateStaysBetweenZeroAndOne(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		now := time.Now()
		d := directoryOf("r")
		s := d.all["r"]
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				s.Failed(now)
			case 1:
				s.Succeeded(now)
			case 2:
				s.Unreachable(now)
			case 3:
				n := rapid.Float64Range(-1, 10).Draw(t, "failed")
				d.ReceiveOutcomes("g", rapid.Bool().Draw(t, "near"), []Outcome{{Runner: "r", Failed: n, Total: rapid.Float64Range(0, 10).Draw(t, "total")}}, now)
			}
			g.Expect(s.Failures(now)).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1)))
		}
		before := s.Failures(now)
		d.ReceiveOutcomes("h", true, []Outcome{{Runner: "r", Failed: 5, Total: 5}}, now)
		g.Expect(s.Failures(now)).To(BeNumerically(">=", before))
	})
}

// Guards against a refusal that still applies after the runner changed its stage. In an earlier
// version, a runner that refused a call in one stage stayed unused in every stage for the life of
// the process.
func TestRefusalEndsWithStageChange(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	d := NewDirectory("a")
	d.Put(Runner{ID: "r", Service: "s", Stage: Decode}, time.Now())
	d.all["r"].MarkUnusable(now)
	g.Expect(d.Usable("s", Decode, now)).To(BeEmpty())
	d.Put(Runner{ID: "r", Service: "s", Stage: Decode, Slots: 2}, time.Now())
	g.Expect(d.Usable("s", Decode, now)).To(BeEmpty(), "a changed entry with the same stage")
	d.Put(Runner{ID: "r", Service: "s", Stage: Prefill}, time.Now())
	g.Expect(d.Usable("s", Prefill, now)).To(HaveLen(1))
}

// Other gateways apply a reported refusal, unless their entry of the runner has another stage.
func TestRefusalIsReportedToPeers(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	a, same, newer := NewDirectory("a"), NewDirectory("a"), NewDirectory("a")
	a.Put(Runner{ID: "r", Service: "s", Stage: Decode}, time.Now())
	same.Put(Runner{ID: "r", Service: "s", Stage: Decode}, time.Now())
	newer.Put(Runner{ID: "r", Service: "s", Stage: Prefill}, time.Now())
	a.all["r"].MarkUnusable(now)
	reported := a.Outcomes(now)
	g.Expect(reported).To(Equal([]Outcome{{Runner: "r", Unusable: true, Stage: Decode}}))
	var changes []string
	same.Changed = func(c Change) { changes = append(changes, c.What) }
	same.ReceiveOutcomes("a", true, reported, now)
	same.ReceiveOutcomes("a", true, reported, now)
	newer.ReceiveOutcomes("a", true, reported, now)
	g.Expect(changes).To(Equal([]string{"unusable"}), "one notification for a repeated report")
	g.Expect(same.Usable("s", Decode, now)).To(BeEmpty())
	g.Expect(newer.Usable("s", Prefill, now)).To(HaveLen(1))
	g.Expect(same.Outcomes(now)).To(BeEmpty(), "received reports are not passed on")
	g.Expect(a.Outcomes(now.Add(reportTTL + time.Second))).To(BeEmpty())
}

// Guards against reports that accumulate in memory while gateways join and leave during the life of
// a runner.
func TestExpiredReportsAreSwept(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	d := directoryOf("r")
	d.ReceiveOutcomes("old", true, []Outcome{{Runner: "r", Failed: 1, Total: 1}}, now)
	now = now.Add(reportTTL)
	d.ReceiveOutcomes("new", true, []Outcome{{Runner: "r", Failed: 1, Total: 1}}, now)
	d.Sweep(now.Add(time.Second))
	g.Expect(d.all["r"].others).To(And(HaveLen(1), HaveKey("new")))
}

// Guards against reports about a runner that gateways without end send.
func TestReportsAboutARunnerAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1e9, 0)
	d := NewDirectory("a")
	d.Put(Runner{ID: "r", Service: "s"}, now)
	for i := range 3 * maxReporters {
		d.ReceiveOutcomes(fmt.Sprint("g", i), true, []Outcome{{Runner: "r", Failed: 5, Total: 5}}, now.Add(time.Duration(i)*time.Millisecond))
	}
	others := d.all["r"].others
	g.Expect(others).To(HaveLen(maxReporters))
	for i := 2 * maxReporters; i < 3*maxReporters; i++ {
		g.Expect(others).To(HaveKey(fmt.Sprint("g", i)), "the latest reports are kept")
	}
}
