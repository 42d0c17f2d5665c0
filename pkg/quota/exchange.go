package quota

import (
	"slices"
	"time"
)

// SetMembers sets the names of all peers, alive or not, and the grace period: how long after its
// last datagram a peer counts as alive. It should be somewhat longer than the interval between
// two datagrams.
func (l *Ledger) SetMembers(names []string, grace time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.fleet.grace = grace
	for _, name := range names {
		l.addPeer(name)
	}
	for name := range l.fleet.peers {
		if !slices.Contains(names, name) {
			l.removePeer(name)
		}
	}
}

// addPeer adds a peer if it is new, as not alive, and returns the peer with the name. The caller
// must hold l.mu.
func (l *Ledger) addPeer(name string) *peer {
	p := l.fleet.peers[name]
	if p != nil {
		return p
	}
	p = &peer{name: name, slot: l.fleet.slots.take()}
	l.fleet.peers[name] = p
	for _, a := range l.accounts {
		a.refill(l.fleet.refillTime)
		a.withhold(p.slot, 1/float64(l.fleet.size()), a.level)
		a.level -= a.withheld.get(p.slot)
	}
	return p
}

// removePeer removes a peer for good. The amounts withheld for it become available again. The
// caller must hold l.mu.
func (l *Ledger) removePeer(name string) {
	slot := l.fleet.peers[name].slot
	delete(l.fleet.peers, name)
	for _, a := range l.accounts {
		a.release(slot)
		a.reported.forget(slot)
	}
	l.fleet.slots.release(slot)
}

// ReceiveSpending records the spending that a peer reported in a datagram. The caller passes full reports,
// and others only if no earlier datagram of the peer was lost since a full one. full means that the
// report names every workspace that the peer ever spent for. settled means that the peer has seen
// all spending of a window.
func (l *Ledger) ReceiveSpending(name string, incarnation uint64, spending []Spending, full, settled bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.fleet.upToDate(name, now) {
		l.advance(now)
	}
	p := l.addPeer(name)
	if p.incarnation != incarnation {
		l.handleRestart(p, incarnation, now)
	}
	l.markAlive(p, now)
	for _, s := range spending {
		l.charge(p, s)
		if full {
			l.adopt(s, settled, now)
		}
	}
	p.baselineKnown = p.baselineKnown || full
}

// adopt takes over the level of a peer's bucket while this process has not yet seen a whole
// window itself. The level of a settled peer always replaces the local level, that of any other
// peer only if it is lower. The caller must hold l.mu.
func (l *Ledger) adopt(s Spending, settled bool, now time.Time) {
	a := l.accounts[s.Workspace]
	if a == nil || a.adopted || l.settled(now) {
		return
	}
	if own := a.level + a.withheld.sum(); settled || float64(s.Level) < own {
		l.setLevel(a, float64(s.Level))
	}
	a.adopted = settled
}

// handleRestart resets the state of a peer whose incarnation is new. An incarnation of 0 means that
// nothing was received from the peer before, so that it did not restart. After a restart, what an
// earlier process of the peer spent while this gateway received nothing from it will never be
// reported. Its share of the refill for that time and the amounts withheld for it therefore count
// as spent. The caller must hold l.mu.
func (l *Ledger) handleRestart(p *peer, incarnation uint64, now time.Time) {
	restarted := p.incarnation != 0
	for _, a := range l.accounts {
		a.reported.forget(p.slot)
		if restarted {
			a.withheld.set(p.slot, 0)
		}
	}
	if restarted {
		p.creditedTo = now
	}
	// A process that started while this one was running began with nothing spent.
	p.baselineKnown, p.incarnation = restarted, incarnation
}

// markAlive records that a datagram from a peer arrived. The datagram reports what the peer spent
// in the meantime, so the amounts withheld for it and its share of the refill become available to
// all gateways again. The caller must hold l.mu.
func (l *Ledger) markAlive(p *peer, now time.Time) {
	wasAlive := p.alive
	p.alive, p.lastReceived = true, later(p.lastReceived, now)
	l.fleet.credit(p, now, 1/float64(l.fleet.size()))
	if wasAlive {
		return
	}
	for _, a := range l.accounts {
		a.level += a.withheld.get(p.slot) + a.refillRate*(l.fleet.refillTime-a.refilledTo)
		a.refilledTo = l.fleet.refillTime
		a.withheld.set(p.slot, 0)
	}
}

// charge counts what a peer has spent since its last report. What the peer spent before this
// process received its first report is not counted; for that reason a bucket holds little when a
// process starts. The caller must hold l.mu.
func (l *Ledger) charge(p *peer, s Spending) {
	a := l.accounts[s.Workspace]
	if a == nil {
		return
	}
	a.refill(l.fleet.refillTime)
	previous, found := a.reported.get(p.slot)
	a.reported.set(p.slot, s.Total)
	if found || p.baselineKnown {
		a.take(float64(s.Total - previous))
	}
}

// Limited reports whether any workspace has a limit.
func (l *Ledger) Limited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts) > 0
}

// Revision returns the revision of this gateway's latest spending.
func (l *Ledger) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// SpendingSince returns this gateway's spending for the workspaces whose spending changed after a
// revision, the latest first and at most maxEntries of them, and the current revision.
func (l *Ledger) SpendingSince(revision uint64, maxEntries int) ([]Spending, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Spending
	for e := l.recent.Front(); e != nil && len(out) < maxEntries; e = e.Next() {
		a := e.Value.(*account)
		if a.lastRevision <= revision {
			break
		}
		a.refill(l.fleet.refillTime)
		out = append(out, Spending{Workspace: a.key, Total: a.spent, Level: int64(a.level + a.withheld.sum())})
	}
	return out, l.revision
}

// Settled reports whether this process has seen all spending of the last window.
func (l *Ledger) Settled(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settled(now)
}

// RunningLow reports whether this gateway spent, after a revision, from a bucket that is less than
// half full. Peers should receive such spending at once.
func (l *Ledger) RunningLow(revision uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.recent.Front(); e != nil; e = e.Next() {
		a := e.Value.(*account)
		if a.lastRevision <= revision {
			return false
		}
		if a.level < lowLevel*a.size {
			return true
		}
	}
	return false
}

// lowLevel is the level, as a fraction of the bucket's size, below which RunningLow returns true.
const lowLevel = 0.5
