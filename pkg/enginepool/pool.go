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
	// Deviations is for how many standard deviations of what answers will still take room is
	// kept; see engine.room.
	Deviations float64
	// Refused is how long a runner that refused a reservation is skipped.
	Refused time.Duration
	// Uses reports whether this gateway uses a runner, where gateways share them out
	// among themselves; nil for all.
	Uses func(runner string) bool
	// Changed is called, with the pool locked, after a change that other gateways
	// should learn of at once; nil for none.
	Changed func()
	// Domain is the gateway's failure domain, empty for none.
	Domain string
	// Connected reports whether a connection to an address is idle; nil for no matter.
	Connected func(address string) bool
	// Pick returns a random number from 0 to n-1; nil takes math/rand's.
	Pick func(n int) int
}

// DefaultOptions are those of a gateway.
func DefaultOptions() Options {
	return Options{Fill: 0.98, Deviations: keptDeviations, Refused: 60 * time.Millisecond}
}

// keptDeviations is Options.Deviations: without it engines put requests back, and read long prompts anew;
// with more, places stay empty.
const keptDeviations = 2

// Pool is the engines of one service as this gateway sees them.
type Pool struct {
	service   string
	directory *runners.Directory
	options   Options

	mu      sync.Mutex
	spec    Spec
	engines map[string]*engine
	readers map[string]*reader
	shares  map[runners.Stage]share
	waiting []*Waiter
	serial  uint64
	// others are the gateways that reported, with the jobs that wait there.
	others map[string]int
	// reported are the engines that each of them has something on: of thousands a gateway
	// uses few, and all that it reported is replaced every few seconds.
	reported map[string]map[string]*engine
	// revision counts the changes of own reservations and prefills.
	revision uint64
	// rate is the tokens a second of one answer; learned.
	rate float64
	// Lengths learns from the answers.
	Lengths *Lengths
	// demand learns what they cost.
	demand demand
}

// New returns an empty pool of a service.
func New(service string, d *runners.Directory, o Options) *Pool {
	if o.Pick == nil {
		o.Pick = rand.IntN
	}
	return &Pool{service: service, directory: d, options: o, engines: map[string]*engine{}, readers: map[string]*reader{}, shares: map[runners.Stage]share{}, others: map[string]int{}, reported: map[string]map[string]*engine{}, rate: firstRate, Lengths: NewLengths()}
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

// ErrNoRunner reports that no runner of a stage is known to take work.
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
		e = &engine{id: id, capacity: p.capacity(), slots: p.spec.Slots, own: map[string]*reservation{}, others: map[string]peerLoads{}, reading: map[string]int{}}
		p.engines[id] = e
	}
	return e
}

// place reserves memory for a job on the runner that it prefers, or else on the decode
// runner with the most room of those that are compared; nil for none. The caller holds
// the lock.
func (p *Pool) place(w *Waiter, now time.Time) *runners.State {
	runner := p.preferred(w, now)
	if runner == nil {
		fit := p.fitting(w, now)
		if len(fit) == 0 {
			return nil
		}
		runner = best(fit)
	}
	if !runner.Claim(w.job.ID, now) {
		return nil
	}
	e := p.engine(runner.ID)
	e.own[w.job.ID] = &reservation{job: w.job}
	p.change(e)
	return runner
}

// preferred returns the runner that a job prefers, nil if it has no room. The caller
// holds the lock.
func (p *Pool) preferred(w *Waiter, now time.Time) *runners.State {
	if w.prefer == "" {
		return nil
	}
	s := p.directory.Find(w.prefer)
	if s == nil || s.Stage != runners.Decode || !s.Usable(now) || s.Resting(now) {
		return nil
	}
	if _, fits := p.merit(s, w, now); !fits {
		return nil
	}
	return s
}

// fitting returns runners with room for a job. The caller holds the lock.
func (p *Pool) fitting(w *Waiter, now time.Time) []candidate {
	var out []candidate
	for _, s := range p.look(runners.Decode, w.job.Allows, now) {
		if merit, fits := p.merit(s, w, now); fits {
			out = append(out, candidate{s, merit})
		}
		if len(out) == compared {
			break
		}
	}
	return out
}

// merit returns how good a runner is for a job, false if it has no room: the room in
// tokens, less where the runner fails requests. The caller holds the lock.
func (p *Pool) merit(s *runners.State, w *Waiter, now time.Time) (float64, bool) {
	e := p.engine(s.ID)
	if w.avoid[s.ID] || now.Before(e.refusedUntil) || !w.job.allows(s.Domain) || !s.Room(now) {
		return 0, false
	}
	room := e.room(w.job, now, p.rate, p.Lengths.Spread(), p.options.Deviations)
	if room < 0 {
		return 0, false
	}
	merit := room - failureCost*s.Failures(now)*float64(e.capacity)
	if s.Domain == p.options.Domain {
		merit += sameDomainBonus * float64(e.capacity)
	}
	if p.connected(s) {
		merit += connectedBonus * float64(e.capacity)
	}
	return merit, true
}

// connected reports whether a connection to a runner is idle.
func (p *Pool) connected(s *runners.State) bool {
	return p.options.Connected != nil && p.options.Connected(s.Address)
}

// failureCost is the part of its memory by which a runner that fails all
// requests ranks below another.
const failureCost = 3

// sameDomainBonus is the part of its memory by which a runner in the gateway's failure
// domain ranks above another: its answers cross no domain.
const sameDomainBonus = 0.1

// connectedBonus is the part of its memory by which a runner to which a connection is
// idle ranks above another: a new one takes a round trip, and a slot of the runner for a
// moment.
const connectedBonus = 0.1

// Refused takes a reservation back because the runner had no room after all, and
// skips the runner for a moment.
func (p *Pool) Refused(runner, id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engine(runner)
	delete(e.own, id)
	p.release(runner, id)
	p.change(e)
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
		p.learnDemand(b.job, now)
	}
	b.made = tokens
}

// End takes a reservation back: the generation is over.
func (p *Pool) End(runner, id string, now time.Time) {
	p.mu.Lock()
	e := p.engine(runner)
	if b := e.own[id]; b != nil {
		p.learnRate(b, now)
		delete(e.own, id)
		p.release(runner, id)
		p.change(e)
	}
	p.mu.Unlock()
	p.Dispatch(now)
}

// release gives up the place at a runner that a job was not sent to.
func (p *Pool) release(runner, id string) {
	if s := p.directory.Find(runner); s != nil {
		s.Release(id)
	}
}

const (
	// firstRate is an answer's tokens a second before any was seen.
	firstRate = 150
	// rateWeight is the weight of the newest answer in the learned rate, and
	// leastLearned the tokens from which an answer counts.
	rateWeight   = 0.1
	leastLearned = 50
)

// learnRate learns from an answer how fast answers grow. The caller holds the lock.
func (p *Pool) learnRate(b *reservation, now time.Time) {
	took := now.Sub(b.begun).Seconds()
	if b.begun.IsZero() || b.made < leastLearned || took <= 0 {
		return
	}
	p.rate += (float64(b.made)/took - p.rate) * rateWeight
}

// Sweep drops runners that are gone.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
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
