package runnerlimit

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/memory"
)

// recordChanges returns t and the list of the changes that t reports.
func recordChanges(t *Table) (*Table, *[]string) {
	var out []string
	t.Changed = func(c Change) { out = append(out, c.What+" "+c.From) }
	return t, &out
}

func namedLimit(perSecond float64, asked time.Time) Statement {
	return Statement{Kind: RunCall, SentAt: asked, Named: true, PerSecond: perSecond, Calls: 1}
}

func TestLimitBeginsAndEndsByResponses(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	table, changes := recordChanges(New("a"))
	table.Observe("r", Statement{Kind: RunCall, SentAt: now, FromRunner: true}, at(1))
	g.Expect(*changes).To(BeEmpty(), "no limit was named")
	table.Observe("r", namedLimit(2, at(2)), at(10))
	table.Observe("r", namedLimit(2.1, at(2)), at(11))
	table.Observe("r", namedLimit(1, at(2)), at(12))
	g.Expect(*changes).To(Equal([]string{"begins ", "changes "}))
	table.Observe("r", Statement{Kind: RunCall, SentAt: at(5), FromRunner: true}, at(13))
	g.Expect(*changes).To(HaveLen(2), "a response to a call that was sent before the limit was last named")
	table.Observe("r", Statement{Kind: OtherCall, SentAt: at(14), FromRunner: true}, at(15))
	g.Expect(*changes).To(HaveLen(2), "a response to a kind of call whose responses never named it")
	table.Observe("r", Statement{Kind: RunCall, SentAt: at(16)}, at(17))
	g.Expect(*changes).To(HaveLen(2), "a response that another server may have sent")
	table.Observe("r", Statement{Kind: RunCall, SentAt: at(16), FromRunner: true}, at(17))
	g.Expect(*changes).To(Equal([]string{"begins ", "changes ", "ends "}))
	g.Expect(table.Room("r", 100, at(17))).To(BeTrue())
	table.Observe("r", namedLimit(2, at(18)), at(19))
	g.Expect(*changes).To(HaveLen(4), "a limit may begin again right after its end")
}

func TestLimitOfZeroAllowsMinRate(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New("a")
	table.Observe("r", namedLimit(0, now), now)
	g.Expect(table.Room("r", 1, now)).To(BeFalse())
	g.Expect(table.After("r", 1, now)).To(Equal(10 * time.Second))
	g.Expect(table.Room("r", 1, now.Add(10*time.Second))).To(BeTrue())
}

func TestClaimsLastUntilSentReleasedOrExpired(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New("a")
	table.Observe("r", namedLimit(2, now), now)
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
	g.Expect(table.Room("r", 2, now.Add(time.Second+claimTimeout))).To(BeTrue(), "claims that were neither sent nor released")
}

func TestGatewaysReceiveLimitsTheirEndAndCallCounts(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	a, _ := recordChanges(New("a"))
	b, changes := recordChanges(New("b"))
	a.Members([]string{"b"})
	b.Members([]string{"a"})
	var reached uint64
	sendReports := func() {
		var reports []Report
		reports, reached, _ = a.ReportsSince("b", reached, math.MaxInt, now)
		b.GatewaySeen("a", now)
		b.Receive("a", 1, reports, now)
	}
	a.Observe("r", namedLimit(2, now), now)
	sendReports()
	g.Expect(*changes).To(Equal([]string{"begins a"}))
	g.Expect(a.HasReportsFor("b", reached)).To(BeFalse())
	now = now.Add(time.Second)
	sendReports()
	a.GatewaySeen("b", now)
	for range 2 {
		a.Sent("r", "", now)
	}
	g.Expect(a.HasReportsFor("b", reached)).To(BeTrue())
	sendReports()
	g.Expect(b.Room("r", 1, now)).To(BeFalse(), "the other gateway used all calls that were left")
	now = now.Add(time.Second)
	a.Observe("r", Statement{Kind: RunCall, SentAt: now, FromRunner: true}, now.Add(time.Millisecond))
	sendReports()
	g.Expect(*changes).To(Equal([]string{"begins a", "ends a"}))
	// A report that is older than the end does not restore the limit.
	b.Receive("a", 1, []Report{{Runner: "r", Statement: namedLimit(2, now), NamedAgo: time.Second}}, now.Add(2*time.Millisecond))
	g.Expect(*changes).To(HaveLen(2))
}

// A restarted gateway counts from zero. Of the first report of a gateway no more calls are counted than the
// limit allowed since the receiver learned of the limit.
func TestCallsOfAnotherGatewayAreCountedOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	level := func(t *Table) float64 { return t.limits["r"].level }
	b := New("b")
	b.Members([]string{"a"})
	b.Observe("r", namedLimit(10, now), now)
	b.GatewaySeen("a", now)
	report := func(incarnation, sent uint64) {
		b.Receive("a", incarnation, []Report{{Runner: "r", Statement: namedLimit(10, now), NamedAgo: time.Hour, Sent: sent}}, now)
		b.Receive("a", incarnation, []Report{{Runner: "r", Statement: namedLimit(10, now), NamedAgo: time.Second, Sent: sent}}, now)
	}
	report(1, 1000)
	g.Expect(level(b)).To(BeNumerically("~", -1, 0.01))
	report(1, 1003)
	g.Expect(level(b)).To(BeNumerically("~", -4, 0.01))
	report(2, 2)
	g.Expect(level(b)).To(BeNumerically("~", -6, 0.01))
}

func TestSweepEndsLimitsThatAreNoLongerNamed(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table, changes := recordChanges(New("a"))
	table.Observe("r", namedLimit(2, now), now)
	table.Sweep(now.Add(retention))
	g.Expect(*changes).To(Equal([]string{"begins "}))
	table.Sweep(now.Add(retention + time.Second))
	g.Expect(*changes).To(Equal([]string{"begins ", "ends "}))
	g.Expect(table.Room("r", 100, now)).To(BeTrue())
}

// Guards against partitioned gateways that use the same part of a limit.
func TestGatewayUsesShareOfReachableUsers(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New("a")
	table.Members([]string{"b", "c", "d"})
	table.Observe("r", namedLimit(4, now), now)
	now = now.Add(2 * time.Second)
	g.Expect(table.Room("r", 2, now)).To(BeTrue(), "a quarter of 4 calls per second, for 2 s")
	g.Expect(table.limits["r"].level).To(BeNumerically("~", 2, 0.01))
}

func TestUnreadableLimitKeepsPreviousAndIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table, changes := recordChanges(New("a"))
	unreadable := Statement{Kind: RunCall, SentAt: now, Unreadable: true, FromRunner: true}
	table.Observe("r", namedLimit(2, now), now)
	for range 3 {
		table.Observe("r", unreadable, now.Add(time.Second))
	}
	g.Expect(*changes).To(Equal([]string{"begins ", "unreadable "}))
	g.Expect(table.Room("r", 100, now.Add(time.Second))).To(BeFalse(), "the previous limit stays in force")
	table.Observe("r", namedLimit(2, now), now.Add(2*time.Second))
	table.Observe("r", unreadable, now.Add(3*time.Second))
	g.Expect(*changes).To(HaveLen(3))
	table.Sweep(now.Add(5 * time.Minute))
	table.Observe("r", unreadable, now.Add(5*time.Minute))
	g.Expect((*changes)[len(*changes)-1]).To(Equal("unreadable "))
}

// Withheld counts how often the runner was not chosen. After only returns the wait and must not count.
func TestWithheldCountsRoomButNotAfter(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New("a")
	table.Observe("r", namedLimit(1, now), now)
	g.Expect(table.Room("r", 1, now)).To(BeFalse())
	g.Expect(table.After("r", 1, now)).To(Equal(time.Second))
	status, ok := table.Status("r", now)
	g.Expect(ok).To(BeTrue())
	g.Expect(status.Withheld).To(Equal(uint64(1)))
}

// Guards against reports of limits of runners without end.
func TestLimitsInReportsAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New("a")
	var last error
	for i := range maxLimits + 10 {
		last = table.Receive("b", 1, []Report{{Runner: fmt.Sprint("r", i), Statement: namedLimit(10, now), NamedAgo: time.Second}}, now)
	}
	var large *memory.ErrTooLarge
	g.Expect(errors.As(last, &large)).To(BeTrue())
	g.Expect(large.Bound).To(BeEquivalentTo(maxLimits))
	g.Expect(table.limits).To(HaveLen(maxLimits))
	g.Expect(table.Receive("b", 1, []Report{{Runner: "r1", Statement: namedLimit(5, now), NamedAgo: time.Second}}, now)).To(Succeed())
}

// Guards against reports of many runners that are too large to be sent together.
func TestReportsAboveTheirBoundComeInParts(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New("a")
	for i := range 100 {
		table.Observe(fmt.Sprint("r", i), namedLimit(10, now), now)
	}
	const bound = 10 * (reportBytes + len("r0"))
	received := map[string]int{}
	var reached uint64
	parts := 0
	for ; table.HasReportsFor("b", reached); parts++ {
		var reports []Report
		var more bool
		reports, reached, more = table.ReportsSince("b", reached, bound, now)
		g.Expect(more).To(Equal(table.HasReportsFor("b", reached)))
		for _, r := range reports {
			received[r.Runner]++
		}
		if parts == 0 {
			table.Observe("r0", Statement{Kind: RunCall, SentAt: now.Add(time.Second), FromRunner: true}, now.Add(time.Second))
		}
	}
	g.Expect(parts).To(BeNumerically("~", 11, 1))
	g.Expect(received).To(HaveLen(100))
	g.Expect(received["r0"]).To(Equal(2), "it changed after it was reported")
	g.Expect(received["r99"]).To(Equal(1))
	reports, _, _ := table.ReportsSince("b", 0, 1, now)
	g.Expect(reports).To(HaveLen(1), "a bound below one report")
}

// Guards against gateways that multiply what another one reports, by sending it on to all others.
func TestLimitsOfRunnersThatAreNotCalledAreNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New("a")
	for _, runner := range []string{"called", "not called"} {
		g.Expect(table.Receive("c", 1, []Report{{Runner: runner, Statement: namedLimit(10, now)}}, now)).To(Succeed())
	}
	g.Expect(table.HasReportsFor("b", 0)).To(BeFalse())
	table.Sent("called", "", now)
	reports, _, _ := table.ReportsSince("b", 0, math.MaxInt, now)
	g.Expect(reports).To(HaveLen(1))
	g.Expect(reports[0].Runner).To(Equal("called"))
}

// Guards against counts of calls that gateways without end report for many runners.
func TestCountsOfCallsInReportsAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := New("a")
	var reports []Report
	for i := range maxLimits {
		reports = append(reports, Report{Runner: fmt.Sprint("r", i), Statement: namedLimit(10, now), Sent: 1})
	}
	var last error
	for i := range 2 * maxPeerCounts / maxLimits {
		last = table.Receive(fmt.Sprint("g", i), 1, reports, now)
	}
	var large *memory.ErrTooLarge
	g.Expect(errors.As(last, &large)).To(BeTrue())
	g.Expect(large.Bound).To(BeEquivalentTo(maxPeerCounts))
	counted := 0
	for _, l := range table.limits {
		counted += len(l.peerCalls)
	}
	g.Expect(counted).To(Equal(maxPeerCounts))
	g.Expect(table.Receive("g0", 1, reports, now)).To(Succeed(), "it is counted already")
	ended := Report{Runner: "r1", Ended: true}
	g.Expect(table.Receive("g0", 1, []Report{ended}, now.Add(time.Second))).To(Succeed())
	table.Observe("r1", namedLimit(10, now.Add(2*time.Second)), now.Add(2*time.Second))
	g.Expect(table.peerCounts).To(Equal(maxPeerCounts-maxPeerCounts/maxLimits), "a new limit replaced one that had ended")
	table.Sweep(now.Add(2 * retention))
	g.Expect(table.peerCounts).To(BeZero())
}
