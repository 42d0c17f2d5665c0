package runners

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/coldstart"
	"github.com/hopwell/hopwell/pkg/notice"
)

// directoryWithColdShare returns a directory whose cold runners get two requests in each window
// from this gateway.
func directoryWithColdShare() *Directory {
	d := NewDirectory("a")
	d.ColdShare = func(Runner) (int, bool) { return 2, true }
	return d
}

// Guards against a cold runner that gets all requests because it has the most free capacity.
func TestColdRunnerClaimsAreLimitedToGatewayShare(t *testing.T) {
	g := NewWithT(t)
	d, now := directoryWithColdShare(), time.Now()
	d.PutEntry(Entry{Runner: Runner{ID: "a"}, ColdFor: 10 * time.Second}, now)
	s := d.Find("a")
	g.Expect(s.Claim("r1", now)).To(BeTrue())
	g.Expect(s.Claim("r2", now)).To(BeTrue())
	g.Expect(s.Claim("r3", now)).To(BeFalse(), "two requests are claimed and not sent yet")
	s.Release("r2")
	g.Expect(s.Claim("r3", now)).To(BeTrue(), "the second request was not sent")
	s.Sent("r1", now.Add(time.Second))
	s.Sent("r3", now.Add(time.Second))
	g.Expect(s.Room(now.Add(time.Second + coldstart.Window - time.Millisecond))).To(BeFalse())
	g.Expect(s.Room(now.Add(time.Second + coldstart.Window))).To(BeTrue())
	g.Expect(s.Claim("lost", now.Add(3*time.Second))).To(BeTrue())
	g.Expect(s.Claim("lost too", now.Add(3*time.Second))).To(BeTrue())
	g.Expect(s.Room(now.Add(3*time.Second+unsentClaimTTL))).To(BeTrue(), "claims that were neither sent nor released")
}

func TestColdPeriodEndsWithDurationOrIncarnation(t *testing.T) {
	g := NewWithT(t)
	d, now := directoryWithColdShare(), time.Now()
	d.PutEntry(Entry{Runner: Runner{ID: "a@1", Name: "a"}, ColdFor: 3 * time.Second}, now)
	first := d.Find("a@1")
	g.Expect(first.Cold(now)).To(BeTrue())
	g.Expect(first.Cold(now.Add(3 * time.Second))).To(BeFalse())
	d.PutEntry(Entry{Runner: Runner{ID: "a@1", Name: "a"}, ColdFor: 5 * time.Second}, now.Add(4*time.Second))
	g.Expect(first.Cold(now.Add(5*time.Second))).To(BeTrue(), "a runner may become cold again at any time")
	d.PutEntry(Entry{Runner: Runner{ID: "a@2", Name: "a"}}, now.Add(5*time.Second))
	g.Expect(d.Find("a@2").Cold(now.Add(5 * time.Second))).To(BeFalse())
	g.Expect(d.Find("a@2").Claim("r", now.Add(5*time.Second))).To(BeTrue())
}

// Guards against a surge of requests to a restored failure domain: its runners may have become cold
// while they were unused, and their entries may show it late.
func TestRunnersOfRestoredDomainCountAsCold(t *testing.T) {
	g := NewWithT(t)
	d, now := directoryWithColdShare(), time.Now()
	d.PutEntry(Entry{Runner: Runner{ID: "a", Domain: "left"}}, now)
	d.PutEntry(Entry{Runner: Runner{ID: "b", Domain: "right"}}, now)
	d.Evacuate("left", now)
	d.Restore("left", now.Add(time.Minute))
	afterRestore := now.Add(time.Minute + time.Second)
	g.Expect(d.Find("a").Cold(afterRestore)).To(BeTrue())
	g.Expect(d.Find("b").Cold(afterRestore)).To(BeFalse())
	g.Expect(d.Find("a").Cold(now.Add(time.Minute + coldAfterRestore))).To(BeFalse())
}

// Guards against a runner that becomes cold again and is used as a warm one until its entry reports
// that it is cold.
func TestResponseMarksRunnerColdBeforeItsEntry(t *testing.T) {
	g := NewWithT(t)
	d, now := directoryWithColdShare(), time.Now()
	entry := Entry{Runner: Runner{ID: "a"}}
	d.PutEntry(entry, now)
	s := d.Find("a")
	s.Observe(notice.Notice{ColdFor: 3 * time.Second}, now)
	s.Observe(notice.Notice{ColdFor: time.Second}, now)
	d.PutEntry(entry, now)
	g.Expect(s.Cold(now.Add(2*time.Second))).To(BeTrue(), "an entry older than the response does not shorten its time")
	g.Expect(s.Cold(now.Add(3 * time.Second))).To(BeFalse())
}

// Guards against a deadlock: ColdShare may wait for locks of callers that wait for the runner.
func TestColdShareIsComputedWithoutTheLock(t *testing.T) {
	g := NewWithT(t)
	d, now := NewDirectory("a"), time.Now()
	calls := 0
	d.ColdShare = func(r Runner) (int, bool) {
		s := d.Find(r.ID)
		if g.Expect(s.mu.TryLock()).To(BeTrue(), "the runner is locked") {
			s.mu.Unlock()
		}
		calls++
		return 1, true
	}
	d.PutEntry(Entry{Runner: Runner{ID: "a"}, ColdFor: 10 * time.Second}, now)
	s := d.Find("a")
	g.Expect(s.Room(now)).To(BeTrue())
	g.Expect(s.Claim("r1", now.Add(coldShareTTL))).To(BeTrue())
	g.Expect(s.Claim("r2", now.Add(2*coldShareTTL))).To(BeFalse())
	g.Expect(calls).To(Equal(3))
}
