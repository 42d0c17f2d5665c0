// Package runnerlimit enforces the rate limits that overloaded runners report in their responses: a number of
// HTTP requests (calls) per second from all gateways together, in force for as long as the responses contain
// it. A response that contains a limit is said to name it. The package does no I/O; callers pass in the time.
//
// A limit is shared by some of the gateways (its users), chosen by rendezvous hashing; the other gateways
// send nothing to the runner. Each user counts the calls of all users in a token bucket: its own at once,
// those of the others when it receives their reports. docs/design/runner-limits.md describes the alternatives
// that were considered.
package runnerlimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is the kind of a call to a runner. A limit named in the response to a call ends when the response to a
// later call of the same kind doesn't name it. The kind must be the same, because responses to other kinds
// may not report limits at all.
type Kind uint8

// The kinds of calls.
const (
	// RunCall is a call that runs a request.
	RunCall Kind = iota + 1
	// PrefillCall is a call that prefills a prompt at the runner.
	PrefillCall
	// OtherCall is any other call that the gateway makes, such as a reservation.
	OtherCall
)

// Statement is what one response of a runner reports of its limit.
type Statement struct {
	Kind Kind
	// SentAt is when the call was sent.
	SentAt time.Time
	// Named is set if the response names a valid limit, which is PerSecond in calls per second. Unreadable is
	// set if the response names an invalid limit.
	Named      bool
	PerSecond  float64
	Unreadable bool
	// FromRunner is set if the response certainly comes from the runner. Otherwise, a response without a limit may
	// have been sent by another server.
	FromRunner bool
	// Calls is the number of calls that one request takes at the runner.
	Calls int
}

// The values of Change.What.
const (
	Begins  = "begins"
	Changes = "changes"
	Ends    = "ends"
	// Unreadable is reported once per runner until the runner names a valid limit.
	Unreadable = "unreadable"
)

// Change is a change of a runner's limit.
type Change struct {
	Runner string
	// What is Begins, Changes, Ends or Unreadable.
	What      string
	PerSecond float64
	// From is the gateway that received the response; empty for this gateway.
	From string
	// For is how long the limit was in force, Sent the number of calls that this gateway made to the runner
	// meanwhile, Withheld how often it did not choose the runner because of the limit. They are set when the
	// limit ends.
	For            time.Duration
	Sent, Withheld uint64
}

const (
	// logChange is the relative change since the last report to Changed above which a limit is reported
	// again.
	logChange = 0.2
	// retention is how long a limit is kept after the last response that named or ended it. The membership
	// list drops a gateway after the same time without messages.
	retention = time.Minute
)

// Table holds the limits of all runners. It is safe for concurrent use.
type Table struct {
	// Changed is called after each change of a limit. ReportsPending is called when reports for other gateways are
	// due: after each change or call that they should learn of. Both are called without locks held. They must
	// be set before the table is used; nil disables them.
	Changed        func(Change)
	ReportsPending func()

	self string
	// nonEmpty is set while there are limits. Most of the time there are none, and methods return without
	// locking.
	nonEmpty atomic.Bool

	mu     sync.Mutex
	limits map[string]*limit
	// unreadable are the runners that name an invalid limit, with the time of the last response that did.
	unreadable map[string]time.Time
	// revision counts the changes and calls that other gateways should learn of.
	revision uint64
	members  members
	// peerCounts is the number of entries in the peerCalls of all limits.
	peerCounts int
}

// New returns a gateway's table without limits. self is the gateway's name.
func New(self string) *Table {
	return &Table{self: self, limits: map[string]*limit{}, unreadable: map[string]time.Time{}, members: newMembers(self)}
}

// Observe records what a response of the runner with the given ID reports of its limit.
func (t *Table) Observe(runner string, s Statement, now time.Time) {
	if !s.Named && !s.Unreadable && !t.nonEmpty.Load() {
		return
	}
	t.mu.Lock()
	change := t.observe(runner, s, now)
	t.mu.Unlock()
	t.notify(change)
}

func (t *Table) observe(runner string, s Statement, now time.Time) *Change {
	l := t.limits[runner]
	switch {
	case s.Unreadable:
		return t.markUnreadable(runner, now)
	case s.Named:
		delete(t.unreadable, runner)
		change := t.setLimit(runner, s, now, now, "")
		t.limits[runner].called = true
		return change
	case l == nil || l.ended || !s.FromRunner || s.Kind != l.kind || !s.SentAt.After(l.namedAt):
		return nil
	}
	return t.end(runner, s.SentAt, now, "")
}

// markUnreadable records that a runner named an invalid limit. The limit that it named before stays in force.
func (t *Table) markUnreadable(runner string, now time.Time) *Change {
	_, known := t.unreadable[runner]
	t.unreadable[runner] = now
	if known {
		return nil
	}
	return &Change{Runner: runner, What: Unreadable}
}

// setLimit records a limit that a response named at the given time. from is the gateway that received the
// response; empty for this gateway.
func (t *Table) setLimit(runner string, s Statement, at, now time.Time, from string) *Change {
	l := t.limits[runner]
	if l == nil || l.ended {
		t.remove(runner)
		l = newLimit(s, at, now)
		l.from = from
		t.limits[runner] = l
		t.nonEmpty.Store(true)
		t.markChanged(l)
		return &Change{Runner: runner, What: Begins, PerSecond: s.PerSecond, From: from}
	}
	l.refill(now, t.share(runner, l, now))
	l.perSecond, l.kind, l.namedAt, l.from = s.PerSecond, s.Kind, at, from
	l.calls = max(l.calls, s.Calls)
	if differ(l.perSecond, l.broadcastRate, broadcastChange) {
		l.broadcastRate = l.perSecond
		t.markChanged(l)
	}
	if !differ(l.perSecond, l.loggedRate, logChange) {
		return nil
	}
	l.loggedRate = l.perSecond
	return &Change{Runner: runner, What: Changes, PerSecond: s.PerSecond, From: from}
}

// end ends a limit as of the time at. That is when the call was sent whose response no longer named the
// limit, or the time of the sweep.
func (t *Table) end(runner string, at, now time.Time, from string) *Change {
	l := t.limits[runner]
	l.ended, l.endedAt = true, at
	t.markChanged(l)
	return &Change{Runner: runner, What: Ends, PerSecond: l.perSecond, From: from, For: now.Sub(l.learnedAt), Sent: l.sent, Withheld: l.withheld}
}

// markChanged records that a limit is to be sent to all gateways.
func (t *Table) markChanged(l *limit) {
	t.revision++
	l.changeRevision = t.revision
}

// Sweep ends and removes the limits that no response has named or ended within the retention time.
func (t *Table) Sweep(now time.Time) {
	var ended []*Change
	t.mu.Lock()
	maps.DeleteFunc(t.unreadable, func(_ string, at time.Time) bool { return now.Sub(at) > retention })
	for runner, l := range t.limits {
		if now.Sub(l.lastUpdated()) <= retention {
			continue
		}
		if !l.ended {
			ended = append(ended, t.end(runner, now, now, ""))
		}
		t.remove(runner)
	}
	t.nonEmpty.Store(len(t.limits) > 0)
	t.mu.Unlock()
	for _, c := range ended {
		t.notify(c)
	}
}

func (t *Table) notify(c *Change) {
	if c == nil {
		return
	}
	if t.Changed != nil {
		t.Changed(*c)
	}
	t.notifyCounted()
}

func (t *Table) notifyCounted() {
	if t.ReportsPending != nil {
		t.ReportsPending()
	}
}

// differ reports whether a limit differs from an earlier one by more than a fraction of the earlier one.
func differ(limit, earlier, fraction float64) bool {
	return max(limit-earlier, earlier-limit) > fraction*earlier
}
