package runners

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/spectest"
)

func ids(list []*State) []string {
	out := []string{}
	for _, s := range list {
		out = append(out, s.ID)
	}
	return out
}

func TestLeavingIsNeverRevoked(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		d := NewDirectory("a")
		now := time.Now()
		left := false
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			leaving := rapid.Bool().Draw(t, "leaving")
			if rapid.IntRange(0, 5).Draw(t, "gone") == 0 {
				d.Remove("r", now)
			} else {
				d.Put(Runner{ID: "r", Service: "s", Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Leaving: leaving}, time.Now())
				left = left || leaving
			}
			if left {
				g.Expect(d.Usable("s", "", now)).To(BeEmpty())
			}
		}
	})
}

func TestRunnerIsUsableWhenItsEntryReturns(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory("a")
	now := time.Now()
	r := Runner{ID: "r", Service: "s"}
	d.Put(r, time.Now())
	d.Remove("r", now)
	g.Expect(ids(d.Usable("s", "", now.Add(goneGrace/2)))).To(Equal([]string{"r"}))
	g.Expect(d.Usable("s", "", now.Add(2*goneGrace))).To(BeEmpty())
	d.Put(r, time.Now())
	g.Expect(ids(d.Usable("s", "", now.Add(2*goneGrace)))).To(Equal([]string{"r"}))
}

func TestKeepReportsMissingRunnersOnce(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory("a")
	now := time.Now()
	var reported []string
	d.Changed = func(c Change) { reported = append(reported, c.What+" "+c.Runner.ID) }
	d.Put(Runner{ID: "a", Service: "s"}, time.Now())
	d.Put(Runner{ID: "b", Service: "s"}, time.Now())
	d.SyncRunners(map[string]bool{"b": true}, now)
	d.SyncRunners(map[string]bool{"b": true}, now)
	g.Expect(reported).To(Equal([]string{"new a", "new b", "gone a"}))
	d.Sweep(now.Add(2 * forgetAfter))
	g.Expect(d.Len()).To(Equal(1))
}

func TestOutstandingRequestsSurviveEntryChange(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory("a")
	d.Put(Runner{ID: "r", Service: "s", Stage: Prefill}, time.Now())
	old := d.Usable("s", Prefill, time.Now())[0]
	old.BeginRequest()
	d.Put(Runner{ID: "r", Service: "s", Stage: Decode}, time.Now())
	current := d.Usable("s", Decode, time.Now())[0]
	g.Expect(current.Outstanding()).To(Equal(1))
	old.EndRequest()
	g.Expect(current.Outstanding()).To(BeZero())
}

func TestEarlierStateSeesRunnerLeave(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory("a")
	d.Put(Runner{ID: "r", Service: "s"}, time.Now())
	now := time.Now()
	earlier := d.Usable("s", "", now)[0]
	d.Put(Runner{ID: "r", Service: "s", Leaving: true}, time.Now())
	g.Expect(earlier.Usable(now)).To(BeFalse())
}

func TestFailingRunnerIsEjectedAndRecovers(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory("a")
	for _, id := range []string{"a", "b", "c"} {
		d.Put(Runner{ID: id, Service: "s"}, time.Now())
	}
	now := time.Now()
	all := d.Usable("s", "", now)
	bad := all[0]
	for range 6 {
		bad.Failed(now)
	}
	g.Expect(ids(Healthy(all, now))).NotTo(ContainElement(bad.ID))
	g.Expect(ids(Healthy(all, now.Add(maxCoolDown+time.Second)))).To(ContainElement(bad.ID))
	g.Expect(bad.Failures(now.Add(20 * time.Second))).To(BeNumerically("<", 0.01))
}

func TestFailuresOfMostRunnersEjectNone(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory("a")
	for _, id := range []string{"a", "b", "c"} {
		d.Put(Runner{ID: id, Service: "s"}, time.Now())
	}
	now := time.Now()
	all := d.Usable("s", "", now)
	all[0].Unreachable(now)
	all[1].Unreachable(now)
	g.Expect(Healthy(all, now)).To(HaveLen(3))
}

// Guards against the crash of a runner that is taken for its planned end because it starts again at once.
func TestEndOfReplacedRunnerIsNotPlanned(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1e9, 0)
	d := NewDirectory("a")
	d.Put(Runner{ID: "d1#1", Name: "d1", Service: "llm", Stage: Decode}, now)
	before := d.Find("d1#1")
	g.Expect(before.EndIsPlanned()).To(BeFalse())
	d.Put(Runner{ID: "d1#2", Name: "d1", Service: "llm", Stage: Decode}, now)
	g.Expect(before.Gone()).To(BeTrue())
	g.Expect(before.EndIsPlanned()).To(BeFalse())
	d.Remove("d1", now)
	g.Expect(d.Find("d1#2").EndIsPlanned()).To(BeTrue(), "its entry was removed")
	d.Put(Runner{ID: "d2", Service: "llm", Stage: Decode, Leaving: true}, now)
	g.Expect(d.Find("d2").EndIsPlanned()).To(BeTrue(), "it leaves")
}

// Guards against state that is kept under a runner's name and applied to a later incarnation.
func TestNewIncarnationInheritsNoState(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory("a")
	now := time.Now()
	var reported []string
	d.Changed = func(c Change) { reported = append(reported, c.What+" "+c.Runner.ID) }
	d.Put(Runner{ID: "r@1", Name: "r", Service: "s", Stage: Decode, Leaving: true}, now)
	first := d.Find("r@1")
	first.Failed(now)
	first.MarkUnusable(now)
	first.BeginStageChange(Prefill, time.Minute, now)
	first.BeginRequest()
	d.Put(Runner{ID: "r@2", Name: "r", Service: "s", Stage: Decode}, now)
	g.Expect(ids(d.Usable("s", Decode, now))).To(Equal([]string{"r@2"}))
	second := d.Find("r@2")
	g.Expect(second.Failures(now)).To(BeZero())
	g.Expect(second.Outstanding()).To(BeZero())
	first.EndRequest()
	g.Expect(second.Outstanding()).To(BeZero())
	// Late reports about the first incarnation do not apply to the second.
	d.ReceiveOutcomes("other", true, []Outcome{{Runner: "r@1", Failed: 3, Total: 3, Unusable: true, Stage: Decode}}, now)
	g.Expect(second.Failures(now)).To(BeZero())
	g.Expect(second.Usable(now)).To(BeTrue())
	g.Expect(reported).To(Equal([]string{"new r@1", "replaced r@1", "new r@2"}))
	d.Remove("r", now)
	g.Expect(d.Usable("s", Decode, now.Add(2*goneGrace))).To(BeEmpty())
	d.Sweep(now.Add(2 * forgetAfter))
	g.Expect(d.Len()).To(BeZero())
}

// An incarnation gets no work from the moment it is replaced: the grace period of removed entries
// does not apply to it.
func TestReplacedIncarnationIsNotUsable(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory("a")
	now := time.Now()
	d.Put(Runner{ID: "r@1", Name: "r", Service: "s"}, now)
	first := d.Find("r@1")
	g.Expect(first.Usable(now)).To(BeTrue())
	d.Put(Runner{ID: "r@2", Name: "r", Service: "s", Leaving: true}, now)
	g.Expect(first.Usable(now)).To(BeFalse())
	g.Expect(d.Usable("s", "", now)).To(BeEmpty())
	// A delayed write of the first incarnation is followed by the next write of the second.
	d.Put(Runner{ID: "r@1", Name: "r", Service: "s"}, now)
	d.Put(Runner{ID: "r@2", Name: "r", Service: "s", Leaving: true}, now)
	g.Expect(d.Usable("s", "", now)).To(BeEmpty())
}

// Guards against a leaving notice that is revoked by an entry without Leaving, or by a later
// response without the notice. Also guards against a later incarnation under the same name that
// gets no work because the first one left.
func TestLeavingNoticeOutlastsEntry(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory("a")
	now := time.Now()
	entry := Runner{ID: "r@1", Name: "r", Service: "s", Slots: 1}
	d.Put(entry, now)
	first := d.Find("r@1")
	first.Observe(notice.Notice{Leaving: true}, now)
	first.Observe(notice.Notice{Accepted: true, Sent: now}, now)
	entry.Slots = 2
	d.Put(entry, now)
	g.Expect(d.Usable("s", "", now)).To(BeEmpty())
	d.Remove("r", now)
	d.Sweep(now.Add(2 * forgetAfter))
	entry.Slots = 3
	d.Put(entry, now.Add(2*forgetAfter))
	g.Expect(d.Usable("s", "", now.Add(2*forgetAfter))).To(BeEmpty(), "the entry was missing for longer than forgetAfter")
	d.Put(Runner{ID: "r@2", Name: "r", Service: "s"}, now.Add(2*forgetAfter))
	g.Expect(ids(d.Usable("s", "", now.Add(2*forgetAfter)))).To(Equal([]string{"r@2"}))
}

// Guards against a call to a runner that announced its departure after it was chosen.
func TestAdmitsRejectsRunnerThatLeftSinceItWasChosen(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory("a")
	now := time.Now()
	d.Put(Runner{ID: "r", Service: "s"}, now)
	chosen := d.Usable("s", "", now)[0]
	d.Put(Runner{ID: "r", Service: "s", Leaving: true}, now)
	var leaving *notice.ErrLeaving
	g.Expect(chosen.Admits(notice.Work, now)).To(BeAssignableToTypeOf(leaving))
	g.Expect(chosen.Admits(notice.Upkeep, now)).To(Succeed())
}
