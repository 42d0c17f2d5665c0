package enginepool

import (
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// prefillRunner is this gateway's model of one prefill runner.
type prefillRunner struct {
	jobs map[string]prefillJob
	// rate is the speed of prefill that this gateway learned, in tokens per second, and known the one
	// that all gateways did; 0 is unknown.
	rate, known float64
	// measured is the speed that this gateway measured last, at measuredAt.
	measured   float64
	measuredAt time.Time
}

// prefillJob is a prompt on a prefill runner.
type prefillJob struct {
	tokens int
	since  time.Time
	// ahead is the backlog at the runner when the prompt was assigned, in tokens.
	ahead int
}

const (
	// initialPrefillRate is assumed before a prefill was measured, in tokens per second.
	initialPrefillRate = 30000
	// prefillRateWeight is the weight of the newest measurement in the learned rate.
	prefillRateWeight = 0.2
	// measuredRateTTL is how long prefills behind others are not measured after one that was: the prompts
	// ahead, as last reported, are often completed already, and the runner would seem faster than it is.
	measuredRateTTL = 30 * time.Second
	// crossDomainPenalty is added to the cost of a runner that is not in the failure domain
	// of the prompt's decode runner.
	crossDomainPenalty = 150 * time.Millisecond
	// newConnectionPenalty is added to the cost of a runner without an idle connection: a
	// new connection takes a round trip, and briefly a slot of the runner.
	newConnectionPenalty = 20 * time.Millisecond
	// lostPrefillPenalty is the cost of a lost prefill. It is added to the cost of a runner
	// in proportion to its failure rate.
	lostPrefillPenalty = 1500 * time.Millisecond
)

func (r *prefillRunner) backlog() int {
	n := 0
	for _, j := range r.jobs {
		n += j.tokens
	}
	return n
}

// prefillRunner returns the model of a prefill runner, creating it if needed. The caller
// holds the lock.
func (p *Pool) prefillRunner(id string) *prefillRunner {
	r := p.prefillRunners.get(id)
	if r == nil {
		r = &prefillRunner{jobs: map[string]prefillJob{}, rate: initialPrefillRate}
		p.prefillRunners.set(id, r)
	}
	return r
}

// Prompt is a prompt that needs a prefill runner.
type Prompt struct {
	// ID is the ID of the request.
	ID     string
	Tokens int
	// Domain is the failure domain of the decode runner.
	Domain string
	// Avoid holds the IDs of runners that must not be chosen.
	Avoid map[string]bool
	// Allows reports whether the prompt may be processed in a failure domain; nil allows all.
	Allows func(domain string) bool
}

// filter reports whether the prompt may be processed on a runner; nil allows all.
func (w Prompt) filter() func(*runners.State) bool {
	if w.Allows == nil {
		return nil
	}
	return func(s *runners.State) bool { return w.Allows(s.Domain) }
}

// BeginPrefill assigns a prompt to the prefill runner with the lowest estimated cost of
// those compared, and returns how long the prefill is expected to take there, including
// the prompts ahead of it. It fails with *ErrNoRunner.
func (p *Pool) BeginPrefill(w Prompt, now time.Time) (*runners.State, time.Duration, error) {
	p.mu.Lock()
	defer p.unlock()
	var fit []candidate
	for _, s := range p.sample(runners.Prefill, w.filter(), now) {
		if !w.Avoid[s.ID] && len(fit) < maxCandidates && s.Room(now) {
			fit = append(fit, candidate{s, -p.prefillCost(s, w.Tokens, w.Domain, now).Seconds()})
		}
	}
	if len(fit) == 0 {
		return nil, 0, &ErrNoRunner{Service: p.service, Stage: runners.Prefill}
	}
	chosen := best(fit)
	if !chosen.Claim(w.ID, now) {
		return nil, 0, &ErrNoRunner{Service: p.service, Stage: runners.Prefill}
	}
	return chosen, p.assign(chosen, w.ID, w.Tokens, now), nil
}

// RepeatPrefill assigns a prompt again to the prefill runner whose response was lost, and
// returns how long the prefill is expected to take at most: most likely the runner has
// completed it already.
func (p *Pool) RepeatPrefill(runner *runners.State, id string, tokens int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.unlock()
	return p.assign(runner, id, tokens, now)
}

// assign records a prompt at a runner, and returns how long its prefill is expected to
// take. The caller holds the lock.
func (p *Pool) assign(runner *runners.State, id string, tokens int, now time.Time) time.Duration {
	expected := p.prefillTime(runner.ID, tokens)
	p.prefillRunner(runner.ID).jobs[id] = prefillJob{tokens: tokens, since: now, ahead: p.backlog(runner.ID)}
	p.recordChange(p.engine(runner.ID))
	return expected
}

// prefillCost returns the estimated time until a runner has processed a prompt, plus
// penalties for another failure domain, a new connection and failures.
func (p *Pool) prefillCost(s *runners.State, tokens int, domain string, now time.Time) time.Duration {
	cost := p.prefillTime(s.ID, tokens)
	if s.Domain != domain {
		cost += crossDomainPenalty
	}
	if !p.connected(s) {
		cost += newConnectionPenalty
	}
	cost += time.Duration(s.Failures(now) * float64(lostPrefillPenalty))
	return cost
}

// prefillTime estimates how long a runner takes to process its backlog and one more
// prompt. The caller holds the lock.
func (p *Pool) prefillTime(id string, tokens int) time.Duration {
	return time.Duration(float64(p.backlog(id)+tokens) / p.prefillRunner(id).rate * float64(time.Second))
}

// backlog returns the prompt tokens of all gateways that wait or are being processed at a
// runner. The caller holds the lock.
func (p *Pool) backlog(id string) int {
	n := p.prefillRunner(id).backlog()
	for _, tokens := range p.engine(id).prefillTokens {
		n += tokens
	}
	return n
}

// ownPrefillTokens returns the prompt tokens that this gateway has assigned to a runner
// and that are not finished. The caller holds the lock.
func (p *Pool) ownPrefillTokens(id string) int {
	if r := p.prefillRunners.get(id); r != nil {
		return r.backlog()
	}
	return 0
}

// EndPrefill removes a prompt from the model of its runner. It updates the learned rate if
// the prompt was processed.
func (p *Pool) EndPrefill(runner, id string, processed bool, now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	p.release(runner, id)
	r := p.prefillRunner(runner)
	j, ok := r.jobs[id]
	delete(r.jobs, id)
	p.recordChange(p.engine(runner))
	took := now.Sub(j.since).Seconds()
	if !ok || !processed || took <= 0 {
		return
	}
	if j.ahead > 0 && now.Sub(r.measuredAt) < measuredRateTTL {
		return
	}
	r.measured, r.measuredAt = float64(j.tokens+j.ahead)/took, now
	r.rate += (r.measured - r.rate) * prefillRateWeight
	r.learn(r.measured)
}

// learn updates the known speed from a measured one.
func (r *prefillRunner) learn(measured float64) {
	if r.known == 0 {
		r.known = measured
		return
	}
	r.known += (measured - r.known) * prefillRateWeight
}

// prefillRate returns the learned speed of prefill on an engine, in tokens per second, or the mean
// of the service if it is unknown. The caller holds the lock.
func (p *Pool) prefillRate(id string) float64 {
	if r := p.prefillRunners.get(id); r != nil && r.known > 0 {
		return r.known
	}
	sum, n := 0.0, 0
	for _, r := range p.prefillRunners.values {
		if r.known > 0 {
			sum += r.known
			n++
		}
	}
	if n == 0 {
		return initialPrefillRate
	}
	return sum / float64(n)
}
