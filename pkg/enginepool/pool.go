// Package enginepool decides where the generations of a service run: it reserves
// memory on decode runners before a prompt is read, orders what waits for it,
// and picks the prefill runner. It does no I/O; a reservation is confirmed by the
// caller with a reservation at the runner itself.
package enginepool

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// Spec is what all engines of a service have in common.
type Spec struct {
	// Memory is an engine's KV cache, in tokens, Slots its largest batch.
	Memory, Slots int
}

// Options are a pool's settings.
type Options struct {
	// Fill is the part of the memory that is reserved.
	Fill float64
	// Refused is how long a runner that refused a reservation is skipped.
	Refused time.Duration
	// Domain is the gateway's failure domain, empty for none.
	Domain string
	// Pick returns a random number from 0 to n-1; nil takes math/rand's.
	Pick func(n int) int
}

// DefaultOptions are those that were measured best; docs/POLICY.md.
func DefaultOptions() Options {
	return Options{Fill: 0.98, Refused: 60 * time.Millisecond}
}

// Pool is the engines of one service as this gateway sees them.
type Pool struct {
	service   string
	directory *runners.Directory
	options   Options

	mu      sync.Mutex
	spec    Spec
	engines map[string]*engine
	readers map[string]*reader
	waiting []*Waiter
	serial  uint64
	// others are the loads of other gateways, by gateway.
	others map[string]Snapshot
	// Lengths learns from the answers.
	Lengths *Lengths
}

// Snapshot is a gateway's reservations, as it reports them to the others.
type Snapshot struct {
	Loads []Load
	// Reading is the tokens that it has under way at prefill runners, by runner.
	Reading map[string]int
	// Waiting is how many jobs wait there.
	Waiting int
	At      time.Time
}

// peerAge is how long the snapshot of another gateway is used.
const peerAge = 1500 * time.Millisecond

// New returns an empty pool of a service.
func New(service string, d *runners.Directory, o Options) *Pool {
	if o.Pick == nil {
		o.Pick = rand.IntN
	}
	return &Pool{service: service, directory: d, options: o, engines: map[string]*engine{}, readers: map[string]*reader{}, others: map[string]Snapshot{}, Lengths: NewLengths()}
}

// Configure sets what the engines have in common.
func (p *Pool) Configure(s Spec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spec = s
	for _, e := range p.engines {
		e.capacity, e.slots = p.capacity(), s.Slots
	}
}

func (p *Pool) capacity() int { return int(p.options.Fill * float64(p.spec.Memory)) }

// ErrNoRunner says that no runner of a stage is known to take work.
type ErrNoRunner struct {
	Service string
	Stage   runners.Stage
}

// Error implements error.
func (e *ErrNoRunner) Error() string {
	return fmt.Sprintf("no runner: service=%s stage=%s", e.Service, e.Stage)
}

// engine returns the model of a runner. The caller holds the lock.
func (p *Pool) engine(id string) *engine {
	e := p.engines[id]
	if e == nil {
		e = &engine{id: id, capacity: p.capacity(), slots: p.spec.Slots, own: map[string]*reservation{}, others: map[string][]Load{}}
		p.engines[id] = e
	}
	return e
}

// place reserves memory for a job on the runner that it prefers, or else on the decode
// runner with the most room of those that are compared (see pick); nil for none. The
// caller holds the lock.
func (p *Pool) place(w *Waiter, now time.Time) *runners.State {
	fit := p.fitting(w.job, w.avoid, now)
	if len(fit) == 0 {
		return nil
	}
	best := named(fit, w.prefer)
	if best == nil {
		best = p.pick(fit, decodeSampling)
	}
	p.engine(best.ID).own[w.job.ID] = &reservation{job: w.job}
	return best
}

// named returns the candidate with an ID, nil if it is not among them.
func named(list []candidate, id string) *runners.State {
	for _, c := range list {
		if c.runner.ID == id {
			return c.runner
		}
	}
	return nil
}

// fitting returns the runners with room for a job; their merit is that room, in
// tokens, less where the runner fails requests. The caller holds the lock.
func (p *Pool) fitting(j Job, avoid map[string]bool, now time.Time) []candidate {
	var out []candidate
	for _, s := range runners.Healthy(p.directory.Usable(p.service, runners.Decode, now), now) {
		e := p.engine(s.ID)
		if avoid[s.ID] || now.Before(e.refusedUntil) {
			continue
		}
		if room := e.room(j); room >= 0 {
			merit := room - failureCost*s.Failures(now)*float64(e.capacity)
			if s.Domain == p.options.Domain {
				merit += sameDomainBonus * float64(e.capacity)
			}
			out = append(out, candidate{s, merit})
		}
	}
	return out
}

// failureCost is the part of its memory by which a runner that fails all
// requests ranks below another; measured, docs/POLICY.md.
const failureCost = 3

// sameDomainBonus is the part of its memory by which a runner in the gateway's failure
// domain ranks above another: its answers cross no domain.
const sameDomainBonus = 0.1

// Refused takes a reservation back because the runner had no room after all, and
// skips the runner for a moment.
func (p *Pool) Refused(runner, id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engine(runner)
	delete(e.own, id)
	e.refusedUntil = now.Add(p.options.Refused)
}

// Made records that an answer has so many tokens now.
func (p *Pool) Made(runner, id string, tokens int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.engine(runner).own[id]
	if b == nil {
		return
	}
	if b.begun.IsZero() {
		b.begun = now
	}
	b.made = tokens
}

// End takes a reservation back: the generation is over.
func (p *Pool) End(runner, id string, now time.Time) {
	p.mu.Lock()
	e := p.engine(runner)
	delete(e.own, id)
	p.mu.Unlock()
	p.Dispatch(now)
}

// ReceiveSnapshot takes over what another gateway reported.
func (p *Pool) ReceiveSnapshot(gateway string, snapshot Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others[gateway] = snapshot
	p.spread(gateway, snapshot.Loads)
}

// spread puts a gateway's loads into the models. The caller holds the lock.
func (p *Pool) spread(gateway string, loads []Load) {
	for _, e := range p.engines {
		delete(e.others, gateway)
	}
	for _, l := range loads {
		e := p.engine(l.Runner)
		e.others[gateway] = append(e.others[gateway], l)
	}
}

// Sweep drops snapshots that are too old, and runners that are gone.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for gateway, snapshot := range p.others {
		if now.Sub(snapshot.At) > peerAge {
			p.spread(gateway, nil)
			delete(p.others, gateway)
		}
	}
	known := map[string]bool{}
	for _, s := range p.directory.All(p.service) {
		known[s.ID] = true
	}
	for id, e := range p.engines {
		if !known[id] && len(e.own) == 0 && len(e.others) == 0 {
			delete(p.engines, id)
		}
	}
	for id, r := range p.readers {
		if !known[id] && len(r.jobs) == 0 {
			delete(p.readers, id)
		}
	}
}

// Snapshot returns this gateway's reservations for the other gateways.
func (p *Pool) Snapshot(now time.Time) Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := Snapshot{Reading: map[string]int{}, Waiting: len(p.waiting), At: now}
	for id, e := range p.engines {
		for _, b := range e.own {
			out.Loads = append(out.Loads, Load{Runner: id, Now: b.job.Prompt + b.made, Left: b.remaining()})
		}
	}
	for id, r := range p.readers {
		if n := r.backlog(); n > 0 {
			out.Reading[id] = n
		}
	}
	return out
}
