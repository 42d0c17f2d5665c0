package notice

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

func at(s float64) time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(s * float64(time.Second)))
}

func asksFor(length time.Duration) Notice { return Notice{Refused: true, RetryAfter: length} }

// Guards against a leaving notice that a later response or reading of the list of runners revokes, or that
// applies to the next incarnation.
func TestLeavingIsPerIncarnationAndPermanent(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.Observe("a@1", Notice{Leaving: true}, at(0))
	table.Observe("a@1", Notice{Accepted: true, Sent: at(1)}, at(1))
	table.Replace("a@1", Incarnation{ID: "a@2", Began: at(50)}, at(50))
	table.Sweep(at(100))
	var leaving *ErrLeaving
	g.Expect(table.Admits("a@1", Work, at(100))).To(BeAssignableToTypeOf(leaving))
	g.Expect(table.Admits("a@1", Upkeep, at(100))).To(Succeed(), "reservations can still be released")
	g.Expect(table.Admits("a@2", Work, at(100))).To(Succeed())
	table.Sweep(at(0).Add(2 * leavingRetention))
	g.Expect(table.Leaves("a@1")).To(BeFalse())
}

// Guards against requests during a pause that a runner asked for right after a restart. An earlier version
// attributed the response to the previous incarnation and dropped the pause with that incarnation.
func TestPauseBelongsToIncarnationThatAsked(t *testing.T) {
	for name, c := range map[string]struct {
		asked, began, learned float64
		kept                  bool
	}{
		"asked by the new incarnation":                           {asked: 10.07, began: 10, learned: 10.19, kept: true},
		"asked by the new incarnation long before it was listed": {asked: 11, began: 10, learned: 14, kept: true},
		"asked by the new incarnation, whose clock is ahead":     {asked: 10.07, began: 40, learned: 10.19, kept: true},
		"asked by the previous incarnation":                      {asked: 8, began: 10, learned: 10.19, kept: false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := New()
			table.Observe("a@1", Notice{Refused: true, RetryAfter: 10 * time.Second, Sent: at(c.asked)}, at(c.asked))
			table.Replace("a@1", Incarnation{ID: "a@2", Began: at(c.began)}, at(c.learned))
			g.Expect(table.Admits("a@2", Work, at(c.learned)) != nil).To(Equal(c.kept))
		})
	}
	g := NewWithT(t)
	table := New()
	table.Replace("a@1", Incarnation{ID: "a@2", Began: at(10)}, at(11))
	table.Observe("a@1", Notice{Refused: true, RetryAfter: time.Second, Sent: at(9)}, at(11))
	g.Expect(table.Admits("a@2", Work, at(11.1))).To(Succeed(), "a late response of the previous incarnation")
	table.Observe("a@1", Notice{Refused: true, RetryAfter: time.Second, Sent: at(10.9)}, at(11.2))
	g.Expect(table.Admits("a@2", Work, at(11.3))).NotTo(Succeed(), "the call was in progress when the new incarnation was listed")
}

// Guards against work sent to a restarted runner whose leaving notice was attributed to its previous incarnation.
func TestLeavingBelongsToIncarnationThatAnnouncedIt(t *testing.T) {
	for name, c := range map[string]struct {
		sent, again, began, learned float64
		leaves                      bool
	}{
		"announced by the new incarnation":                           {sent: 10.07, began: 10, learned: 10.19, leaves: true},
		"announced by the new incarnation long before it was listed": {sent: 11, began: 10, learned: 14, leaves: true},
		"announced by both":                                          {sent: 8, again: 10.1, began: 10, learned: 10.19, leaves: true},
		"announced by the previous incarnation":                      {sent: 8, began: 10, learned: 10.19, leaves: false},
		"announced by the previous incarnation, shortly before":      {sent: 9.99, began: 10, learned: 10.01, leaves: false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := New()
			var reported []string
			table.Changed = func(c Change) { reported = append(reported, c.Runner+" "+c.What) }
			table.Observe("a@1", Notice{Leaving: true, Sent: at(c.sent)}, at(c.sent))
			if c.again > 0 {
				table.Observe("a@1", Notice{Leaving: true, Sent: at(c.again)}, at(c.again))
			}
			table.Replace("a@1", Incarnation{ID: "a@2", Began: at(c.began)}, at(c.learned))
			g.Expect(table.Admits("a@2", Work, at(c.learned)) != nil).To(Equal(c.leaves))
			g.Expect(table.Leaves("a@1")).To(BeTrue())
			if c.leaves {
				g.Expect(reported).To(ContainElement("a@2 leaving"))
				g.Expect(table.Leaving(time.Second, at(c.learned))).To(ContainElement("a@2"), "other gateways are told")
			}
		})
	}
}

// Guards against a cycle of successors, which arises when a restored store lists an older incarnation for a
// while.
func TestRelistedIncarnationIsNotItsOwnSuccessor(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.Replace("a@1", Incarnation{ID: "a@2", Began: at(10)}, at(10))
	table.Replace("a@2", Incarnation{ID: "a@1", Began: at(1)}, at(20))
	table.Observe("a@2", Notice{Refused: true, RetryAfter: time.Second, Sent: at(21)}, at(21))
	g.Expect(table.Admits("a@1", Work, at(21.1))).NotTo(Succeed())
}

// Guards against a pause that ends early because a later response asked for a shorter one.
func TestOverlappingPausesEndAtLatestEnd(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		table := New()
		until, now := time.Time{}, at(0)
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			length := time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond
			table.Observe("a", asksFor(length), now)
			if now.Add(length).After(until) {
				until = now.Add(length)
			}
			if left := table.PausedFor("a", now); left != until.Sub(now) {
				t.Fatalf("left=%s want=%s", left, until.Sub(now))
			}
			for _, purpose := range []Purpose{Work, Upkeep} {
				if table.Admits("a", purpose, until.Add(-1)) == nil {
					t.Fatal("a call is admitted during the pause")
				}
				if err := table.Admits("a", purpose, until); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// Guards against the full load returning to a runner at the end of its pause.
func TestSlowStartDoublesWindowAfterPause(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.Observe("a", asksFor(2*time.Second), at(0))
	g.Expect(table.Claim("a", "in the pause", at(1.9))).To(BeFalse())
	taken := 0
	for round, want := range []int{1, 2, 4, 8, 16} {
		now := at(2 + float64(round)*0.1)
		first := taken
		for table.Claim("a", fmt.Sprint(taken), now) {
			taken++
		}
		g.Expect(taken-first).To(Equal(want), "round %d", round)
		for i := first; i < taken; i++ {
			table.Release("a", fmt.Sprint(i))
			table.Observe("a", Notice{Accepted: true, Sent: now}, now)
		}
	}
	for i := range 100 {
		g.Expect(table.Claim("a", fmt.Sprint("open", i), at(3))).To(BeTrue(), "the bound is lifted")
	}
}

// Guards against a runner that stays excluded after its pause because a request was never released.
func TestSlowStartExpiresUnreleasedClaims(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.Observe("a", asksFor(time.Second), at(0))
	g.Expect(table.Claim("a", "lost", at(1))).To(BeTrue())
	g.Expect(table.Room("a", at(1.1))).To(BeFalse())
	table.Observe("a", Notice{Accepted: true, Sent: at(0.9)}, at(1.3))
	g.Expect(table.Room("a", at(1.3))).To(BeFalse(), "the accepted request was sent before the end of the pause")
	g.Expect(table.Room("a", at(1).Add(claimTimeout))).To(BeTrue())
}

// Guards against a slow start that continues although the runner asked for another pause.
func TestRefusalInSlowStartBeginsNewPause(t *testing.T) {
	g := NewWithT(t)
	table := New()
	var reported []string
	table.Changed = func(c Change) { reported = append(reported, fmt.Sprintf("%s %s %d", c.What, c.For, c.Asked)) }
	table.Observe("a", asksFor(time.Second), at(0))
	table.Observe("a", asksFor(2*time.Second), at(0.5))
	table.Observe("a", asksFor(time.Second), at(3))
	g.Expect(table.PausedFor("a", at(3.5))).To(Equal(500 * time.Millisecond))
	table.Sweep(at(4))
	table.Sweep(at(5))
	g.Expect(reported).To(Equal([]string{"pause_begins 1s 1", "pause_ends 2.5s 2", "pause_begins 1s 1", "pause_ends 1s 1"}))
	table.Sweep(at(4).Add(2 * slowStartTimeout))
	g.Expect(table.Room("a", at(4).Add(2*slowStartTimeout))).To(BeTrue())
	g.Expect(table.nonEmpty.Load()).To(BeFalse())
}

// Guards against dropping a report because the receiver doesn't know the runner yet.
func TestReceiveKeepsReportsOfUnknownIncarnations(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.Receive("front-2", []string{"b", "a"}, at(0))
	table.Receive("front-3", []string{"a"}, at(1))
	g.Expect(table.Leaves("a")).To(BeTrue())
	g.Expect(table.Admits("a", Work, at(2))).To(MatchError(&ErrLeaving{Runner: "a", From: "front-2", KnownFor: 2 * time.Second}))
	table.Observe("c", Notice{Leaving: true}, at(3))
	g.Expect(table.Leaving(time.Minute, at(3))).To(Equal([]string{"c", "a", "b"}))
	g.Expect(table.Leaving(time.Second, at(3))).To(Equal([]string{"c"}))
	g.Expect(table.Withheld(time.Minute, at(3))).To(HaveLen(3))
}

// Guards against memory that grows with the notices of runners, or of senders that impersonate them.
func TestTableSizeIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := New()
	headers := 0
	table.Changed = func(c Change) {
		if c.What == Unknown {
			headers++
		}
	}
	for i := range 2 * maxLeaving {
		table.Receive("front-2", []string{fmt.Sprint(i)}, at(float64(i)))
	}
	g.Expect(table.leaving).To(HaveLen(maxLeaving))
	g.Expect(table.Leaves(fmt.Sprint(2*maxLeaving - 1))).To(BeTrue())
	for i := range 100 {
		table.Observe("a", Notice{Unknown: []string{fmt.Sprintf("Server-%d", i%50)}}, at(0))
	}
	g.Expect(headers).To(Equal(maxUnknownHeaders))
}

// Guards against a slow start that runs into the same refusals repeatedly.
func TestWindowDoublesToHalfOfWindowAtRefusal(t *testing.T) {
	g := NewWithT(t)
	table := New()
	claim := func(now time.Time) (n int) {
		for table.Claim("a", fmt.Sprint(now, n), now) {
			n++
		}
		return n
	}
	accept := func(n int, now time.Time) {
		for i := range n {
			table.Release("a", fmt.Sprint(now, i))
			table.Observe("a", Notice{Accepted: true, Sent: now}, now)
		}
	}
	table.Observe("a", asksFor(time.Second), at(0))
	for _, s := range []float64{1, 1.1, 1.2} {
		accept(claim(at(s)), at(s))
	}
	g.Expect(claim(at(1.3))).To(Equal(8))
	table.Observe("a", asksFor(time.Second), at(1.3))
	for i := range 8 {
		table.Release("a", fmt.Sprint(at(1.3), i))
	}
	var windows []int
	for i := range 5 {
		now := at(2.3 + float64(i)*0.1)
		n := claim(now)
		windows = append(windows, n)
		accept(n, now)
	}
	g.Expect(windows).To(Equal([]int{1, 2, 4, 5, 6}), "doubles up to half of 8, then grows by one")
}

// Guards against a pause from a response that refused nothing, an unbounded pause, and an announced end that
// is ignored.
func TestNoticePauseAndLeaving(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&Notice{RetryAfter: time.Second}).pause()).To(BeZero())
	g.Expect((&Notice{Refused: true, RetryAfter: time.Second}).pause()).To(Equal(time.Second))
	g.Expect((&Notice{Refused: true, RetryAfter: 900 * time.Second}).pause()).To(Equal(15 * time.Minute))
	g.Expect((&Notice{Refused: true, RetryAfter: 24 * time.Hour}).pause()).To(Equal(maxPause))
	g.Expect((&Notice{}).leaves()).To(BeFalse())
	g.Expect((&Notice{Leaving: true}).leaves()).To(BeTrue())
	g.Expect((&Notice{HasEnd: true, LeavesIn: leavingLeadTime}).leaves()).To(BeTrue())
	g.Expect((&Notice{HasEnd: true, LeavesIn: time.Hour}).leaves()).To(BeFalse())
}
