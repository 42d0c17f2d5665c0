package enginepool

import (
	"hash/fnv"
	"time"
)

// turnInterval is the time that a gateway leaves to each that goes before it on an engine: after it, a
// reservation has been reported.
const turnInterval = 20 * time.Millisecond

// ourTurn reports whether this gateway may use the room that a job finds on an engine now.
//
// If jobs wait at many gateways and room appears on an engine, all see it in the same report. If each
// took it, the engine would get several jobs where one fits. The gateway whose response ended takes
// the room first, before it reports the end. After that the gateways with waiting jobs have turns, in
// an order that differs by engine. One that doesn't take its turn, or has taken it, delays the next by
// turnInterval only: agreement on the order isn't needed, it only makes collisions rare. room is what
// is left of the engine's memory with the job added: as many others may go at the same time as have
// room for a job of the same size. The caller holds the lock.
func (p *Pool) ourTurn(e *engine, j Job, room float64, now time.Time) bool {
	if e.endedAt.Equal(now) {
		return true
	}
	at := int(room)/max(1, j.size()) + int(max(0, now.Sub(e.fullAt))/p.options.TurnInterval)
	if len(p.peerWaiting) <= at {
		return true
	}
	if p.ahead(e) <= at {
		return true
	}
	if e.turnSize == 0 || j.size() < e.turnSize {
		e.turnSize = j.size()
	}
	return false
}

// ahead returns the number of gateways with waiting jobs that use an engine and go before this one. The
// caller holds the lock.
func (p *Pool) ahead(e *engine) int {
	n, own := 0, turnOrder(p.options.Gateway, e.idHash)
	count := func(gateway string, waiting int) {
		if waiting > 0 && turnOrder(gateway, e.idHash) < own {
			n++
		}
	}
	if p.options.GatewaysOf == nil {
		for gateway, waiting := range p.peerWaiting {
			count(gateway, waiting)
		}
		return n
	}
	for _, gateway := range p.options.GatewaysOf(e.id) {
		count(gateway, p.peerWaiting[gateway])
	}
	return n
}

// foundFull records that a job found no room on an engine, and begins the turns anew. A job that is
// larger than one that waits for its turn doesn't until all turns have passed: it would keep the
// smaller one out for as long as it waits itself. The caller holds the lock.
func (p *Pool) foundFull(e *engine, j Job, now time.Time) {
	turns := time.Duration(len(p.peerWaiting)+1) * p.options.TurnInterval
	if e.turnSize > 0 && j.size() > e.turnSize && now.Sub(e.fullAt) <= turns {
		return
	}
	e.fullAt, e.turnSize = now, 0
}

// turnOrder orders the gateways for an engine, given by the hash of its ID: a lower value goes first.
func turnOrder(gateway string, engine uint64) uint64 {
	const prime = 1099511628211 // of FNV-1a
	h := engine
	for i := range len(gateway) {
		h = (h ^ uint64(gateway[i])) * prime
	}
	// The last bytes of the name must change the upper bits, by which most values are ordered.
	h ^= h >> 32
	return h * 0x9e3779b97f4a7c15
}

// placementTime is the time in which the placements of other gateways are counted.
const placementTime = time.Second

// unreported returns the number of jobs that other gateways are expected to have placed, and not yet
// reported. The caller holds the lock.
func (p *Pool) unreported(now time.Time) float64 {
	return p.peerPlaced.value(now) / placementTime.Seconds() * p.options.TurnInterval.Seconds()
}

func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// reportWaiting has the other gateways informed when jobs begin or cease to wait. The caller holds the
// lock.
func (p *Pool) reportWaiting() {
	if waits := len(p.waiting) > 0; waits != p.reportedWaiting {
		p.reportedWaiting = waits
		p.revision++
		p.waitingRevision = p.revision
		p.unreportedChange = true
	}
}
