package enginepool

import (
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// reader is the model of one prefill runner.
type reader struct {
	jobs map[string]reading
	// pace is what the runner reads, in tokens a second; learned.
	pace float64
}

// reading is a prompt on a prefill runner.
type reading struct {
	tokens int
	since  time.Time
	ahead  int
}

const (
	// firstPace is assumed before anything was learned, in tokens a second.
	firstPace = 30000
	// paceWeight is the weight of the newest measurement.
	paceWeight = 0.2
	// otherDomain is how much longer a prompt may wait for a runner in the domain
	// of its decode runner.
	otherDomain = 150 * time.Millisecond
	// newConnection is how much longer a prompt may wait for a runner to which a
	// connection is idle: a new one takes a round trip, and a slot of the runner for a
	// moment.
	newConnection = 20 * time.Millisecond
	// lostPrefill is what a prefill costs that is lost.
	lostPrefill = 1500 * time.Millisecond
)

func (r *reader) backlog() int {
	n := 0
	for _, j := range r.jobs {
		n += j.tokens
	}
	return n
}

// reader returns the model of a prefill runner. The caller holds the lock.
func (p *Pool) reader(id string) *reader {
	r := p.readers[id]
	if r == nil {
		r = &reader{jobs: map[string]reading{}, pace: firstPace}
		p.readers[id] = r
	}
	return r
}

// Prompt is what a prefill runner is wanted for.
type Prompt struct {
	// ID is the request's.
	ID     string
	Tokens int
	// Domain is the failure domain of the decode runner.
	Domain string
	// Avoid are runners that are not taken, by ID.
	Avoid map[string]bool
	// Allows reports whether the prompt may be read in a failure domain; nil for all.
	Allows func(domain string) bool
}

// BeginPrefill assigns a prompt to the prefill runner that will have read it first
// of those that are compared, and returns how long that will take.
// It fails with *ErrNoRunner.
func (p *Pool) BeginPrefill(w Prompt, now time.Time) (*runners.State, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fit []candidate
	for _, s := range p.look(runners.Prefill, w.Allows, now) {
		if !w.Avoid[s.ID] && len(fit) < compared && s.Room(now) {
			fit = append(fit, candidate{s, -p.readCost(s, w.Tokens, w.Domain, now).Seconds()})
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

// RepeatPrefill assigns a prompt again to the prefill runner whose answer was lost, and
// returns how long reading it would take; the runner most likely has done so.
func (p *Pool) RepeatPrefill(runner *runners.State, id string, tokens int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assign(runner, id, tokens, now)
}

// assign notes a prompt at a runner, and returns how long it will take. The caller holds
// the lock.
func (p *Pool) assign(runner *runners.State, id string, tokens int, now time.Time) time.Duration {
	expected := p.readTime(runner.ID, tokens)
	p.reader(runner.ID).jobs[id] = reading{tokens: tokens, since: now, ahead: p.backlog(runner.ID)}
	p.change(p.engine(runner.ID))
	return expected
}

// readCost estimates when a runner will have read a prompt.
func (p *Pool) readCost(s *runners.State, tokens int, domain string, now time.Time) time.Duration {
	cost := p.readTime(s.ID, tokens)
	if s.Domain != domain {
		cost += otherDomain
	}
	if !p.connected(s) {
		cost += newConnection
	}
	cost += time.Duration(s.Failures(now) * float64(lostPrefill))
	return cost
}

// readTime estimates how long a runner takes to read what waits there and a
// prompt more. The caller holds the lock.
func (p *Pool) readTime(id string, tokens int) time.Duration {
	return time.Duration(float64(p.backlog(id)+tokens) / p.reader(id).pace * float64(time.Second))
}

// backlog returns the tokens that wait at a runner. The caller holds the lock.
func (p *Pool) backlog(id string) int {
	n := p.reader(id).backlog()
	for _, tokens := range p.engine(id).reading {
		n += tokens
	}
	return n
}

// ownReading returns the tokens that this gateway has under way at a runner. The
// caller holds the lock.
func (p *Pool) ownReading(id string) int {
	if r := p.readers[id]; r != nil {
		return r.backlog()
	}
	return 0
}

// EndPrefill takes a prompt off its runner and learns the pace if it was read.
func (p *Pool) EndPrefill(runner, id string, read bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(runner, id)
	r := p.reader(runner)
	j, ok := r.jobs[id]
	delete(r.jobs, id)
	p.change(p.engine(runner))
	took := now.Sub(j.since).Seconds()
	if !ok || !read || took <= 0 {
		return
	}
	r.pace += (float64(j.tokens+j.ahead)/took - r.pace) * paceWeight
}
