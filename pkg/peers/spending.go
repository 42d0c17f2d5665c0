package peers

import (
	"time"

	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// spendingEvery is the time after which a gateway is told what workspaces spent,
	// where nothing else is sent to it; what is spent of little is told after one period.
	spendingEvery = 300 * time.Millisecond
	// maxSpenders bounds the workspaces that a datagram names, 12 bytes each.
	maxSpenders = 1000
	// graceFactor is how many heartbeats after a gateway was heard of its part of the
	// limits may be spent by others: it is late, or one datagram was lost.
	graceFactor = 1.25
)

// addSpending adds to a datagram what its receiver has not been told: everything where the
// datagram has everything else. The caller holds the lock.
func (x *Exchange) addSpending(m *member, state *wirepb.GatewayState) {
	if x.options.Quota == nil {
		return
	}
	if state.Address != "" {
		m.spending = 0
	}
	var spent []quota.Spending
	spent, m.spending = x.options.Quota.Since(m.spending, maxSpenders)
	for _, s := range spent {
		state.Spenders = append(state.Spenders, uint64(s.Workspace))
		state.Spent = append(state.Spent, s.Total)
		if state.Address != "" {
			state.Levels = append(state.Levels, s.Level)
		}
	}
	state.Settled = state.Address != "" && x.options.Quota.Settled(time.Now())
}

// spendingDue reports whether a gateway should be told now what workspaces spent. The caller
// holds the lock.
func (x *Exchange) spendingDue(m *member, now time.Time) bool {
	q := x.options.Quota
	if q == nil || !m.alive || q.Revision() == m.spending {
		return false
	}
	return now.Sub(m.lastSent) >= spendingEvery || q.Pressed(m.spending)
}

// receiveSpending takes what another gateway told, where nothing of it was lost.
func (x *Exchange) receiveSpending(s *wirepb.GatewayState, now time.Time) {
	if x.options.Quota == nil {
		return
	}
	var spent []quota.Spending
	whole := s.Address != "" && len(s.Levels) == len(s.Spenders)
	for i := range min(len(s.Spenders), len(s.Spent)) {
		one := quota.Spending{Workspace: quota.Key(s.Spenders[i]), Total: s.Spent[i]}
		if whole {
			one.Level = s.Levels[i]
		}
		spent = append(spent, one)
	}
	x.options.Quota.Heard(s.Name, s.Incarnation, spent, whole, s.Settled, now)
}

// quotaMembers says which gateways share the limits. The caller holds the lock.
func (x *Exchange) quotaMembers(now time.Time) {
	if x.options.Quota == nil {
		return
	}
	grace := time.Duration(graceFactor * float64(x.heartbeat()))
	if x.toldMembers == x.memberships && x.toldGrace == grace {
		return
	}
	x.toldMembers, x.toldGrace = x.memberships, grace
	names := make([]string, 0, len(x.members))
	for name := range x.members {
		names = append(names, name)
	}
	x.options.Quota.Members(names, grace, now)
}
