package enginepool

import (
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// Status is the state of a service's engines, for logs and metrics.
type Status struct {
	// Prefill and Decode are the engines that take work, Changing those on their
	// way to another stage.
	Prefill, Decode, Changing int
	// Reserved is the mean share of the decode engines' memory that is reserved.
	Reserved float64
	// Waiting is how many jobs wait at all gateways, Reading the prompt tokens that
	// wait at prefill engines.
	Waiting, Reading int
}

// Status returns the state of the engines.
func (p *Pool) Status(now time.Time) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Status{Waiting: len(p.waiting)}
	for _, n := range p.others {
		s.Waiting += n
	}
	for _, r := range p.directory.Present(p.service, now) {
		_, changing := r.Changing(now)
		switch {
		case changing:
			s.Changing++
		case r.Stage == runners.Prefill:
			s.Prefill++
			s.Reading += p.backlog(r.ID)
		case r.Stage == runners.Decode:
			s.Decode++
			s.Reserved += p.engine(r.ID).used(now, p.rate)
		}
	}
	s.Reserved /= float64(max(1, s.Decode))
	return s
}

// Load returns the tokens of the longest answer that an engine still has to make, or of
// the prompts that wait there: how long it takes until it is empty.
func (p *Pool) Load(runner string, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := float64(p.backlog(runner))
	for _, s := range p.engine(runner).parts(now, p.rate, 0) {
		most = max(most, s.left)
	}
	return most
}

// used returns the share of the memory that is reserved now.
func (e *engine) used(now time.Time, rate float64) float64 {
	sum := 0.0
	for _, p := range e.parts(now, rate, 0) {
		sum += p.now
	}
	return sum / float64(max(1, e.capacity))
}
