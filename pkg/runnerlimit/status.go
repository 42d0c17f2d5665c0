package runnerlimit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Status is the state of a runner's limit at this gateway.
type Status struct {
	Runner    string
	PerSecond float64
	// NamedAgo is the time since a response last named the limit. From is the gateway that received that
	// response; empty for this gateway.
	NamedAgo time.Duration
	From     string
	// Level is the number of calls that are left now. Users is the number of gateways that share the limit,
	// Heard the number of users that are reachable, this gateway included. Own is set if this gateway is one
	// of the users.
	Level        float64
	Users, Heard int
	Own          bool
	// Sent is the number of calls that this gateway made to the runner since it learned of the limit,
	// Withheld how often it did not choose the runner because of the limit.
	Sent, Withheld uint64
}

// String returns the status as the fields of a log line.
func (s Status) String() string {
	return fmt.Sprintf("limit=%g named_ago=%s told_by=%q left=%.1f users=%d heard=%d own=%t sent=%d", s.PerSecond, s.NamedAgo.Round(time.Millisecond), s.From, s.Level, s.Users, s.Heard, s.Own, s.Sent)
}

// Status returns the status of a runner's limit; false if no limit is in force.
func (t *Table) Status(runner string, now time.Time) (Status, bool) {
	if !t.nonEmpty.Load() {
		return Status{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[runner]
	if l == nil || l.ended {
		return Status{}, false
	}
	return t.status(runner, l, now), true
}

// Statuses returns the limits in force, sorted by runner.
func (t *Table) Statuses(now time.Time) []Status {
	if !t.nonEmpty.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for runner, l := range t.limits {
		if !l.ended {
			out = append(out, t.status(runner, l, now))
		}
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Runner, b.Runner) })
	return out
}

func (t *Table) status(runner string, l *limit, now time.Time) Status {
	fraction := t.share(runner, l, now)
	l.refill(now, fraction)
	u := t.usersOf(runner, l)
	return Status{
		Runner: runner, PerSecond: l.perSecond, NamedAgo: now.Sub(l.namedAt), From: l.from, Level: l.level, Users: len(u.names),
		Heard: t.reachableUsers(u, now), Own: u.own, Sent: l.sent, Withheld: l.withheld,
	}
}
