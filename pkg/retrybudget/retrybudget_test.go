package retrybudget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

var limits = Limits{Share: 0.2, Slack: 50, Window: 10 * time.Second}

// Gateways that share a budget stay within it in every window, whatever the times of requests and
// retries. The budget of a window counts its requests or those of the window before, whichever are
// more.
func TestGatewaysTogetherStayWithinBudget(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := rapid.IntRange(1, 6).Draw(t, "gateways")
		now := time.Now()
		budgets := make([]*Budget, n)
		for i := range budgets {
			budgets[i] = New(limits, n)
		}
		type event struct {
			at    time.Time
			extra bool
		}
		var all []event
		lost := false
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			if !lost && rapid.IntRange(0, 99).Draw(t, "lost") == 0 {
				// All gateways are lost and restart without state.
				lost = true
				for i := range budgets {
					budgets[i] = newAt(limits, n, now)
				}
			}
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "which")]
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				b.Request(now)
				all = append(all, event{now, false})
			default:
				if b.Spend(now) {
					all = append(all, event{now, true})
				}
			}
		}
		for i := range all {
			extras, requests, before := 0, 0, 0
			for j := range all {
				since := all[j].at.Sub(all[i].at)
				switch {
				case since >= 0 && since < limits.Window && all[j].extra:
					extras++
				case since >= 0 && since < limits.Window:
					requests++
				case since < 0 && since >= -limits.Window && !all[j].extra:
					before++
				}
			}
			g.Expect(float64(extras)).To(BeNumerically("<=", limits.Share*float64(max(requests, before))+limits.Slack))
		}
	})
}

func TestChargeMayOverdrawBudget(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := New(Limits{Slack: 10, Window: time.Second}, 1)
	for range 20 {
		b.Charge(now)
	}
	g.Expect(b.Spend(now)).To(BeFalse())
	g.Expect(b.Left(now)).To(BeNumerically("<", 0))
	g.Expect(b.Spend(now.Add(3 * time.Second))).To(BeTrue())
}

func TestSlackIsDividedAmongGateways(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := New(Limits{Slack: 10, Window: time.Second}, 1)
	b.SetGateways(10)
	spent := 0
	for b.Spend(now) {
		spent++
	}
	// The gateway's part of the slack is 1, which startSlackShare and safetyShare reduce to 0.2.
	g.Expect(spent).To(Equal(0))
}

// New limits apply to the sends counted under the old ones.
func TestSetLimitsKeepsSpentSends(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := newAt(Limits{Slack: 10, Window: 10 * time.Second}, 1, now.Add(-11*time.Second))
	for range 5 {
		g.Expect(b.Spend(now)).To(BeTrue())
	}
	b.SetLimits(Limits{Slack: 5, Window: 10 * time.Second})
	g.Expect(b.Spend(now)).To(BeFalse())
	b.SetLimits(Limits{Slack: 20, Window: 10 * time.Second})
	g.Expect(b.Spend(now)).To(BeTrue())
}
