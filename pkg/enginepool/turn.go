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
	at := int(room)/max(1, j.size()) + int(now.Sub(e.fullAt)/p.options.TurnInterval)
	if len(p.peerWaiting) <= at {
		return true
	}
	ahead, own := 0, turnOrder(p.options.Gateway, e.idHash)
	for gateway, n := range p.peerWaiting {
		if n > 0 && turnOrder(gateway, e.idHash) < own {
			ahead++
		}
	}
	return ahead <= at
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
		if p.options.Changed != nil {
			p.options.Changed()
		}
	}
}
