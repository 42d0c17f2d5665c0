package runnerlimit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// told is a table with what it told of changes.
func told(t *Table) (*Table, *[]string) {
	var out []string
	t.Changed = func(c Change) { out = append(out, c.What+" "+c.From) }
	return t, &out
}

func names(perSecond float64, asked time.Time) Statement {
	return Statement{Kind: Run, Asked: asked, Named: true, PerSecond: perSecond, Calls: 1}
}

func TestALimitBeginsAndEndsWithWhatAnswersSay(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	table, changes := told(New("a"))
	table.Observe("r", Statement{Kind: Run, Asked: now, Own: true}, at(1))
	g.Expect(*changes).To(BeEmpty(), "no limit was named")
	table.Observe("r", names(2, at(2)), at(10))
	table.Observe("r", names(2.1, at(2)), at(11))
	table.Observe("r", names(1, at(2)), at(12))
	g.Expect(*changes).To(Equal([]string{"begins ", "changes "}))
	table.Observe("r", Statement{Kind: Run, Asked: at(5), Own: true}, at(13))
	g.Expect(*changes).To(HaveLen(2), "an answer to a call from before the limit was named last")
	table.Observe("r", Statement{Kind: Own, Asked: at(14), Own: true}, at(15))
	g.Expect(*changes).To(HaveLen(2), "an answer of a kind that never named it")
	table.Observe("r", Statement{Kind: Run, Asked: at(16)}, at(17))
	g.Expect(*changes).To(HaveLen(2), "an answer that another may have made")
	table.Observe("r", Statement{Kind: Run, Asked: at(16), Own: true}, at(17))
	g.Expect(*changes).To(Equal([]string{"begins ", "changes ", "ends "}))
	g.Expect(table.Room("r", 100, at(17))).To(BeTrue())
	table.Observe("r", names(2, at(18)), at(19))
	g.Expect(*changes).To(HaveLen(4), "it may begin again at any moment")
}

func TestARunnerThatNamesNothingOfItIsAskedNowAndThen(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New("a")
	table.Observe("r", names(0, now), now)
	g.Expect(table.Room("r", 1, now)).To(BeFalse())
	g.Expect(table.After("r", 1, now)).To(Equal(10 * time.Second))
	g.Expect(table.Room("r", 1, now.Add(10*time.Second))).To(BeTrue())
}

func TestPlacesAreKeptForRequestsUntilTheyAreSentOrGivenUp(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New("a")
	table.Observe("r", names(2, now), now)
	now = now.Add(time.Second)
	g.Expect(table.Claim("r", "one", 1, now)).To(BeTrue())
	g.Expect(table.Claim("r", "two", 1, now)).To(BeTrue())
	g.Expect(table.Claim("r", "three", 1, now)).To(BeFalse())
	table.Release("r", "two")
	g.Expect(table.Claim("r", "three", 1, now)).To(BeTrue())
	table.Sent("r", "one", now)
	table.Sent("r", "three", now)
	g.Expect(table.Room("r", 1, now.Add(400*time.Millisecond))).To(BeFalse())
	g.Expect(table.Room("r", 1, now.Add(500*time.Millisecond))).To(BeTrue())
	g.Expect(table.Claim("r", "lost", 1, now.Add(500*time.Millisecond))).To(BeTrue())
	g.Expect(table.Claim("r", "lost too", 1, now.Add(time.Second))).To(BeTrue())
	g.Expect(table.Room("r", 2, now.Add(4*time.Second))).To(BeFalse())
	g.Expect(table.Room("r", 2, now.Add(time.Second+unsentFor))).To(BeTrue(), "places that nobody used or gave up")
}

func TestGatewaysHearOfLimitsOfTheirEndAndOfCalls(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	a, _ := told(New("a"))
	b, changes := told(New("b"))
	a.Members([]string{"b"})
	b.Members([]string{"a"})
	var reached uint64
	tell := func() {
		var reports []Report
		reports, reached = a.Since("b", reached, now)
		b.GatewaySeen("a", now)
		b.Receive("a", 1, reports, now)
	}
	a.Observe("r", names(2, now), now)
	tell()
	g.Expect(*changes).To(Equal([]string{"begins a"}))
	g.Expect(a.Due("b", reached)).To(BeFalse())
	now = now.Add(time.Second)
	tell()
	a.GatewaySeen("b", now)
	for range 2 {
		a.Sent("r", "", now)
	}
	g.Expect(a.Due("b", reached)).To(BeTrue())
	tell()
	g.Expect(b.Room("r", 1, now)).To(BeFalse(), "the other gateway used what there was")
	now = now.Add(time.Second)
	a.Observe("r", Statement{Kind: Run, Asked: now, Own: true}, now.Add(time.Millisecond))
	tell()
	g.Expect(*changes).To(Equal([]string{"begins a", "ends a"}))
	// What is older than the end does not bring the limit back.
	b.Receive("a", 1, []Report{{Runner: "r", Statement: names(2, now), NamedAgo: time.Second}}, now.Add(2*time.Millisecond))
	g.Expect(*changes).To(HaveLen(2))
}

// A gateway that starts again counts anew; one that is heard of late is charged for no more than the
// limit allowed since this one knows of it.
func TestCallsOfAnotherGatewayAreCountedOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	level := func(t *Table) float64 { return t.limits["r"].level }
	b := New("b")
	b.Members([]string{"a"})
	b.Observe("r", names(10, now), now)
	b.GatewaySeen("a", now)
	report := func(incarnation, sent uint64) {
		b.Receive("a", incarnation, []Report{{Runner: "r", Statement: names(10, now), NamedAgo: time.Hour, Sent: sent}}, now)
		b.Receive("a", incarnation, []Report{{Runner: "r", Statement: names(10, now), NamedAgo: time.Second, Sent: sent}}, now)
	}
	report(1, 1000)
	g.Expect(level(b)).To(BeNumerically("~", -1, 0.01))
	report(1, 1003)
	g.Expect(level(b)).To(BeNumerically("~", -4, 0.01))
	report(2, 2)
	g.Expect(level(b)).To(BeNumerically("~", -6, 0.01))
}

func TestLimitsThatNobodySpeaksOfAreForgotten(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table, changes := told(New("a"))
	table.Observe("r", names(2, now), now)
	table.Sweep(now.Add(remembered))
	g.Expect(*changes).To(Equal([]string{"begins "}))
	table.Sweep(now.Add(remembered + time.Second))
	g.Expect(*changes).To(Equal([]string{"begins ", "ends "}))
	g.Expect(table.Room("r", 100, now)).To(BeTrue())
}

// Gateways that are cut off from each other never use the same part of a limit.
func TestAGatewayUsesThePartOfThoseThatItHears(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New("a")
	table.Members([]string{"b", "c", "d"})
	table.Observe("r", names(4, now), now)
	now = now.Add(2 * time.Second)
	g.Expect(table.Room("r", 2, now)).To(BeTrue(), "a quarter of four a second, for two seconds")
	g.Expect(table.limits["r"].level).To(BeNumerically("~", 2, 0.01))
}

func TestALimitThatIsNoNumberChangesNothingAndIsToldOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table, changes := told(New("a"))
	unreadable := Statement{Kind: Run, Asked: now, Unreadable: true, Own: true}
	table.Observe("r", names(2, now), now)
	for range 3 {
		table.Observe("r", unreadable, now.Add(time.Second))
	}
	g.Expect(*changes).To(Equal([]string{"begins ", "unreadable "}))
	g.Expect(table.Room("r", 100, now.Add(time.Second))).To(BeFalse(), "the limit that it named before")
	table.Observe("r", names(2, now), now.Add(2*time.Second))
	table.Observe("r", unreadable, now.Add(3*time.Second))
	g.Expect(*changes).To(HaveLen(3))
	table.Sweep(now.Add(5 * time.Minute))
	table.Observe("r", unreadable, now.Add(5*time.Minute))
	g.Expect((*changes)[len(*changes)-1]).To(Equal("unreadable "))
}

// What asks when there will be room is no choice that passed the runner over.
func TestChoicesThatPassTheRunnerOverAreCounted(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New("a")
	table.Observe("r", names(1, now), now)
	g.Expect(table.Room("r", 1, now)).To(BeFalse())
	g.Expect(table.After("r", 1, now)).To(Equal(time.Second))
	status, ok := table.Of("r", now)
	g.Expect(ok).To(BeTrue())
	g.Expect(status.Withheld).To(Equal(uint64(1)))
}
