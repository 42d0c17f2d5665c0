package runnerlimit

import (
	"slices"
	"time"
)

const (
	// fillTime is the time in which an empty bucket fills, so that at most the calls of this time accumulate.
	// minCapacity is the least capacity of a bucket in calls: the most that one request takes.
	fillTime    = time.Second
	minCapacity = 2
	// minRate is the rate in calls per second that a runner gets even if it names a lower one, so that its
	// responses can name another limit, or none.
	minRate = 0.1
	// propagationTime is the time in which the other users of a limit learn of a call.
	propagationTime = 150 * time.Millisecond
	// claimTimeout bounds how long calls are reserved for a request that doesn't make them.
	claimTimeout = 5 * time.Second
)

// limit is the rate limit of one incarnation of a runner, with the token bucket that counts all calls to it.
type limit struct {
	perSecond float64
	kind      Kind
	calls     int
	// learnedAt is when this gateway learned of the limit. namedAt is when a response last named the limit.
	// from is the gateway that received that response; empty for this gateway.
	learnedAt, namedAt time.Time
	from               string
	// called is set once this gateway called the runner.
	called bool
	// ended is set when the limit has ended as of endedAt: a call sent then got a response that no longer
	// named the limit, or the limit expired.
	ended   bool
	endedAt time.Time
	// loggedRate and broadcastRate are the rates last reported to Changed and last marked to be sent to all
	// gateways.
	loggedRate, broadcastRate float64

	// level is the number of calls left for all users at the time filledAt.
	level    float64
	filledAt time.Time
	// recentCalls are the times of this gateway's calls within propagationTime, which the other users may not
	// have learned of. claims are the calls reserved for requests, by request ID.
	recentCalls []time.Time
	claims      map[string]claim
	// sent is the number of this gateway's calls since it learned of the limit, withheld how often it did not
	// choose the runner because of the limit.
	sent, withheld uint64
	// peerCalls are the calls that other gateways reported, by gateway.
	peerCalls map[string]callCount
	// changeRevision and callRevision are the table's revisions at the last change for all gateways and at
	// the last call.
	changeRevision, callRevision uint64
	users                        users
}

// claim is the number of calls reserved for a request.
type claim struct {
	calls int
	at    time.Time
}

// callCount is the number of calls that one process of another gateway made.
type callCount struct {
	incarnation, calls uint64
}

func newLimit(s Statement, at, now time.Time) *limit {
	return &limit{
		perSecond: s.PerSecond, kind: s.Kind, calls: max(1, s.Calls), learnedAt: now, namedAt: at, loggedRate: s.PerSecond, broadcastRate: s.PerSecond,
		filledAt: now, claims: map[string]claim{}, peerCalls: map[string]callCount{},
	}
}

// lastUpdated returns when a response last named the limit, or ended it.
func (l *limit) lastUpdated() time.Time {
	if l.ended {
		return l.endedAt
	}
	return l.namedAt
}

// rate returns the calls per second that all users together may send.
func (l *limit) rate() float64 { return max(l.perSecond, minRate) }

// capacity returns the capacity of the bucket in calls.
func (l *limit) capacity() float64 { return max(minCapacity, l.rate()*fillTime.Seconds()) }

// refill adds the calls that accrued until the given time at a fraction of the rate, and drops expired
// entries of recentCalls and claims.
func (l *limit) refill(now time.Time, fraction float64) {
	if passed := now.Sub(l.filledAt).Seconds(); passed > 0 {
		l.level = min(l.level+passed*l.rate()*fraction, l.capacity())
		l.filledAt = now
	}
	l.recentCalls = slices.DeleteFunc(l.recentCalls, func(at time.Time) bool { return now.Sub(at) >= propagationTime })
	for request, c := range l.claims {
		if now.Sub(c.at) >= claimTimeout {
			delete(l.claims, request)
		}
	}
}

// consume takes calls out of the bucket. For calls over the limit the level falls below zero, and later calls
// wait until it is refilled. It falls no further than to what the users can have sent before they learned of
// each other's calls.
func (l *limit) consume(calls float64) {
	l.level = max(l.level-calls, -l.capacity()-float64(l.maxUsers()*l.calls))
}

// claimed returns the number of calls reserved for requests.
func (l *limit) claimed() int {
	n := 0
	for _, c := range l.claims {
		n += c.calls
	}
	return n
}

// room reports whether this gateway, as one of users gateways, may make the given number of calls now. Its
// calls that the others may not have learned of are bounded by an equal part of the bucket, or by one request
// if that is more.
func (l *limit) room(calls, users int) bool {
	claimed := l.claimed()
	if l.level-float64(claimed) < float64(calls) {
		return false
	}
	unreported := len(l.recentCalls) + claimed
	ownPart := (l.level + float64(len(l.recentCalls))) / float64(users)
	return float64(unreported+calls) <= max(float64(calls), ownPart)
}

// after returns the time until there is room for calls, at a fraction of the rate. It is at least
// propagationTime, also if nothing is missing, and propagationTime if fraction is 0.
func (l *limit) after(calls int, fraction float64) time.Duration {
	missing := float64(calls+l.claimed()) - l.level
	if missing <= 0 || fraction <= 0 {
		return propagationTime
	}
	return max(propagationTime, time.Duration(missing/(l.rate()*fraction)*float64(time.Second)))
}
