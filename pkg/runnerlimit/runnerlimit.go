// Package runnerlimit keeps runners in need within the limits that they name: so many requests a
// second from all gateways together, for as long as their answers say so. Nothing here does I/O;
// the time is passed in.
//
// A limit is shared by some of the gateways, chosen by rendezvous hashing; the others leave the
// runner alone. Each of these users counts in a bucket what all of them send: its own calls at once,
// those of the others when it hears of them. docs/design/runner-limits.md has the ways that were
// weighed.
package runnerlimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what a runner was asked for. A limit that answers of one kind name is over when one of the
// same kind doesn't name it any more: others may never have named it.
type Kind uint8

// The kinds of calls.
const (
	// Run is a request to be run.
	Run Kind = iota + 1
	// Read is a prompt to be read.
	Read
	// Own is any other call.
	Own
)

// Statement is what one answer of a runner says of its limit.
type Statement struct {
	Kind Kind
	// Asked is when the call was sent.
	Asked time.Time
	// Named says that the answer names a limit, PerSecond is that. Unreadable says that what it
	// names is none.
	Named      bool
	PerSecond  float64
	Unreadable bool
	// Own says that the answer is surely the runner's: one that names no limit may have been made
	// by another.
	Own bool
	// Calls is how many calls one request takes at the runner.
	Calls int
}

// What happens to a limit.
const (
	Begins  = "begins"
	Changes = "changes"
	Ends    = "ends"
	// Unreadable is told once of a runner until it names one that can be read.
	Unreadable = "unreadable"
)

// Change is what happened to a runner's limit.
type Change struct {
	Runner string
	// What is Begins, Changes, Ends or Unreadable.
	What      string
	PerSecond float64
	// From is the gateway that had the answer; empty for this one.
	From string
	// For is how long the limit was in force, Sent how many calls this gateway made to the runner
	// meanwhile and Withheld how often it did not choose the runner, when it ends.
	For            time.Duration
	Sent, Withheld uint64
}

const (
	// logged is by which part a limit must differ from the one that Changed was told last.
	logged = 0.2
	// remembered is how long a limit is kept that no answer names or ends any more, and one that is
	// over: a gateway that is silent for as long is forgotten too.
	remembered = time.Minute
)

// Table is the limits of all runners. It is safe for concurrent use.
type Table struct {
	// Changed is called, without locks, after a change, Counted after a call that other gateways
	// should hear of. They are set before the table is used; nil for nobody.
	Changed func(Change)
	Counted func()

	self string
	// some is set while there are limits: most of the time there are none.
	some atomic.Bool

	mu     sync.Mutex
	limits map[string]*limit
	// unreadable are the runners whose limits can't be read, by when one said so last.
	unreadable map[string]time.Time
	// revision counts what others should hear of.
	revision uint64
	members  members
}

// New returns a gateway's table, without limits.
func New(self string) *Table {
	return &Table{self: self, limits: map[string]*limit{}, unreadable: map[string]time.Time{}, members: newMembers(self)}
}

// Observe takes what an answer of a runner says, by the runner's ID.
func (t *Table) Observe(runner string, s Statement, now time.Time) {
	if !s.Named && !s.Unreadable && !t.some.Load() {
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
		return t.unread(runner, now)
	case s.Named:
		delete(t.unreadable, runner)
		return t.name(runner, s, now, now, "")
	case l == nil || l.over || !s.Own || s.Kind != l.kind || !s.Asked.After(l.namedAt):
		return nil
	}
	return t.end(runner, s.Asked, now, "")
}

// unread records a limit that can't be read: what is known of the runner's stays.
func (t *Table) unread(runner string, now time.Time) *Change {
	_, known := t.unreadable[runner]
	t.unreadable[runner] = now
	if known {
		return nil
	}
	return &Change{Runner: runner, What: Unreadable}
}

// name takes a limit that an answer named at a time, as a gateway heard it; an empty one is this.
func (t *Table) name(runner string, s Statement, at, now time.Time, from string) *Change {
	l := t.limits[runner]
	if l == nil || l.over {
		l = newLimit(s, at, now)
		l.from = from
		t.limits[runner] = l
		t.some.Store(true)
		t.news(l)
		return &Change{Runner: runner, What: Begins, PerSecond: s.PerSecond, From: from}
	}
	l.fill(now, t.share(runner, l, now))
	l.perSecond, l.kind, l.namedAt, l.from = s.PerSecond, s.Kind, at, from
	l.calls = max(l.calls, s.Calls)
	if differ(l.perSecond, l.spread, spreadChange) {
		l.spread = l.perSecond
		t.news(l)
	}
	if !differ(l.perSecond, l.logged, logged) {
		return nil
	}
	l.logged = l.perSecond
	return &Change{Runner: runner, What: Changes, PerSecond: s.PerSecond, From: from}
}

// end ends a limit by an answer to a call of the time at.
func (t *Table) end(runner string, at, now time.Time, from string) *Change {
	l := t.limits[runner]
	l.over, l.endedAt = true, at
	t.news(l)
	return &Change{Runner: runner, What: Ends, PerSecond: l.perSecond, From: from, For: now.Sub(l.began), Sent: l.sent, Withheld: l.withheld}
}

// news notes that all gateways should hear of a limit.
func (t *Table) news(l *limit) {
	t.revision++
	l.newsAt = t.revision
}

// Sweep forgets limits that nobody spoke of for long.
func (t *Table) Sweep(now time.Time) {
	var ended []*Change
	t.mu.Lock()
	maps.DeleteFunc(t.unreadable, func(_ string, at time.Time) bool { return now.Sub(at) > remembered })
	for runner, l := range t.limits {
		if now.Sub(l.lastUpdated()) <= remembered {
			continue
		}
		if !l.over {
			ended = append(ended, t.end(runner, now, now, ""))
		}
		delete(t.limits, runner)
	}
	t.some.Store(len(t.limits) > 0)
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
	t.counted()
}

func (t *Table) counted() {
	if t.Counted != nil {
		t.Counted()
	}
}

// differ reports whether a limit differs from an earlier one by more than a part of that.
func differ(limit, earlier, part float64) bool {
	return max(limit-earlier, earlier-limit) > part*earlier
}
