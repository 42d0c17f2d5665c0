package enginepool

import (
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// Status summarizes the engines of a service, for logs and metrics.
type Status struct {
	// Prefill and Decode count the engines in each stage, Changing those in a stage
	// change.
	Prefill, Decode, Changing int
	// Reserved is the mean fraction of the decode engines' memory that is in use now,
	// without what responses are expected to add.
	Reserved float64
	// Waiting is how many jobs wait at all gateways; PrefillTokens is how many prompt tokens
	// wait or are being processed at prefill engines.
	Waiting, PrefillTokens int
	// Slowest and Fastest are the lowest and the highest speed of one response on the decode engines, in
	// tokens per second.
	Slowest, Fastest float64
	// Preempted is the recent number of preempted responses of all gateways.
	Preempted float64
}

// Status returns the current state of the service's engines.
func (p *Pool) Status(now time.Time) Status {
	p.mu.Lock()
	defer p.unlock()
	s := Status{Waiting: len(p.waiting)}
	for _, n := range p.peerWaiting {
		s.Waiting += n
	}
	for _, r := range p.directory.Present(p.service, now) {
		_, changing := r.Changing(now)
		switch {
		case changing:
			s.Changing++
		case r.Stage == runners.Prefill:
			s.Prefill++
			s.PrefillTokens += p.backlog(r.ID)
		case r.Stage == runners.Decode:
			s.Decode++
			e := p.engine(r.ID)
			rate := p.decodeRate(e, now)
			s.Reserved += e.usedShare(now, rate)
			s.Fastest = max(s.Fastest, rate)
			if s.Slowest == 0 || rate < s.Slowest {
				s.Slowest = rate
			}
			s.Preempted += e.speed.preemptions(now)
		}
	}
	s.Reserved /= float64(max(1, s.Decode))
	return s
}

// RemainingWork returns an estimate of the work left on an engine, in tokens: the larger of the
// output tokens left of its longest response and its backlog of prompt tokens. It is
// unrelated to the type Load.
func (p *Pool) RemainingWork(runner string, now time.Time) float64 {
	p.mu.Lock()
	defer p.unlock()
	most, e := float64(p.backlog(runner)), p.engine(runner)
	for _, s := range e.footprints(now, p.decodeRate(e, now)) {
		most = max(most, s.left())
	}
	return most
}

// usedShare returns the fraction of the engine's memory that is in use now.
func (e *engine) usedShare(now time.Time, rate float64) float64 {
	sum := 0.0
	for _, p := range e.footprints(now, rate) {
		sum += p.now
	}
	return sum / float64(max(1, e.capacity))
}
