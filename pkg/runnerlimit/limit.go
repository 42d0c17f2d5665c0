package runnerlimit

import (
	"slices"
	"time"
)

const (
	// burst is the time in which a bucket fills: what is not used is kept no longer. leastBurst is
	// the least that it holds, in calls: those that one request takes.
	burst      = time.Second
	leastBurst = 2
	// leastRate is what a runner gets a second however little it names, so that its answers can
	// name another limit, or none.
	leastRate = 0.1
	// settle is the time in which the other users hear of a call.
	settle = 150 * time.Millisecond
	// unsentFor bounds how long calls are kept for a request that doesn't make them.
	unsentFor = 5 * time.Second
)

// limit is that of one start of a runner, with the bucket in which all calls to it are counted.
type limit struct {
	perSecond float64
	kind      Kind
	calls     int
	// began is when this gateway learned of it, namedAt when it was named last, from whose answer
	// did; empty for an own one.
	began, namedAt time.Time
	from           string
	// over is set when an answer did not name it any more, to a call of the time endedAt.
	over    bool
	endedAt time.Time
	// logged and spread are what Changed and the other gateways were told last.
	logged, spread float64

	// level is the calls that are left for all users, as of the time filled.
	level  float64
	filled time.Time
	// recent are this gateway's last calls, which others may not have heard of; claims are calls
	// that requests will make, by request.
	recent []time.Time
	claims map[string]claim
	// sent counts this gateway's calls since it learned of the limit, withheld how often the
	// runner was not chosen for it.
	sent, withheld uint64
	// others are the calls that other gateways told of.
	others map[string]count
	// newsAt and sentAt are the revisions of the last news for all gateways, and of the last call.
	newsAt, sentAt uint64
	users          users
}

// claim is how many calls a request will make.
type claim struct {
	calls int
	at    time.Time
}

// count is how many calls a process of another gateway made.
type count struct {
	incarnation, calls uint64
}

func newLimit(s Statement, at, now time.Time) *limit {
	return &limit{
		perSecond: s.PerSecond, kind: s.Kind, calls: max(1, s.Calls), began: now, namedAt: at, logged: s.PerSecond, spread: s.PerSecond,
		filled: now, claims: map[string]claim{}, others: map[string]count{},
	}
}

// lastUpdated returns when an answer last named the limit, or ended it.
func (l *limit) lastUpdated() time.Time {
	if l.over {
		return l.endedAt
	}
	return l.namedAt
}

// rate is what the users together send a second.
func (l *limit) rate() float64 { return max(l.perSecond, leastRate) }

// capacity is what the bucket holds.
func (l *limit) capacity() float64 { return max(leastBurst, l.rate()*burst.Seconds()) }

// fill fills the bucket up to a time, at a part of the rate.
func (l *limit) fill(now time.Time, part float64) {
	if passed := now.Sub(l.filled).Seconds(); passed > 0 {
		l.level = min(l.level+passed*l.rate()*part, l.capacity())
		l.filled = now
	}
	l.recent = slices.DeleteFunc(l.recent, func(at time.Time) bool { return now.Sub(at) >= settle })
	for request, c := range l.claims {
		if now.Sub(c.at) >= unsentFor {
			delete(l.claims, request)
		}
	}
}

// take counts calls. What is over the limit is made up for, but no more of it than the users can
// have sent without hearing of each other.
func (l *limit) take(calls float64) {
	l.level = max(l.level-calls, -l.capacity()-float64(l.mostUsers()*l.calls))
}

// claimed returns the calls that requests will make.
func (l *limit) claimed() int {
	n := 0
	for _, c := range l.claims {
		n += c.calls
	}
	return n
}

// room reports whether one of some users may make calls now. What others may not have heard of is
// bounded by an equal part of the bucket, or by one request where that is less.
func (l *limit) room(calls, users int) bool {
	claimed := l.claimed()
	if l.level-float64(claimed) < float64(calls) {
		return false
	}
	unheard := len(l.recent) + claimed
	part := (l.level + float64(len(l.recent))) / float64(users)
	return float64(unheard+calls) <= max(float64(calls), part)
}

// after returns how long until there is room for calls, at a part of the rate.
func (l *limit) after(calls int, part float64) time.Duration {
	missing := float64(calls+l.claimed()) - l.level
	if missing <= 0 || part <= 0 {
		return settle
	}
	return max(settle, time.Duration(missing/(l.rate()*part)*float64(time.Second)))
}
