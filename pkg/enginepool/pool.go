// Package enginepool decides on which engines the requests of a service run. An engine is
// a runner that runs a model. In the prefill stage it is called a prefill runner, in the
// decode stage a decode runner. The package reserves memory on a decode runner before the
// prompt is processed, orders the jobs that wait for memory, and chooses the prefill
// runner. It does no I/O; the caller confirms a reservation by a hold at the runner itself.
package enginepool

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// Spec holds the properties that all engines of a service share.
type Spec struct {
	// Memory is the size of an engine's KV cache, in tokens; Slots is its largest batch.
	Memory, Slots int
}

// Options are the settings of a pool.
type Options struct {
	// Fill is the fraction of an engine's memory that may be reserved.
	Fill float64
	// Deviations is the margin of memory that is kept free for responses longer than
	// expected, in standard deviations; see engine.room.
	Deviations float64
	// RefusalPause is how long a runner is skipped after it refused a reservation.
	RefusalPause time.Duration
	// Uses reports whether a runner is in this gateway's subset; nil uses all runners.
	Uses func(runner string) bool
	// GatewaysOf returns the gateways that use a runner, of those that report to this one; nil if all
	// use all.
	GatewaysOf func(runner string) []string
	// Changed is called, without the pool locked, after a change that should be reported to
	// other gateways at once; nil for none.
	Changed func()
	// Gateway is the name under which this gateway reports to others, and TurnInterval how long it
	// takes until they know of a reservation; see Pool.ourTurn.
	Gateway      string
	TurnInterval time.Duration
	// Domain is the gateway's failure domain, empty for none.
	Domain string
	// Connected reports whether an idle connection to an address exists; nil if that
	// does not matter. Uses, GatewaysOf and Connected are called with the pool locked: they must
	// take no lock that is held while the pool is called, see docs/design/lock-order.md.
	Connected func(address string) bool
	// Pick returns a random number from 0 to n-1; nil uses math/rand/v2.
	Pick func(n int) int
}

// DefaultOptions returns the options that a gateway uses.
func DefaultOptions() Options {
	return Options{Fill: 0.98, Deviations: defaultDeviations, RefusalPause: 60 * time.Millisecond, TurnInterval: turnInterval}
}

// defaultDeviations is the default of Options.Deviations: with no margin engines preempt
// requests and prefill long prompts again, with a larger one slots stay empty.
const defaultDeviations = 1.75

// Pool is this gateway's model of the engines of one service.
type Pool struct {
	service   string
	directory *runners.Directory
	options   Options

	// steps counts how often the lock was released.
	steps atomic.Uint64

	mu             sync.Mutex
	spec           Spec
	engines        ordered[*engine]
	prefillRunners ordered[*prefillRunner]
	subsets        map[runners.Stage]stageSubset
	waiting        []*Waiter
	serial         uint64
	// kept is, during a dispatch, the size in tokens of the smallest blocked job of each software
	// version to which jobs are bound.
	kept map[string]int
	// peerWaiting is the number of jobs that wait at each gateway that reported.
	peerWaiting map[string]int
	// peerEngines holds the engines on which each other gateway reported load. A gateway
	// uses only a few of thousands of engines, and its whole report is replaced every few
	// seconds.
	peerEngines map[string]map[string]*engine
	// peerReports is the number of engines in peerEngines, peerLoads that of all reservations on them.
	peerReports, peerLoads int
	// peerPlaced counts the jobs that other gateways placed lately.
	peerPlaced decayed
	// revision counts the changes of this gateway's own reservations and prefills.
	revision uint64
	// waitingRevision is the revision at which jobs began or ceased to wait; reportedWaiting is
	// whether they did.
	waitingRevision uint64
	reportedWaiting bool
	// unreportedChange is set while the lock is held if Options.Changed must be called after it.
	unreportedChange bool
	// rate is the learned mean speed of one response, in tokens per second.
	rate float64
	// Lengths learns the lengths of responses.
	Lengths *Lengths
	// demand learns how the requests divide the engines' time between prefill and decode.
	demand demand
}

// New returns an empty pool of a service.
func New(service string, d *runners.Directory, o Options) *Pool {
	if o.TurnInterval == 0 {
		o.TurnInterval = turnInterval
	}
	if o.Pick == nil {
		o.Pick = rand.IntN
	}
	return &Pool{service: service, directory: d, options: o, subsets: map[runners.Stage]stageSubset{}, peerWaiting: map[string]int{}, peerEngines: map[string]map[string]*engine{}, rate: initialRate, Lengths: NewLengths()}
}

// Steps returns a number that grows with each operation on the pool. It takes no lock: a caller that waits for
// the pool sees whether others make progress.
func (p *Pool) Steps() uint64 { return p.steps.Load() }

// unlock releases the lock, then has a change reported.
func (p *Pool) unlock() {
	report := p.unreportedChange && p.options.Changed != nil
	p.unreportedChange = false
	p.steps.Add(1)
	p.mu.Unlock()
	if report {
		p.options.Changed()
	}
}

// Configure sets the properties that all engines share.
func (p *Pool) Configure(s Spec) {
	p.mu.Lock()
	defer p.unlock()
	p.spec = s
	for _, e := range p.engines.values {
		e.capacity, e.slots = p.capacity(), s.Slots
	}
}

func (p *Pool) capacity() int { return int(p.options.Fill * float64(p.spec.Memory)) }

// ErrNoRunner reports that no runner of a stage can take the work.
type ErrNoRunner struct {
	Service string
	Stage   runners.Stage
}

// Error implements error.
func (e *ErrNoRunner) Error() string {
	return fmt.Sprintf("no runner: service=%s stage=%s", e.Service, e.Stage)
}

// engine returns the model of an engine, creating it if needed. The caller holds the lock.
func (p *Pool) engine(id string) *engine {
	e := p.engines.get(id)
	if e == nil {
		e = &engine{id: id, idHash: hashID(id), capacity: p.capacity(), slots: p.spec.Slots, prefillTokens: map[string]int{}}
		p.engines.set(id, e)
	}
	return e
}

// place reserves memory for a job on its preferred runner if the job fits there, otherwise
// on the decode runner with the highest score of those compared; nil if it fits on none.
// The caller holds the lock.
func (p *Pool) place(w *Waiter, now time.Time) *runners.State {
	runner := p.preferred(w, now)
	if runner == nil {
		fit := p.candidates(w, now)
		if len(fit) == 0 {
			return nil
		}
		runner = p.oneOfBest(fit, len(p.subsetOf(runners.Decode, now)), now)
	}
	if !runner.Claim(w.job.ID, now) {
		return nil
	}
	e := p.engine(runner.ID)
	e.own.set(w.job.ID, &reservation{job: w.job})
	p.recordChange(e)
	return runner
}

// preferred returns the runner that a job prefers, nil if there is none or the job does
// not fit there. It takes no turns: on another runner the prompt would be processed again. The caller
// holds the lock.
func (p *Pool) preferred(w *Waiter, now time.Time) *runners.State {
	if w.prefer == "" {
		return nil
	}
	s := p.directory.Find(w.prefer)
	if s == nil || s.Stage != runners.Decode || !s.Usable(now) || s.Ejected(now) {
		return nil
	}
	if _, fits := p.fits(s, w, now); !fits {
		return nil
	}
	return s
}

// candidates returns runners on which a job fits. The caller holds the lock.
func (p *Pool) candidates(w *Waiter, now time.Time) []candidate {
	var out []candidate
	for _, s := range p.sample(runners.Decode, w.filter(), now) {
		if score, fits := p.score(s, w, now); fits {
			out = append(out, candidate{s, score})
		}
		if len(out) == maxCandidates {
			break
		}
	}
	return out
}

// fits returns the memory that is left on a runner with a job added, in tokens. It returns false if the
// job does not fit: the runner is excluded, accepts no request now (State.Room), or lacks memory
// (engine.room). The caller holds the lock.
func (p *Pool) fits(s *runners.State, w *Waiter, now time.Time) (float64, bool) {
	e := p.engine(s.ID)
	if w.avoid[s.ID] || now.Before(e.refusedUntil) || !w.job.Accepts(s) || p.keptForOthers(s, w) || !s.Room(now) {
		return 0, false
	}
	typical := p.Lengths.Typical()
	room := e.room(w.profileFor(typical), now, p.decodeRate(e, now), typical, p.options.Deviations)
	if room < 0 {
		p.foundFull(e, w.job, now)
		return 0, false
	}
	return room, true
}

// score rates a runner for a job. It returns false if the job does not fit, or if it is the turn of
// other gateways (ourTurn). The score is the memory left in tokens. It is reduced by the memory that
// the job takes for longer than on an engine of mean speed, until it ends, and by a penalty for failed
// requests. It is raised by bonuses for the gateway's own failure domain and for an idle connection.
// The caller holds the lock.
func (p *Pool) score(s *runners.State, w *Waiter, now time.Time) (float64, bool) {
	e := p.engine(s.ID)
	room, fits := p.fits(s, w, now)
	if !fits || !p.ourTurn(e, w.job, room, now) {
		return 0, false
	}
	longer := min(maxLonger, p.rate/p.decodeRate(e, now)) - 1
	score := room - longer*float64(w.job.size()) - failurePenalty*s.Failures(now)*float64(e.capacity)
	if s.Domain == p.options.Domain {
		score += sameDomainBonus * float64(e.capacity)
	}
	if p.connected(s) {
		score += connectedBonus * float64(e.capacity)
	}
	return score, true
}

// profileFor returns the profile of the job.
func (w *Waiter) profileFor(typical float64) *profile {
	if w.typical != typical {
		w.profile, w.typical = profile{}, typical
		w.profile.add(w.job.footprint(), typical)
	}
	return &w.profile
}

// connected reports whether an idle connection to a runner exists.
func (p *Pool) connected(s *runners.State) bool {
	return p.options.Connected != nil && p.options.Connected(s.Address)
}

// maxLonger bounds how many times longer a job counts on a slow engine.
const maxLonger = 10

// failurePenalty is what is subtracted from the score of a runner that fails all
// requests, as a multiple of its memory.
const failurePenalty = 3

// sameDomainBonus is what is added to the score of a runner in the gateway's failure
// domain, as a fraction of its memory: its responses stay within the domain.
const sameDomainBonus = 0.1

// connectedBonus is what is added to the score of a runner with an idle connection, as a
// fraction of its memory: a new connection takes a round trip, and briefly a slot of the
// runner.
const connectedBonus = 0.1

// Refused removes a reservation that the runner did not confirm, and skips the runner for
// Options.RefusalPause. noRoom is set if the runner responded that it has no room, and not if it
// was unreachable or takes no work for another reason.
func (p *Pool) Refused(runner, id string, noRoom bool, now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	e := p.engine(runner)
	if b := e.own.get(id); b != nil {
		e.own.remove(id)
		e.changed()
		if noRoom {
			e.addUnseen(b.job, now, p.decodeRate(e, now))
		}
	}
	p.release(runner, id)
	p.recordChange(e)
	e.refusedUntil = now.Add(p.options.RefusalPause)
}

// RecordTokens records how many tokens of a response have been received so far. readyAt is from when
// the event was waited for: nothing is learned of the engine's speed if the client delayed that.
func (p *Pool) RecordTokens(runner, id string, tokens int, readyAt, now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	b := p.engine(runner).own.get(id)
	if b == nil {
		return
	}
	if b.firstTokenAt.IsZero() {
		b.firstTokenAt = now
		p.learnDemand(b.job, now)
	}
	e := p.engine(runner)
	if added := tokens - b.generated; added > 0 && !b.lastEventAt.IsZero() {
		took := now.Sub(b.lastEventAt)
		b.eventTokens = added
		if readyAt.Sub(b.lastEventAt) <= took/2 && e.speed.observe(added, took, now) {
			p.recordChange(e)
		}
	}
	b.lastEventAt = now
	b.generated = tokens
}

// End removes the reservation of a request whose attempt on the runner has ended, and
// dispatches waiting jobs.
func (p *Pool) End(runner, id string, now time.Time) {
	p.mu.Lock()
	e := p.engine(runner)
	if b := e.own.get(id); b != nil {
		p.learnRate(b, now)
		e.own.remove(id)
		p.release(runner, id)
		p.recordChange(e)
		e.endedAt = now
	}
	p.unlock()
	p.Dispatch(now)
}

// release gives up the claim of a job on the runner, unless the job was sent there.
func (p *Pool) release(runner, id string) {
	if s := p.directory.Find(runner); s != nil {
		s.Release(id)
	}
}

const (
	// initialRate is assumed before a response was measured, in tokens per second.
	initialRate = 150
	// rateWeight is the weight of the newest response in the learned rate.
	// minLearnedTokens is the least length of a response that is measured.
	rateWeight       = 0.1
	minLearnedTokens = 50
)

// learnRate updates the learned rate from a finished response. The caller holds the lock.
func (p *Pool) learnRate(b *reservation, now time.Time) {
	took := now.Sub(b.firstTokenAt).Seconds()
	if b.firstTokenAt.IsZero() || b.generated < minLearnedTokens || took <= 0 {
		return
	}
	p.rate += (float64(b.generated)/took - p.rate) * rateWeight
}

// Sweep removes the models of runners that left the directory and have no requests.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	listed := map[string]bool{}
	for _, s := range p.directory.All(p.service) {
		listed[s.ID] = true
	}
	for id, e := range p.engines.all() {
		if !listed[id] && e.own.len() == 0 && e.peers.len() == 0 {
			p.engines.remove(id)
		}
	}
	for id, r := range p.prefillRunners.all() {
		if !listed[id] && len(r.jobs) == 0 {
			p.prefillRunners.remove(id)
		}
	}
}
