package enginepool

import (
	"time"

	"github.com/hopwell/hopwell/pkg/memory"
)

// Snapshot holds one gateway's reservations and prefills, as reported to other gateways.
type Snapshot struct {
	// Full means that the snapshot holds all engines with load, otherwise only those that
	// changed.
	Full    bool
	Engines []EngineLoad
	// Waiting is how many jobs wait at the reporting gateway.
	Waiting int
	// WaitingChanged means that jobs began or ceased to wait since the last snapshot. It isn't sent.
	WaitingChanged bool
	// Promised is how many refused clients the reporting gateway told to come back, by slots of
	// forecast.SlotLength, the first of which began PromisedAge ago. It is empty if there are none
	// or if they are unknown.
	Promised    []int
	PromisedAge time.Duration
}

// EngineLoad is the load that one gateway has on one engine.
type EngineLoad struct {
	// Runner is the engine's runner ID.
	Runner string
	Loads  []Load
	// PrefillTokens is the number of prompt tokens that the engine prefills for the gateway.
	PrefillTokens int
	// Speed is the decode speed of one response that the gateway measured, in tokens per second,
	// and SpeedAge how long ago; 0 is unknown. PrefillSpeed is the measured speed of prefill.
	Speed        float64
	SpeedAge     time.Duration
	PrefillSpeed float64
	// Preempted is the recent number of the gateway's responses that the engine preempted.
	Preempted float64
}

// Snapshot returns the engines that changed after a revision, and the current revision.
// For revision 0 it returns all engines with load.
func (p *Pool) Snapshot(since uint64, now time.Time) (Snapshot, uint64) {
	p.mu.Lock()
	defer p.unlock()
	out := Snapshot{Full: since == 0, Waiting: len(p.waiting), WaitingChanged: p.waitingRevision > since}
	for _, e := range p.engines.values {
		load := EngineLoad{Runner: e.id, PrefillTokens: p.ownPrefillTokens(e.id)}
		for _, b := range e.own.values {
			load.Loads = append(load.Loads, Load{Now: b.job.Prompt + b.generated, Left: b.remaining(), Generated: b.generated})
		}
		if out.Full && (len(load.Loads) > 0 || load.PrefillTokens > 0) || !out.Full && e.changedRevision > since {
			p.addSpeed(&load, e, now)
			out.Engines = append(out.Engines, load)
		}
	}
	return out, p.revision
}

// addSpeed adds what this gateway measured lately of an engine to its report. What others reported
// is left out: it would seem to be measured again. The caller holds the lock.
func (p *Pool) addSpeed(load *EngineLoad, e *engine, now time.Time) {
	if own := e.speed.own; own.perToken > 0 && now.Sub(own.at) < steadyTime {
		load.Speed, load.SpeedAge = 1/own.perToken, max(0, now.Sub(own.at))
	}
	load.Preempted = e.speed.preempted.value(now)
	if r := p.prefillRunners.get(e.id); r != nil && !r.measuredAt.IsZero() && now.Sub(r.measuredAt) < steadyTime {
		load.PrefillSpeed = r.measured
	}
}

// maxReported bounds the preemptions that one gateway reports of an engine: no report keeps the margin
// wide for long.
const maxReported = 16

// receiveSpeed learns from what another gateway measured of an engine. The caller holds the lock.
func (p *Pool) receiveSpeed(gateway string, e *engine, l EngineLoad, now time.Time) {
	e.speed.receive(l.Speed, now.Add(-l.SpeedAge))
	if l.Preempted > 0 && p.directory.Find(e.id) != nil {
		e.speed.receivePreempted(gateway, decayed{min(l.Preempted, maxReported), now, preemptionTime})
	}
	if l.PrefillSpeed > 0 {
		p.prefillRunner(e.id).learn(l.PrefillSpeed)
	}
}

const (
	// maxEngines bounds the engines of a pool that are known from other gateways' reports, which may
	// come before the engine's entry.
	maxEngines = 4096
	// maxPeerReports bounds the pairs of an engine and a gateway that reports load on it: twice as many as
	// in the largest fleet, where each engine is used by a few gateways.
	maxPeerReports = 1 << 15
	// maxPeerLoads bounds the reservations of all other gateways in a pool: two and a half times the
	// requests that the largest fleet runs at its peak.
	maxPeerLoads = 1 << 16
)

// admit returns the part of a reported load that fits the bounds of the pool, and an error for the rest. The
// caller holds the lock.
func (p *Pool) admit(l EngineLoad) (admitted EngineLoad, fits bool, err error) {
	if p.engines.get(l.Runner) == nil && p.engines.len() >= maxEngines {
		return l, false, memory.TooLarge("engines in reports", int64(p.engines.len())+1, maxEngines)
	}
	if l.isLoaded() && p.peerReports >= maxPeerReports {
		return l, false, memory.TooLarge("reports of engines", int64(p.peerReports)+1, maxPeerReports)
	}
	if all := p.peerLoads + len(l.Loads); all > maxPeerLoads {
		err = memory.TooLarge("reservations in reports", int64(all), maxPeerLoads)
		l.Loads = l.Loads[:max(0, maxPeerLoads-p.peerLoads)]
	}
	return l, true, err
}

// isLoaded reports whether there are reservations or prefills.
func (l *EngineLoad) isLoaded() bool { return len(l.Loads) > 0 || l.PrefillTokens > 0 }

// ReceiveSnapshot applies a report of another gateway. A full one replaces all earlier
// ones, others only what was reported of the engines that they contain. It fails with
// *memory.ErrTooLarge if a part of the report was ignored.
func (p *Pool) ReceiveSnapshot(gateway string, s Snapshot, now time.Time) error {
	p.mu.Lock()
	defer p.unlock()
	if s.Full {
		p.dropLoads(gateway)
	}
	p.peerWaiting[gateway] = s.Waiting
	if p.peerEngines[gateway] == nil {
		p.peerEngines[gateway] = map[string]*engine{}
	}
	spread := p.Lengths.Spread()
	var ignored error
	for _, l := range s.Engines {
		placed, err := p.receiveLoad(gateway, l, spread, now)
		if err != nil {
			ignored = err
		}
		if placed > 0 && !s.Full {
			p.peerPlaced = decayed{p.peerPlaced.value(now) + float64(placed), now, placementTime}
		}
	}
	return ignored
}

// receiveLoad replaces what another gateway reported of an engine. It returns the number of reservations that
// were added, and an error for what exceeds a bound. The caller holds the lock.
func (p *Pool) receiveLoad(gateway string, l EngineLoad, spread float64, now time.Time) (placed int, err error) {
	before := 0
	if e := p.engines.get(l.Runner); e != nil {
		before = len(e.peers.get(gateway).loads)
		p.dropLoad(gateway, e)
	}
	l, fits, err := p.admit(l)
	if !fits {
		return 0, err
	}
	e := p.engine(l.Runner)
	p.receiveSpeed(gateway, e, l, now)
	if l.isLoaded() {
		p.peerEngines[gateway][l.Runner] = e
		p.peerReports++
	}
	if len(l.Loads) > 0 {
		e.peers.set(gateway, peerLoads{loads: peerLoadsOf(l.Loads, spread), at: now})
		p.peerLoads += len(l.Loads)
	}
	if l.PrefillTokens > 0 {
		e.prefillTokens[gateway] = l.PrefillTokens
	}
	e.changed()
	return len(l.Loads) - before, err
}

// peerLoadsOf adds the estimates of lengths to reported loads.
func peerLoadsOf(loads []Load, spread float64) []peerLoad {
	out := make([]peerLoad, 0, len(loads))
	for _, l := range loads {
		length := estimateFrom(float64(l.Generated), float64(l.Generated+l.Left), spread)
		out = append(out, peerLoad{l, length, length.longest(float64(l.Generated))})
	}
	return out
}

// dropLoad removes another gateway's reservations and prefills from one engine. The caller holds the lock.
func (p *Pool) dropLoad(gateway string, e *engine) {
	if p.peerEngines[gateway][e.id] == nil {
		return
	}
	p.peerReports--
	p.peerLoads -= len(e.peers.get(gateway).loads)
	delete(p.peerEngines[gateway], e.id)
	e.peers.remove(gateway)
	delete(e.prefillTokens, gateway)
	e.changed()
}

// DropGateway removes all reports of a gateway that no longer sends any.
func (p *Pool) DropGateway(gateway string) {
	p.mu.Lock()
	defer p.unlock()
	p.dropLoads(gateway)
	delete(p.peerWaiting, gateway)
}

// dropLoads removes another gateway's reservations and prefills from all engines. The
// caller holds the lock.
func (p *Pool) dropLoads(gateway string) {
	for _, e := range p.peerEngines[gateway] {
		p.dropLoad(gateway, e)
	}
	delete(p.peerEngines, gateway)
}

// recordChange records a change of this gateway's own reservations or prefills on an
// engine. The caller holds the lock.
func (p *Pool) recordChange(e *engine) {
	p.revision++
	e.changed()
	e.changedRevision = p.revision
	p.unreportedChange = true
}
