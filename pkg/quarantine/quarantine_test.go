package quarantine

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

var (
	start    = time.Unix(1_800_000_000, 0)
	crashing = RequestContent{Workspace: "green", Method: "POST", Host: "h", Path: "/p", Body: []byte("x")}.Digest()
)

func newTable() *Table { return New(func(d time.Duration) time.Duration { return d }) }

// early returns a break before the first event or response, the given seconds after start.
func early(runner uint64, seconds float64) Break {
	return Break{Runner: runner, Early: true, At: start.Add(time.Duration(seconds * float64(time.Second)))}
}

// late returns a break after the first event.
func late(runner uint64, seconds float64) Break {
	b := early(runner, seconds)
	b.Early = false
	return b
}

// recordBreaks records breaks at one gateway and reports whether one of them started a quarantine.
func recordBreaks(t *Table, breaks ...Break) bool {
	quarantined := false
	for _, b := range breaks {
		_, started := t.RecordBreak(crashing, b)
		quarantined = quarantined || started
	}
	return quarantined
}

// Guards against a quarantine of harmless requests caused by one runner that resets its connections.
func TestBreaksOfOneRunnerCountOnce(t *testing.T) {
	g := NewWithT(t)
	g.Expect(recordBreaks(newTable(), early(1, 0), early(1, 1), early(1, 2), early(2, 3), early(1, 4))).To(BeFalse())
}

func TestThreeEarlyBreaksQuarantine(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	g.Expect(recordBreaks(table, early(1, 0), early(2, 1))).To(BeFalse())
	g.Expect(table.Check(crashing, start.Add(time.Second))).To(Succeed())
	g.Expect(recordBreaks(table, early(3, 2))).To(BeTrue())
	var quarantined *ErrQuarantined
	g.Expect(errors.As(table.Check(crashing, start.Add(3*time.Second)), &quarantined)).To(BeTrue())
	g.Expect(quarantined.Left).To(Equal(Duration - time.Second))
	g.Expect(table.Check(crashing, start.Add(2*time.Second+Duration))).To(Succeed())
}

// A break after the first event weighs less, because harmless streams break in that way when
// another request crashes their engine.
func TestLateBreaksWeighLess(t *testing.T) {
	g := NewWithT(t)
	g.Expect(recordBreaks(newTable(), late(1, 0), late(2, 1), late(3, 2), late(4, 3))).To(BeFalse())
	g.Expect(recordBreaks(newTable(), late(1, 0), late(2, 1), late(3, 2), late(4, 3), late(5, 4))).To(BeTrue())
	g.Expect(recordBreaks(newTable(), early(1, 0), late(2, 1), early(3, 2), late(4, 3))).To(BeTrue())
}

// Guards against a quarantine of a popular request that several runners of a rack serve when the
// rack loses power.
func TestSimultaneousBreaksCountOnce(t *testing.T) {
	g := NewWithT(t)
	g.Expect(recordBreaks(newTable(), early(1, 0), early(2, 0.01), late(3, 0.02), early(4, 0.03), early(5, 1))).To(BeFalse())
}

func TestCompletedAttemptDiscardsEarlierBreaks(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	recordBreaks(table, early(1, 0), early(2, 1))
	table.RecordCompleted(crashing, start.Add(2*time.Second))
	g.Expect(recordBreaks(table, early(3, 3), early(4, 4))).To(BeFalse())
	// Breaks from before the completed attempt, reported by another gateway, are ignored.
	g.Expect(table.Receive(Report{Digest: crashing, Breaks: []Break{early(1, 0), early(2, 1)}}, start.Add(5*time.Second))).To(BeFalse())
	g.Expect(recordBreaks(table, early(5, 6))).To(BeTrue())
}

func TestDigestDistinguishesRequests(t *testing.T) {
	g := NewWithT(t)
	base := RequestContent{Workspace: "a", Method: "GET", Host: "h", Path: "/p", Body: []byte("b")}
	variants := []RequestContent{
		{Workspace: "b", Method: "GET", Host: "h", Path: "/p", Body: []byte("b")},
		{Workspace: "a", Method: "PUT", Host: "h", Path: "/p", Body: []byte("b")},
		{Workspace: "a", Method: "GET", Host: "h", Path: "/pb"},
		{Workspace: "aG", Method: "ET", Host: "h", Path: "/p", Body: []byte("b")},
	}
	for _, o := range variants {
		g.Expect(o.Digest()).NotTo(Equal(base.Digest()))
	}
	g.Expect(base.Digest()).To(Equal(base.Digest()))
	g.Expect(base.Digest().String()).To(HaveLen(32))
}

// The gateway that detects a crashing request writes the quarantine at once. Gateways that receive
// its report write only if the store does not show the quarantine. A quarantine that the store lost
// in an outage is written again. One that was only read from the store ends with its entry there.
func TestQuarantinesAreWrittenToStore(t *testing.T) {
	g := NewWithT(t)
	detector, notified, reader := newTable(), newTable(), newTable()
	recordBreaks(detector, early(1, 0), early(2, 1))
	report, quarantined := detector.RecordBreak(crashing, early(3, 2))
	g.Expect(quarantined).To(BeTrue())
	at := func(s float64) time.Time { return early(0, s).At }
	g.Expect(notified.Receive(report, at(2))).To(BeTrue())
	g.Expect(detector.DueForPublish(at(2))).To(HaveLen(1))
	g.Expect(detector.DueForPublish(at(2.1))).To(BeEmpty(), "not written again before the backoff")
	g.Expect(notified.DueForPublish(at(2))).To(BeEmpty())
	g.Expect(notified.DueForPublish(at(2).Add(publishDelay))).To(HaveLen(1))
	for _, table := range []*Table{detector, notified, reader} {
		g.Expect(table.RecordPublished(crashing, at(5))).To(Equal(table == reader))
		g.Expect(table.Check(crashing, at(6))).NotTo(Succeed())
		g.Expect(table.DueForPublish(at(60))).To(BeEmpty())
		table.RecordRemoved(crashing, at(60))
	}
	g.Expect(detector.Check(crashing, at(61))).NotTo(Succeed())
	g.Expect(detector.DueForPublish(at(60).Add(publishDelay))).To(HaveLen(1))
	g.Expect(reader.Check(crashing, at(61))).To(Succeed())
}

// Guards against a quarantine that still counts as published, or ends early, after the store lost
// its entry.
func TestQuarantinesLostByStoreAreWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	detector, reader := newTable(), newTable()
	recordBreaks(detector, early(1, 0), early(2, 1), early(3, 2))
	at := func(s float64) time.Time { return early(0, s).At }
	for _, table := range []*Table{detector, reader} {
		table.RecordPublished(crashing, at(5))
		table.Republish(at(6))
		g.Expect(table.Check(crashing, at(6))).NotTo(Succeed())
		g.Expect(table.DueForPublish(at(6).Add(publishDelay))).To(HaveLen(1))
	}
}

// Gateways that receive the same breaks in any order and any number of times hold the same state.
// A request that broke off at fewer than three runners is never quarantined.
func TestBreaksMergeInAnyOrder(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		breaks := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Break {
			b := early(rapid.Uint64Range(1, maxBreaks).Draw(t, "runner"), rapid.Float64Range(0, 20).Draw(t, "at"))
			b.Early = rapid.Bool().Draw(t, "early")
			return b
		}), 1, 2*maxBreaks).Draw(t, "breaks")
		runners := map[uint64]bool{}
		for _, b := range breaks {
			runners[b.Runner] = true
		}
		end := start.Add(30 * time.Second)
		batched, permuted := newTable(), newTable()
		batched.Receive(Report{Digest: crashing, Breaks: breaks}, end)
		for _, b := range rapid.Permutation(append(breaks, breaks...)).Draw(t, "order") {
			permuted.Receive(Report{Digest: crashing, Breaks: []Break{b}}, end)
		}
		g.Expect(permuted.suspects[crashing].breaks).To(Equal(batched.suspects[crashing].breaks))
		if len(runners) < 3 {
			g.Expect(batched.Quarantined(end) + permuted.Quarantined(end)).To(BeZero())
		}
	})
}

func TestSuspectsAreBounded(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	recordBreaks(table, early(1, 0), early(2, 1), early(3, 2))
	for i := range 2 * maxSuspects {
		table.RecordBreak(Digest{byte(i), byte(i >> 8), byte(i >> 16), 1}, early(uint64(i), 3))
	}
	g.Expect(table.size.Load()).To(BeNumerically("<=", maxSuspects))
	g.Expect(table.Quarantined(start.Add(4*time.Second))).To(Equal(1), "a quarantined suspect is not evicted")
	table.Sweep(start.Add(time.Hour))
	g.Expect(table.Empty()).To(BeTrue())
}

func BenchmarkDigest(b *testing.B) {
	a := RequestContent{Workspace: "green", Method: "POST", Host: "h", Path: "/p", Body: make([]byte, 4<<10)}
	for b.Loop() {
		a.Digest()
	}
}

func BenchmarkBroke(b *testing.B) {
	table := newTable()
	now := start
	for i := 0; b.Loop(); i++ {
		table.RecordBreak(Digest{byte(i), byte(i >> 8)}, Break{Runner: uint64(i), At: now})
	}
}
