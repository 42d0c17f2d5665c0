package enginepool

import "time"

// Snapshot is one gateway's reservations and prefills, as it reports them to others.
type Snapshot struct {
	// Full says that the snapshot holds all engines; others hold those that changed.
	Full    bool
	Engines []EngineLoad
	// Waiting is how many jobs wait there.
	Waiting int
}

// EngineLoad is what one gateway has on one engine.
type EngineLoad struct {
	// Runner is the engine's ID.
	Runner string
	Loads  []Load
	// Reading is the prompt tokens that it computes for the gateway.
	Reading int
}

// Snapshot returns what changed after a revision, everything for 0, and the revision
// that it reaches.
func (p *Pool) Snapshot(since uint64) (Snapshot, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := Snapshot{Full: since == 0, Waiting: len(p.waiting)}
	for id, e := range p.engines {
		load := EngineLoad{Runner: id, Reading: p.ownReading(id)}
		for _, b := range e.own {
			load.Loads = append(load.Loads, Load{Now: b.job.Prompt + b.made, Left: b.remaining()})
		}
		if out.Full && (len(load.Loads) > 0 || load.Reading > 0) || !out.Full && e.changed > since {
			out.Engines = append(out.Engines, load)
		}
	}
	return out, p.revision
}

// ReceiveSnapshot takes over what another gateway reported.
func (p *Pool) ReceiveSnapshot(gateway string, s Snapshot, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Full {
		p.clear(gateway)
	}
	p.others[gateway] = s.Waiting
	reported := p.reported[gateway]
	if reported == nil {
		reported = map[string]*engine{}
		p.reported[gateway] = reported
	}
	for _, l := range s.Engines {
		e := p.engine(l.Runner)
		e.forget(gateway)
		delete(reported, l.Runner)
		if len(l.Loads) > 0 {
			e.others[gateway] = peerLoads{loads: l.Loads, at: now}
			reported[l.Runner] = e
		}
		if l.Reading > 0 {
			e.reading[gateway] = l.Reading
			reported[l.Runner] = e
		}
	}
}

// forget drops what another gateway has on the engine.
func (e *engine) forget(gateway string) {
	delete(e.others, gateway)
	delete(e.reading, gateway)
}

// DropGateway drops the reservations of a gateway that has fallen silent.
func (p *Pool) DropGateway(gateway string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clear(gateway)
	delete(p.others, gateway)
}

// clear drops the reservations of another gateway. The caller holds the lock.
func (p *Pool) clear(gateway string) {
	for _, e := range p.reported[gateway] {
		e.forget(gateway)
	}
	delete(p.reported, gateway)
}

// change records that own reservations or prefills at an engine changed. The caller
// holds the lock.
func (p *Pool) change(e *engine) {
	p.revision++
	e.changed = p.revision
	if p.options.Changed != nil {
		p.options.Changed()
	}
}
