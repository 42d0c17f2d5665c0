package runners

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func engineDirectory(id string, stage Stage) *Directory {
	d := NewDirectory("a")
	d.Put(Runner{ID: id, Service: "s", Stage: stage}, time.Now())
	return d
}

// pendingChanges returns the stage changes that a gateway would report.
func pendingChanges(d *Directory, now time.Time) []StageChange {
	var out []StageChange
	for id, s := range d.all {
		if to, changing := s.Changing(now); changing {
			out = append(out, StageChange{Runner: id, To: to, Remaining: s.change.until.Sub(now)})
		}
	}
	return out
}

// An engine that changes its stage refuses requests that have not begun. It gets no new work here,
// nor at a gateway that received the report, until its entry shows the new stage.
func TestEngineChangingStageIsNotUsable(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	a, b := engineDirectory("e", Decode), engineDirectory("e", Decode)
	a.all["e"].BeginStageChange(Prefill, 10*time.Second, now)
	b.ReceiveStageChanges(pendingChanges(a, now), now)
	for _, d := range []*Directory{a, b} {
		g.Expect(d.Usable("s", Decode, now)).To(BeEmpty())
		g.Expect(d.Present("s", now)).To(HaveLen(1))
		d.Put(Runner{ID: "e", Service: "s", Stage: Prefill}, time.Now())
		g.Expect(d.Usable("s", Prefill, now)).To(HaveLen(1))
		g.Expect(pendingChanges(d, now)).To(BeEmpty())
	}
}

// Guards against a lost order that makes an engine unusable permanently because gateways keep
// reporting the change to each other.
func TestLostStageChangeOrderExpires(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	a, b := engineDirectory("e", Decode), engineDirectory("e", Decode)
	a.all["e"].BeginStageChange(Prefill, time.Second, now)
	for range 40 {
		b.ReceiveStageChanges(pendingChanges(a, now), now.Add(20*time.Millisecond))
		a.ReceiveStageChanges(pendingChanges(b, now), now.Add(20*time.Millisecond))
		now = now.Add(50 * time.Millisecond)
	}
	g.Expect(a.Usable("s", Decode, now)).To(HaveLen(1))
	g.Expect(b.Usable("s", Decode, now)).To(HaveLen(1))
}

// A report that is older than the entry of the engine is ignored.
func TestLateReportOfCompletedStageChangeIsIgnored(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	d := engineDirectory("e", Prefill)
	d.ReceiveStageChanges([]StageChange{{Runner: "e", To: Prefill, Remaining: time.Second}, {Runner: "unknown", To: Decode, Remaining: time.Second}}, now)
	g.Expect(d.Usable("s", Prefill, now)).To(HaveLen(1))
}

func TestEngineIsUsableAfterRefusedStageChange(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	d := engineDirectory("e", Decode)
	d.all["e"].BeginStageChange(Prefill, time.Second, now)
	d.all["e"].EndStageChange()
	g.Expect(d.Usable("s", Decode, now)).To(HaveLen(1))
}

// A request that was sent while the engine had its old stage may be refused after the entry shows
// the new one. The refusal does not apply to the new stage, neither here nor at other gateways.
func TestLateRefusalInOldStageDoesNotBlockNewStage(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	d := engineDirectory("e", Decode)
	old := d.all["e"]
	d.Put(Runner{ID: "e", Service: "s", Stage: Prefill}, time.Now())
	old.MarkUnusable(now)
	g.Expect(d.Usable("s", Prefill, now)).To(HaveLen(1))
	g.Expect(d.Outcomes(now)).To(BeEmpty())
}

// A refusal makes a runner unusable for a limited time: its entry may have been right all along.
func TestRefusalExpires(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	d := engineDirectory("e", Decode)
	d.all["e"].MarkUnusable(now)
	g.Expect(d.Usable("s", Decode, now.Add(unusableFor/2))).To(BeEmpty())
	g.Expect(d.Usable("s", Decode, now.Add(unusableFor))).To(HaveLen(1))
}
