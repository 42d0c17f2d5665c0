package enginepool

import (
	"time"

	"github.com/hopwell/hopwell/pkg/fairness"
)

// Snapshot holds one gateway's reservations and prefills, as reported to other gateways.
type Snapshot struct {
	// Full means that the snapshot holds all engines with load, otherwise only those that
	// changed.
	Full    bool
	Engines []EngineLoad
	// Waiting is how many jobs wait at the reporting gateway.
	Waiting int
	// Classes are the jobs that wait, by class. Uses is what workspaces use, nil if nothing waits.
	Classes []fairness.Waiting
	Uses    []fairness.Use
}

// EngineLoad is the load that one gateway has on one engine.
type EngineLoad struct {
	// Runner is the engine's runner ID.
	Runner string
	Loads  []Load
	// PrefillTokens is the number of prompt tokens that the engine prefills for the gateway.
	PrefillTokens int
}

// Snapshot returns the engines that changed after a revision, and the current revision.
// For revision 0 it returns all engines with load.
func (p *Pool) Snapshot(since uint64) (Snapshot, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	out := Snapshot{Full: since == 0, Waiting: len(p.waiting), Classes: p.waitingClasses(now), Uses: p.reportedUses(now)}
	for id, e := range p.engines {
		load := EngineLoad{Runner: id, PrefillTokens: p.ownPrefillTokens(id)}
		for _, b := range e.own {
			load.Loads = append(load.Loads, Load{Now: b.job.Prompt + b.generated, Left: b.remaining()})
		}
		if out.Full && (len(load.Loads) > 0 || load.PrefillTokens > 0) || !out.Full && e.changedRevision > since {
			out.Engines = append(out.Engines, load)
		}
	}
	return out, p.revision
}

// ReceiveSnapshot applies a report of another gateway. A full one replaces all earlier
// ones, others only what was reported of the engines that they contain.
func (p *Pool) ReceiveSnapshot(gateway string, s Snapshot, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Full {
		p.dropLoads(gateway)
	}
	p.peerWaiting[gateway] = s.Waiting
	p.order.reports.Put(gateway, s.Classes, s.Uses, now)
	reported := p.peerEngines[gateway]
	if reported == nil {
		reported = map[string]*engine{}
		p.peerEngines[gateway] = reported
	}
	for _, l := range s.Engines {
		e := p.engine(l.Runner)
		e.dropGateway(gateway)
		delete(reported, l.Runner)
		if len(l.Loads) > 0 {
			e.peers[gateway] = peerLoads{loads: l.Loads, at: now}
			reported[l.Runner] = e
		}
		if l.PrefillTokens > 0 {
			e.prefillTokens[gateway] = l.PrefillTokens
			reported[l.Runner] = e
		}
	}
}

// dropGateway removes another gateway's reservations and prefills from this engine only.
func (e *engine) dropGateway(gateway string) {
	delete(e.peers, gateway)
	delete(e.prefillTokens, gateway)
}

// DropGateway removes all reports of a gateway that no longer sends any.
func (p *Pool) DropGateway(gateway string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLoads(gateway)
	delete(p.peerWaiting, gateway)
	p.order.reports.Drop(gateway)
}

// dropLoads removes another gateway's reservations and prefills from all engines. The
// caller holds the lock.
func (p *Pool) dropLoads(gateway string) {
	for _, e := range p.peerEngines[gateway] {
		e.dropGateway(gateway)
	}
	delete(p.peerEngines, gateway)
}

// recordChange records a change of this gateway's own reservations or prefills on an
// engine. The caller holds the lock.
func (p *Pool) recordChange(e *engine) {
	p.revision++
	e.changedRevision = p.revision
	if p.options.Changed != nil {
		p.options.Changed()
	}
}
