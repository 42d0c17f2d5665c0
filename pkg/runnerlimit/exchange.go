package runnerlimit

import (
	"slices"
	"time"
)

// spreadChange is by which part a limit must change for all gateways to hear of it at once; the
// users hear of each value with the calls.
const spreadChange = 0.05

// Report is what a gateway tells another of a runner's limit.
type Report struct {
	Runner string
	Statement
	// NamedAgo is how long ago it was named last. Over says that an answer to a call made EndedAgo
	// ago did not name it any more.
	NamedAgo time.Duration
	Over     bool
	EndedAgo time.Duration
	// Sent is how many calls the gateway's process made to the runner since it learned of the
	// limit.
	Sent uint64
}

// Since returns what another gateway was not told since a revision, and the revision reached. All
// hear of limits, and the users of a limit of its calls too.
func (t *Table) Since(gateway string, told uint64, now time.Time) ([]Report, uint64) {
	if !t.some.Load() {
		return nil, told
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for runner, l := range t.limits {
		if t.concerns(gateway, runner, l, told) {
			out = append(out, l.report(runner, now))
		}
	}
	return out, t.revision
}

// Due reports whether Since would return something.
func (t *Table) Due(gateway string, told uint64) bool {
	if !t.some.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision == told {
		return false
	}
	for runner, l := range t.limits {
		if t.concerns(gateway, runner, l, told) {
			return true
		}
	}
	return false
}

// concerns reports whether a gateway should hear of a limit, having been told up to a revision.
func (t *Table) concerns(gateway, runner string, l *limit, told uint64) bool {
	if l.newsAt > told {
		return true
	}
	return l.sentAt > told && !l.over && slices.Contains(t.usersOf(runner, l).names, gateway)
}

// Shares reports whether another gateway shares a limit with this one, so that each must be heard of
// by the other.
func (t *Table) Shares(gateway string) bool {
	if !t.some.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for runner, l := range t.limits {
		if u := t.usersOf(runner, l); !l.over && u.own && slices.Contains(u.names, gateway) {
			return true
		}
	}
	return false
}

func (l *limit) report(runner string, now time.Time) Report {
	r := Report{
		Runner: runner, Statement: Statement{Kind: l.kind, Named: true, PerSecond: l.perSecond, Calls: l.calls},
		NamedAgo: max(0, now.Sub(l.namedAt)), Over: l.over, Sent: l.sent,
	}
	if l.over {
		r.EndedAgo = max(0, now.Sub(l.endedAt))
	}
	return r
}

// Receive takes what a process of another gateway told.
func (t *Table) Receive(gateway string, incarnation uint64, reports []Report, now time.Time) {
	var changes []*Change
	t.mu.Lock()
	for _, r := range reports {
		changes = append(changes, t.receive(gateway, incarnation, r, now))
	}
	t.mu.Unlock()
	for _, c := range changes {
		t.notify(c)
	}
}

func (t *Table) receive(gateway string, incarnation uint64, r Report, now time.Time) *Change {
	l := t.limits[r.Runner]
	named, ended := now.Add(-r.NamedAgo), now.Add(-r.EndedAgo)
	var change *Change
	switch {
	case r.Over && l != nil && !l.over && ended.After(l.namedAt):
		change = t.end(r.Runner, ended, now, gateway)
	case r.Over || r.NamedAgo > remembered:
		return nil
	case l == nil || l.over && named.After(l.endedAt) || !l.over && named.After(l.namedAt):
		change = t.name(r.Runner, r.Statement, named, now, gateway)
	}
	if l = t.limits[r.Runner]; !l.over {
		l.heard(gateway, count{incarnation, r.Sent}, now, t.share(r.Runner, l, now))
	}
	return change
}

// heard counts the calls of another gateway. Of one that is heard of for the first time it counts no
// more than the limit allowed since this gateway knows of it.
func (l *limit) heard(gateway string, c count, now time.Time, part float64) {
	l.fill(now, part)
	before, known := l.others[gateway]
	l.others[gateway] = c
	switch {
	case !known:
		l.take(min(float64(c.calls), 1+l.rate()*now.Sub(l.began).Seconds()))
	case before.incarnation != c.incarnation || c.calls < before.calls:
		l.take(float64(c.calls))
	default:
		l.take(float64(c.calls - before.calls))
	}
}
