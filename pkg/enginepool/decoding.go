package enginepool

import "time"

// Decoding describes the work of a decode engine, and how fast it does it.
type Decoding struct {
	// Running is the number of responses of all gateways there, without that of one job.
	Running int
	// Speed is the learned speed of the engine, or the mean of the service.
	Speed Speed
	// Known reports whether the decode speed was measured on the engine.
	Known bool
	// Waiting is how many jobs wait for room at all gateways.
	Waiting int
}

// Decoding returns the work of a decode engine, without the job that was just placed there.
func (p *Pool) Decoding(runner string, now time.Time) Decoding {
	p.mu.Lock()
	defer p.unlock()
	e := p.engine(runner)
	out := Decoding{
		Running: max(0, e.reservationCount()-1),
		Speed:   Speed{Decode: p.decodeRate(e, now), Prefill: p.prefillRate(runner)},
		Known:   e.speed.rate(now) > 0,
		Waiting: len(p.waiting),
	}
	for _, n := range p.peerWaiting {
		out.Waiting += n
	}
	return out
}
