package runnerlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/memory"
)

// broadcastChange is the relative change of a limit above which the limit is sent to all gateways
// immediately. The users of a limit also receive smaller changes, with the call counts.
const broadcastChange = 0.05

// Report is what a gateway sends to another about a runner's limit.
type Report struct {
	Runner string
	Statement
	// NamedAgo is the time since a response last named the limit. Ended is set if the limit has ended,
	// EndedAgo ago.
	NamedAgo time.Duration
	Ended    bool
	EndedAgo time.Duration
	// Sent is the number of calls that the gateway's process made to the runner since it learned of the
	// limit.
	Sent uint64
}

// reportBytes is the largest size in bytes of a report beside the runner's name, as it is sent.
const reportBytes = 48

// due is a limit that a gateway has to learn of, with the revision of its last change that matters there.
type due struct {
	runner   string
	limit    *limit
	revision uint64
}

// ReportsSince returns reports that are newer than a revision and meant for a gateway, and the revision up to
// which they are complete. If all would take more than maxBytes, those that changed first are returned, at least
// one, and more is set. All gateways receive changes of the limits of runners that this gateway calls; the users of
// a limit also receive its call counts. Limits that are only known from others are not passed on.
func (t *Table) ReportsSince(gateway string, since uint64, maxBytes int, now time.Time) (out []Report, reached uint64, more bool) {
	if !t.nonEmpty.Load() {
		return nil, since, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list, size := t.due(gateway, since)
	reached = t.revision
	if size > maxBytes {
		list = firstOf(list, maxBytes)
		reached, more = list[len(list)-1].revision, true
	}
	for _, d := range list {
		out = append(out, d.limit.report(d.runner, now))
	}
	return out, reached, more
}

// due returns the limits that a gateway has to learn of that has received everything up to the revision since,
// and the size of their reports in bytes. The caller holds the lock.
func (t *Table) due(gateway string, since uint64) (list []due, size int) {
	for runner, l := range t.limits {
		if revision := t.revisionFor(gateway, runner, l); revision > since {
			list = append(list, due{runner, l, revision})
			size += len(runner) + reportBytes
		}
	}
	return list, size
}

// firstOf returns the limits that changed first and whose reports take at most maxBytes, at least one.
func firstOf(list []due, maxBytes int) []due {
	slices.SortFunc(list, func(a, b due) int { return cmp.Compare(a.revision, b.revision) })
	size := 0
	for i, d := range list {
		if size += len(d.runner) + reportBytes; size > maxBytes && i > 0 {
			return list[:i]
		}
	}
	return list
}

// HasReportsFor reports whether ReportsSince would return any reports.
func (t *Table) HasReportsFor(gateway string, since uint64) bool {
	if !t.nonEmpty.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision == since {
		return false
	}
	for runner, l := range t.limits {
		if t.revisionFor(gateway, runner, l) > since {
			return true
		}
	}
	return false
}

// revisionFor returns the revision of the last change of a limit that a gateway has to learn of; 0 if it has to
// learn nothing.
func (t *Table) revisionFor(gateway, runner string, l *limit) uint64 {
	if !l.called {
		return 0
	}
	if l.callRevision > l.changeRevision && !l.ended && slices.Contains(t.usersOf(runner, l).names, gateway) {
		return l.callRevision
	}
	return l.changeRevision
}

// Shares reports whether another gateway shares a limit with this one, so that each must regularly receive
// messages from the other.
func (t *Table) Shares(gateway string) bool {
	if !t.nonEmpty.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for runner, l := range t.limits {
		if u := t.usersOf(runner, l); !l.ended && u.own && slices.Contains(u.names, gateway) {
			return true
		}
	}
	return false
}

func (l *limit) report(runner string, now time.Time) Report {
	r := Report{
		Runner: runner, Statement: Statement{Kind: l.kind, Named: true, PerSecond: l.perSecond, Calls: l.calls},
		NamedAgo: max(0, now.Sub(l.namedAt)), Ended: l.ended, Sent: l.sent,
	}
	if l.ended {
		r.EndedAgo = max(0, now.Sub(l.endedAt))
	}
	return r
}

const (
	// maxLimits bounds the runners whose limits are known: some times those of the largest fleet.
	maxLimits = 4096
	// maxPeerCounts bounds the counts of calls of all other gateways, one for each limit and user: twice as many as
	// in the largest fleet.
	maxPeerCounts = 1 << 15
)

// Receive records the reports of a process of another gateway. It fails with *memory.ErrTooLarge if some were
// ignored since too many runners have limits, or too many gateways call them.
func (t *Table) Receive(gateway string, incarnation uint64, reports []Report, now time.Time) error {
	var changes []*Change
	var ignored error
	t.mu.Lock()
	for _, r := range reports {
		if known := len(t.limits); known >= maxLimits && t.limits[r.Runner] == nil {
			ignored = memory.TooLarge("runners with rate limits", int64(known)+1, maxLimits)
			continue
		}
		change, err := t.receive(gateway, incarnation, r, now)
		if err != nil {
			ignored = err
		}
		changes = append(changes, change)
	}
	t.mu.Unlock()
	for _, c := range changes {
		t.notify(c)
	}
	return ignored
}

func (t *Table) receive(gateway string, incarnation uint64, r Report, now time.Time) (change *Change, err error) {
	l := t.limits[r.Runner]
	namedAt, endedAt := now.Add(-r.NamedAgo), now.Add(-r.EndedAgo)
	switch {
	case r.Ended && l != nil && !l.ended && endedAt.After(l.namedAt):
		change = t.end(r.Runner, endedAt, now, gateway)
	case r.Ended || r.NamedAgo > retention:
		return nil, nil
	case l == nil || l.ended && namedAt.After(l.endedAt) || !l.ended && namedAt.After(l.namedAt):
		change = t.setLimit(r.Runner, r.Statement, namedAt, now, gateway)
	}
	if l = t.limits[r.Runner]; l.ended {
		return change, nil
	}
	if _, known := l.peerCalls[gateway]; !known {
		if t.peerCounts >= maxPeerCounts {
			return change, memory.TooLarge("counts of calls in reports", int64(t.peerCounts)+1, maxPeerCounts)
		}
		t.peerCounts++
	}
	l.countPeerCalls(gateway, callCount{incarnation, r.Sent}, now, t.share(r.Runner, l, now))
	return change, nil
}

// remove removes a limit, which another one may replace. The caller holds the lock.
func (t *Table) remove(runner string) {
	if l := t.limits[runner]; l != nil {
		t.peerCounts -= len(l.peerCalls)
		delete(t.limits, runner)
	}
}

// countPeerCalls takes another gateway's new calls out of the bucket. On the first report of a gateway it
// takes no more than the limit allowed since this gateway learned of the limit.
func (l *limit) countPeerCalls(gateway string, c callCount, now time.Time, fraction float64) {
	l.refill(now, fraction)
	before, known := l.peerCalls[gateway]
	l.peerCalls[gateway] = c
	switch {
	case !known:
		l.consume(min(float64(c.calls), 1+l.rate()*now.Sub(l.learnedAt).Seconds()))
	case before.incarnation != c.incarnation || c.calls < before.calls:
		l.consume(float64(c.calls))
	default:
		l.consume(float64(c.calls - before.calls))
	}
}
