package quota

import (
	"cmp"
	"slices"
	"time"
)

// fleet is the set of gateways that share the limits.
type fleet struct {
	peers map[string]*peer
	slots slots
	// grace is how long after its last datagram a peer counts as alive.
	grace time.Duration
	// refillTime is a clock, in seconds, that runs at the fraction of the gateways that are alive:
	// each of n gateways adds 1/n of the time for which it was alive. Buckets are refilled by it.
	// advancedAt is when the share of this gateway was last added.
	refillTime float64
	advancedAt time.Time
}

// peer is the state that this gateway keeps for another gateway.
type peer struct {
	name string
	// slot is the peer's place in the totals of all accounts.
	slot        int
	incarnation uint64
	// lastReceived is when the last datagram arrived, zero for never. creditedTo is the time up to
	// which the peer's share was added to refillTime. alive says whether the peer was alive at
	// the last check.
	lastReceived, creditedTo time.Time
	alive                    bool
	// baselineKnown is set once all that the peer has spent is known: the first total that it
	// reports for a workspace is then counted in full.
	baselineKnown bool
}

// lateDivisor sets when a peer begins to count as late: grace/lateDivisor after its last
// datagram. While anything is spent, most datagrams arrive within that time.
const lateDivisor = 4

// defaultGrace applies until the first call of SetMembers.
const defaultGrace = time.Second

func newFleet() fleet { return fleet{peers: map[string]*peer{}, grace: defaultGrace} }

// size returns the number of gateways, including this one.
func (f *fleet) size() int { return len(f.peers) + 1 }

// aliveFraction returns the fraction of the gateways that are alive, including this one.
func (f *fleet) aliveFraction() float64 {
	alive, _ := f.countAlive()
	return float64(alive+1) / float64(f.size())
}

// countAlive returns how many peers are alive, and how many there are.
func (f *fleet) countAlive() (alive, total int) {
	for _, p := range f.peers {
		if p.alive {
			alive++
		}
	}
	return alive, len(f.peers)
}

// spendableFraction returns the fraction of a bucket's level that peers have certainly not spent.
// The share of a late peer is excluded gradually, until the peer times out.
func (f *fleet) spendableFraction(now time.Time) float64 {
	alive, late := 0, 0.0
	for _, p := range f.peers {
		if !p.alive {
			continue
		}
		alive++
		over := now.Sub(p.lastReceived) - f.grace/lateDivisor
		late += max(0, min(1, over.Seconds()/(f.grace-f.grace/lateDivisor).Seconds()))
	}
	return 1 - late/float64(alive+1)
}

// On arrival of a datagram, advance is skipped if it ran less than advanceInterval ago. Datagrams
// come from hundreds of gateways, and advance loops over all of them. Before a request is admitted,
// the refill is always counted.
const advanceInterval = 20 * time.Millisecond

// upToDate reports whether a datagram from a peer needs no call of advance: the peer was alive
// all the time, and advance was called less than advanceInterval ago.
func (f *fleet) upToDate(name string, now time.Time) bool {
	p := f.peers[name]
	return p != nil && p.alive && !now.After(p.lastReceived.Add(f.grace)) && now.Sub(f.advancedAt) < advanceInterval
}

// timedOutPeer is a peer that has timed out, and the fraction of a bucket's level to withhold for
// it.
type timedOutPeer struct {
	name     string
	slot     int
	fraction float64
}

// advance adds the refill shares of this gateway and of the peers that are alive, and returns the
// peers that have timed out. The fractions apply in order: each to the level that remains after the
// amounts for the previous peers were withheld.
func (f *fleet) advance(now time.Time) []timedOutPeer {
	share := 1 / float64(f.size())
	if f.advancedAt.IsZero() {
		f.advancedAt = now
	}
	f.refillTime += share * max(0, now.Sub(f.advancedAt).Seconds())
	f.advancedAt = later(f.advancedAt, now)
	alive, _ := f.countAlive()
	var timedOut []timedOutPeer
	for _, p := range f.peers {
		if !p.alive {
			continue
		}
		aliveUntil := p.lastReceived.Add(f.grace)
		f.credit(p, earlier(now, aliveUntil), share)
		if now.After(aliveUntil) {
			p.alive = false
			timedOut = append(timedOut, timedOutPeer{name: p.name, slot: p.slot})
		}
	}
	slices.SortFunc(timedOut, func(a, b timedOutPeer) int { return cmp.Compare(a.name, b.name) })
	for i := range timedOut {
		timedOut[i].fraction = 1 / float64(alive+1-i)
	}
	return timedOut
}

// resetBaselines marks the spending of all peers as unknown, because there was no account to
// count it in so far.
func (f *fleet) resetBaselines() {
	for _, p := range f.peers {
		p.baselineKnown = false
	}
}

// credit adds a peer's share of the refill up to a time.
func (f *fleet) credit(p *peer, to time.Time, share float64) {
	if p.creditedTo.IsZero() {
		p.creditedTo = to
	}
	if to.After(p.creditedTo) {
		f.refillTime += share * to.Sub(p.creditedTo).Seconds()
		p.creditedTo = to
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
