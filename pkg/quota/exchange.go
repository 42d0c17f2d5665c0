package quota

import (
	"slices"
	"time"
)

// Members sets which other gateways there are, heard of or not, and how long after it was heard
// of one is taken to be there: somewhat more than the time between two datagrams.
func (l *Ledger) Members(names []string, grace time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.fleet.grace = grace
	for _, name := range names {
		l.join(name)
	}
	for name := range l.fleet.others {
		if !slices.Contains(names, name) {
			l.leave(name)
		}
	}
}

// join adds a gateway that is not heard of yet. The caller holds the lock.
func (l *Ledger) join(name string) *gateway {
	g := l.fleet.others[name]
	if g != nil {
		return g
	}
	g = &gateway{name: name}
	l.fleet.others[name] = g
	for _, a := range l.accounts {
		a.refill(l.fleet.credited)
		a.setAside(name, 1/float64(l.fleet.size()), a.level)
		a.level -= a.aside[name]
	}
	return g
}

// leave drops a gateway that is gone for good. What was put aside for it is free again. The
// caller holds the lock.
func (l *Ledger) leave(name string) {
	delete(l.fleet.others, name)
	for _, a := range l.accounts {
		a.release(name)
		delete(a.heard, name)
	}
}

// Heard notes that a gateway told all that it has spent: in this datagram, or in earlier ones
// of which none was lost. Whole says that it names all workspaces that it ever spent for, settled
// that it has seen all spending of a window.
func (l *Ledger) Heard(name string, incarnation uint64, spending []Spending, whole, settled bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.fleet.upToDate(name, now) {
		l.advance(now)
	}
	g := l.join(name)
	if g.incarnation != incarnation {
		l.restarted(g, incarnation, now)
	}
	l.present(g, now)
	for _, s := range spending {
		l.charge(g, s)
		if whole {
			l.adopt(s, settled, now)
		}
	}
	g.counted = g.counted || whole
}

// adopt takes over what another gateway's bucket holds, where this process can't know it by
// itself: all of a gateway that has seen a whole window, the less of both otherwise. The caller
// holds the lock.
func (l *Ledger) adopt(s Spending, settled bool, now time.Time) {
	a := l.accounts[s.Workspace]
	if a == nil || a.adopted || l.settled(now) {
		return
	}
	if own := a.level + a.asideSum(); settled || float64(s.Level) < own {
		l.divide(a, float64(s.Level))
	}
	a.adopted = settled
}

// restarted notes that a gateway's process is not the one that was known. What an earlier one
// spent while it was not heard of will never be told: its part of that time, and what was put
// aside for it, are taken for spent. The caller holds the lock.
func (l *Ledger) restarted(g *gateway, incarnation uint64, now time.Time) {
	known := g.incarnation != 0
	for _, a := range l.accounts {
		delete(a.heard, g.name)
		if known {
			delete(a.aside, g.name)
		}
	}
	if known {
		g.creditedAt = now
	}
	// A process that started while this one ran began with nothing spent.
	g.counted, g.incarnation = known, incarnation
}

// present notes that a gateway is there: what it may have spent meanwhile is told with it, so
// that what was put aside, and its part of the time, belong to all again. The caller holds the
// lock.
func (l *Ledger) present(g *gateway, now time.Time) {
	wasHere := g.present
	g.present, g.heardAt = true, later(g.heardAt, now)
	l.fleet.credit(g, now, 1/float64(l.fleet.size()))
	if wasHere {
		return
	}
	for _, a := range l.accounts {
		a.level += a.aside[g.name] + a.rate*(l.fleet.credited-a.credited)
		a.credited = l.fleet.credited
		delete(a.aside, g.name)
	}
}

// charge counts what another gateway spent. What it had spent before this process knew it is
// left: a bucket at the start of a process holds little for that reason. The caller holds the
// lock.
func (l *Ledger) charge(g *gateway, s Spending) {
	a := l.accounts[s.Workspace]
	if a == nil {
		return
	}
	a.refill(l.fleet.credited)
	before, known := a.heard[g.name]
	a.heard[g.name] = s.Total
	if known || g.counted {
		a.take(float64(s.Total - before))
	}
}

// Limited reports whether any workspace has a limit.
func (l *Ledger) Limited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts) > 0
}

// Revision returns the revision of the newest own spending.
func (l *Ledger) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// Since returns what this gateway spent for the workspaces whose spending changed after a
// revision, the newest first and at most a number of them, and the revision reached.
func (l *Ledger) Since(revision uint64, most int) ([]Spending, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Spending
	for e := l.recent.Front(); e != nil && len(out) < most; e = e.Next() {
		a := e.Value.(*account)
		if a.changed <= revision {
			break
		}
		a.refill(l.fleet.credited)
		out = append(out, Spending{Workspace: a.key, Total: a.spent, Level: int64(a.level + a.asideSum())})
	}
	return out, l.revision
}

// Settled reports whether this process has seen all that was spent in the last window.
func (l *Ledger) Settled(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settled(now)
}

// Pressed reports whether spending after a revision is from a bucket that is less than half
// full: others should hear of it at once.
func (l *Ledger) Pressed(revision uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.recent.Front(); e != nil; e = e.Next() {
		a := e.Value.(*account)
		if a.changed <= revision {
			return false
		}
		if a.level < pressedBelow*a.size {
			return true
		}
	}
	return false
}

// pressedBelow is the part of a bucket below which it is pressed.
const pressedBelow = 0.5
