package peers

import (
	"time"

	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// spendingInterval is the time after which a gateway is sent new spending of workspaces if it
	// is sent nothing else. Spending from a bucket that runs low is sent after one send interval.
	spendingInterval = 300 * time.Millisecond
	// maxSpenders bounds the workspaces in one datagram, 12 bytes each.
	maxSpenders = 1000
	// Others may spend a gateway's share of the limits for graceFactor heartbeat intervals after
	// its last datagram: a datagram may be late, or one lost.
	graceFactor = 1.25
)

// addSpending adds to a datagram the spending that its receiver lacks, or all spending if the datagram
// holds the full state. The caller holds the lock.
func (x *Exchange) addSpending(m *member, state *wirepb.GatewayState) {
	if x.options.Quota == nil {
		return
	}
	if state.Address != "" {
		m.spendingRevision = 0
	}
	var spent []quota.Spending
	spent, m.spendingRevision = x.options.Quota.SpendingSince(m.spendingRevision, maxSpenders)
	for _, s := range spent {
		state.Spenders = append(state.Spenders, uint64(s.Workspace))
		state.Spent = append(state.Spent, s.Total)
		if state.Address != "" {
			state.Levels = append(state.Levels, s.Level)
		}
	}
	state.Settled = state.Address != "" && x.options.Quota.Settled(time.Now())
}

// spendingDue reports whether a gateway is due a datagram with new spending. The caller holds the
// lock.
func (x *Exchange) spendingDue(m *member, now time.Time) bool {
	q := x.options.Quota
	if q == nil || !m.alive || q.Revision() == m.spendingRevision {
		return false
	}
	return now.Sub(m.lastSent) >= spendingInterval || q.RunningLow(m.spendingRevision)
}

// receiveSpending records the spending that another gateway reported. It must not be called while data
// of that gateway is missing.
func (x *Exchange) receiveSpending(s *wirepb.GatewayState, now time.Time) {
	if x.options.Quota == nil {
		return
	}
	var spent []quota.Spending
	full := s.Address != "" && len(s.Levels) == len(s.Spenders)
	for i := range min(len(s.Spenders), len(s.Spent)) {
		spending := quota.Spending{Workspace: quota.Key(s.Spenders[i]), Total: s.Spent[i]}
		if full {
			spending.Level = s.Levels[i]
		}
		spent = append(spent, spending)
	}
	x.options.Quota.ReceiveSpending(s.Name, s.Incarnation, spent, full, s.Settled, now)
}

// updateQuotaMembers passes the names of the other gateways, which share the limits, and the grace to
// the quota if either changed. The caller holds the lock.
func (x *Exchange) updateQuotaMembers(now time.Time) {
	if x.options.Quota == nil {
		return
	}
	grace := time.Duration(graceFactor * float64(x.heartbeat()))
	if x.quotaMemberships == x.memberships && x.quotaGrace == grace {
		return
	}
	x.quotaMemberships, x.quotaGrace = x.memberships, grace
	names := make([]string, 0, len(x.members))
	for name := range x.members {
		names = append(names, name)
	}
	x.options.Quota.SetMembers(names, grace, now)
}
