package runnerlimit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Status is what this gateway knows of a runner's limit.
type Status struct {
	Runner    string
	PerSecond float64
	// NamedAgo is how long ago it was named last, From by whose answer: another gateway's, or
	// this one's for an empty one.
	NamedAgo time.Duration
	From     string
	// Level is how many calls are left now. Users are the gateways that share the limit, of which
	// Heard were heard of lately; Own says that this one is among them.
	Level        float64
	Users, Heard int
	Own          bool
	// Sent is how many calls this gateway made to the runner, Withheld how often it did not choose
	// it, since it learned of the limit.
	Sent, Withheld uint64
}

// String returns the status as fields of a line.
func (s Status) String() string {
	return fmt.Sprintf("limit=%g named_ago=%s told_by=%q left=%.1f users=%d heard=%d own=%t sent=%d", s.PerSecond, s.NamedAgo.Round(time.Millisecond), s.From, s.Level, s.Users, s.Heard, s.Own, s.Sent)
}

// Of returns the limit of a runner, false for none.
func (t *Table) Of(runner string, now time.Time) (Status, bool) {
	if !t.some.Load() {
		return Status{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[runner]
	if l == nil || l.over {
		return Status{}, false
	}
	return t.status(runner, l, now), true
}

// All returns the limits in force by runner.
func (t *Table) All(now time.Time) []Status {
	if !t.some.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for runner, l := range t.limits {
		if !l.over {
			out = append(out, t.status(runner, l, now))
		}
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Runner, b.Runner) })
	return out
}

func (t *Table) status(runner string, l *limit, now time.Time) Status {
	part := t.share(runner, l, now)
	l.fill(now, part)
	u := t.usersOf(runner, l)
	return Status{
		Runner: runner, PerSecond: l.perSecond, NamedAgo: now.Sub(l.namedAt), From: l.from, Level: l.level, Users: len(u.names),
		Heard: t.heardUsers(u, now), Own: u.own, Sent: l.sent, Withheld: l.withheld,
	}
}
