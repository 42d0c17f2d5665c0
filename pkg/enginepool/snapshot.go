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
	for _, l := range s.Engines {
		e := p.engine(l.Runner)
		delete(e.others, gateway)
		delete(e.reading, gateway)
		if len(l.Loads) > 0 {
			e.others[gateway] = peerLoads{loads: l.Loads, at: now}
		}
		if l.Reading > 0 {
			e.reading[gateway] = l.Reading
		}
	}
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
	for _, e := range p.engines {
		delete(e.others, gateway)
		delete(e.reading, gateway)
	}
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
