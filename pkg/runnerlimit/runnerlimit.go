// Package runnerlimit keeps runners in need within the limits that they name: so many requests a
// second from all gateways together, for as long as their answers say so. Nothing here does I/O;
// the time is passed in.
package runnerlimit

import (
	"sync"
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
	// Named says that the answer names a limit, PerSecond is that.
	Named     bool
	PerSecond float64
}

// What happens to a limit.
const (
	Begins  = "begins"
	Changes = "changes"
	Ends    = "ends"
)

// Change is what happened to a runner's limit.
type Change struct {
	Runner string
	// What is Begins, Changes or Ends.
	What      string
	PerSecond float64
	// From is the gateway that had the answer; empty for this one.
	From string
	// For is how long the limit was in force, and Sent how many calls this gateway made to the
	// runner meanwhile, when it ends.
	For  time.Duration
	Sent uint64
}

// logged is by which part a limit must differ from the one that was told last to be told again.
const logged = 0.2

// Table is the limits of all runners. It is safe for concurrent use.
type Table struct {
	// Changed is called, without locks, after a change; it is set before the table is used.
	Changed func(Change)

	mu     sync.Mutex
	limits map[string]*limit
}

// limit is that of one start of a runner.
type limit struct {
	perSecond float64
	kind      Kind
	// began is when it was first named, namedAt when it was named last.
	began, namedAt time.Time
	// over is set when an answer did not name it any more.
	over bool
	// sent counts this gateway's calls to the runner since it was first named.
	sent uint64
	// told is what Changed was told last.
	told float64
}

// New returns a table without limits.
func New() *Table { return &Table{limits: map[string]*limit{}} }

// Hear takes what an answer of a runner says, by the runner's ID.
func (t *Table) Hear(runner string, s Statement, now time.Time) {
	t.mu.Lock()
	change := t.hear(runner, s, now)
	t.mu.Unlock()
	t.notify(change)
}

func (t *Table) hear(runner string, s Statement, now time.Time) *Change {
	l := t.limits[runner]
	switch {
	case s.Named:
		return t.name(runner, s, now, "")
	case l == nil || l.over || s.Kind != l.kind || !s.Asked.After(l.namedAt):
		return nil
	}
	return l.end(runner, now, "")
}

// name takes a limit that an answer names, as it was heard by a gateway; an empty one is this.
func (t *Table) name(runner string, s Statement, at time.Time, from string) *Change {
	l := t.limits[runner]
	if l == nil || l.over {
		t.limits[runner] = &limit{perSecond: s.PerSecond, kind: s.Kind, began: at, namedAt: at, told: s.PerSecond}
		return &Change{Runner: runner, What: Begins, PerSecond: s.PerSecond, From: from}
	}
	l.perSecond, l.kind, l.namedAt = s.PerSecond, s.Kind, at
	if abs(l.perSecond-l.told) <= logged*l.told {
		return nil
	}
	l.told = l.perSecond
	return &Change{Runner: runner, What: Changes, PerSecond: s.PerSecond, From: from}
}

// end ends a limit.
func (l *limit) end(runner string, now time.Time, from string) *Change {
	l.over = true
	return &Change{Runner: runner, What: Ends, PerSecond: l.perSecond, From: from, For: now.Sub(l.began), Sent: l.sent}
}

// Sent records a call to a runner.
func (t *Table) Sent(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[runner]; l != nil && !l.over {
		l.sent++
	}
}

func (t *Table) notify(c *Change) {
	if c != nil && t.Changed != nil {
		t.Changed(*c)
	}
}

func abs(x float64) float64 { return max(x, -x) }
