package peers

import (
	"math"
	"time"

	"github.com/hopwell/hopwell/pkg/runnerlimit"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// sharedLimitInterval is the time between two datagrams to a gateway that shares a runner's rate
// limit. The share of a gateway from which no datagrams arrive stays unused.
const sharedLimitInterval = 300 * time.Millisecond

// maxLimitBytes bounds the runners' rate limits in one datagram, in bytes. The others go into the next ones.
const maxLimitBytes = 4 << 10

// addLimits adds to a datagram the runners' rate limits that its receiver lacks. With the full state it begins with
// the first again, unless some are left. The caller holds the lock.
func (x *Exchange) addLimits(m *member, state *wirepb.GatewayState, now time.Time) {
	if x.options.Limits == nil {
		return
	}
	if state.Address != "" && !m.limitsLeft {
		m.limitsRevision = 0
	}
	var reports []runnerlimit.Report
	reports, m.limitsRevision, m.limitsLeft = x.options.Limits.ReportsSince(m.name, m.limitsRevision, maxLimitBytes, now)
	state.Limits = encodeLimits(reports)
}

// limitsDue reports whether a gateway lacks changes of runners' rate limits, which are sent at once.
// The caller holds the lock.
func (x *Exchange) limitsDue(m *member) bool {
	return x.options.Limits != nil && x.options.Limits.HasReportsFor(m.name, m.limitsRevision)
}

// sharedLimitDue reports whether a gateway shares a rate limit and was sent no datagram for
// sharedLimitInterval. The caller holds the lock.
func (x *Exchange) sharedLimitDue(m *member, now time.Time) bool {
	l := x.options.Limits
	return l != nil && m.alive && now.Sub(m.lastSent) >= sharedLimitInterval && l.Shares(m.name)
}

// receiveLimits records that another gateway is alive, and the rate limits that it reported.
func (x *Exchange) receiveLimits(s *wirepb.GatewayState, now time.Time) {
	if x.options.Limits == nil {
		return
	}
	x.options.Limits.GatewaySeen(s.Name, now)
	if len(s.Limits) > 0 {
		if err := x.options.Limits.Receive(s.Name, s.Incarnation, decodeLimits(s.Limits), now); err != nil {
			x.options.Failed(err)
		}
	}
}

// updateLimitMembers passes the names of the other gateways, which share the rate limits, to the
// table of limits if they changed. The caller holds the lock.
func (x *Exchange) updateLimitMembers() {
	if x.options.Limits == nil || x.limitMemberships == x.memberships {
		return
	}
	x.limitMemberships = x.memberships
	names := make([]string, 0, len(x.members))
	for _, m := range x.sortedMembers() {
		names = append(names, m.name)
	}
	x.options.Limits.Members(names)
}

func encodeLimits(reports []runnerlimit.Report) []*wirepb.RunnerLimit {
	out := make([]*wirepb.RunnerLimit, 0, len(reports))
	for _, r := range reports {
		out = append(out, &wirepb.RunnerLimit{
			Runner: r.Runner, PerSecond: r.PerSecond, Kind: uint32(r.Kind), Calls: uint32(r.Calls), Sent: r.Sent,
			NamedAgoMs: uint32(r.NamedAgo.Milliseconds()), Over: r.Ended, EndedAgoMs: uint32(r.EndedAgo.Milliseconds()),
		})
	}
	return out
}

// maxCallsPerRequest bounds the calls per request that another gateway may report for a runner.
const maxCallsPerRequest = 16

// decodeLimits returns the reports of a message. It drops a report that has no runner, or whose limit
// is negative, infinite or not a number.
func decodeLimits(list []*wirepb.RunnerLimit) []runnerlimit.Report {
	out := make([]runnerlimit.Report, 0, len(list))
	for _, r := range list {
		if r.Runner == "" || !(r.PerSecond >= 0) || math.IsInf(r.PerSecond, 0) {
			continue
		}
		out = append(out, runnerlimit.Report{
			Runner: r.Runner, Sent: r.Sent, Ended: r.Over,
			Statement: runnerlimit.Statement{Kind: runnerlimit.Kind(r.Kind), Named: true, PerSecond: r.PerSecond, Calls: int(min(max(r.Calls, 1), maxCallsPerRequest))},
			NamedAgo:  time.Duration(r.NamedAgoMs) * time.Millisecond, EndedAgo: time.Duration(r.EndedAgoMs) * time.Millisecond,
		})
	}
	return out
}
