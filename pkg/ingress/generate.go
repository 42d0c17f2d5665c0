package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/retrybudget"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// freshPart is the part of its latency target that a new request may wait
	// for room before it is refused with a time to come back.
	freshPart = 0.22
	// leastPatience and the two factors give how long clients wait for a
	// stream's first event: the longest of the three.
	leastPatience = 2 * time.Second
	latencyFactor = 4
	gapFactor     = 8
	// serveTime is what is left of that for the prefill and the first event.
	serveTime = 500 * time.Millisecond
	// holdCall bounds a call that reserves memory.
	holdCall = 400 * time.Millisecond
	// A prefill whose answer has not come after prefillLate and prefillFactor
	// times the expected time is taken for lost; where the runner has failed
	// next to nothing lately, after trustedLate instead.
	prefillLate   = 300 * time.Millisecond
	trustedLate   = 1000 * time.Millisecond
	prefillFactor = 2
	// trustBelow is the failure rate below which a runner is trusted.
	trustBelow = 0.04
	// holdAhead is how many tokens of the answer are reserved with the prompt:
	// the rest is reserved in the pool's model alone.
	holdAhead = 256
	// overflowAfter is the expected time of a prefill above which the decode
	// runner reads the prompt itself.
	overflowAfter = 900 * time.Millisecond
	// localAbove is the failure rate of the best prefill runner above which the decode
	// runner reads the prompt itself: one answer then may be lost instead of two, and a
	// lost prefill costs a second.
	localAbove = 0.1
	// freeCall bounds the giving back of what is not needed.
	freeCall = time.Second
	// defaultOut is expected of answers whose length nobody guesses, in tokens.
	defaultOut = 512
	// shortestReturn and longestReturn are when refused requests come back, and
	// returnPart bounds it by the time that the client has left.
	shortestReturn = 3000 * time.Millisecond
	longestReturn  = 4600 * time.Millisecond
	returnPart     = 0.33
	// maxPrefills bounds the prefills of one try.
	maxPrefills = 2
)

// generation is a request to model engines while it is served.
type generation struct {
	*exchange
	pool   *enginepool.Pool
	budget *retrybudget.Budget
	life   *request.Life
	engine *routetable.Engine
	job    enginepool.Job
	// unread are the prefill runners whose work was of no use.
	unread map[string]bool
	// charged is set when the last prefill was turned away and charged for.
	charged bool
	// keeper is the runner that keeps most of the prompt in its KV cache, and kept how
	// many tokens, when a client resumes a stream; nil for none.
	keeper *runners.State
	kept   int
	// unfit are the decode runners that failed the request.
	unfit map[string]bool
	relay relay
}

// generate serves a request by engines: room for the decode first, then the
// prefill, then the decode.
func (x *exchange) generate(engine *routetable.Engine) {
	x.rank = enginepool.Fresh
	if x.g.returning(x.route.Name, x.call.Patience) {
		x.rank = enginepool.Returning
	}
	s := &generation{
		exchange: x, pool: x.g.pool(x.service), budget: x.g.budget(x.service),
		life: request.NewLife(x.call.ID, x.route.Repeatable()), engine: engine,
		unread: map[string]bool{}, unfit: map[string]bool{},
	}
	x.life = s.life
	s.relay = relay{s: s, last: x.call.After}
	s.job = enginepool.Job{ID: x.call.ID, Prompt: x.call.Prompt, Length: s.pool.Lengths.Estimate(s.guess(), x.call.MaxOut), Priority: x.priority(), Allows: x.allowing()}
	s.fields = append(s.fields, decisionlog.F("gap", s.route.Gap), decisionlog.F("prompt", s.job.Prompt), decisionlog.F("guess", s.guess()), decisionlog.F("expected", s.job.Length.Expected(0)))
	if x.call.After != "" {
		s.fields = append(s.fields, decisionlog.F("resumed_by", "client"))
		s.findKept()
	}
	s.budget.Request(x.arrived)
	s.run()
}

// findKept asks the engines which of them keeps the prompt of a stream that the client
// resumes, so that it need not be computed again.
func (s *generation) findKept() {
	present := slices.DeleteFunc(s.g.Directory.Present(s.service, time.Now()), func(r *runners.State) bool { return !s.allows(r.Domain) })
	s.keeper, s.kept = s.g.kept.find(s.ctx, present, s.call.PromptID)
	if s.keeper != nil {
		s.fields = append(s.fields, decisionlog.F("kept_at", s.keeper.ID), decisionlog.F("kept", s.kept))
	}
}

// guess returns the client's guess of the answer's length, in tokens.
func (s *generation) guess() int {
	if s.call.Hint > 0 {
		return s.call.Hint
	}
	if s.call.MaxOut > 0 {
		return min(defaultOut, s.call.MaxOut)
	}
	return defaultOut
}

// run makes tries until the request is answered or given up.
func (s *generation) run() {
	var last error
	runs, refusals := 0, 0
	for runs < max(1, s.route.MaxAttempts) && refusals <= maxRefused {
		if s.over() != nil {
			break
		}
		n, err := s.life.Begin()
		if err != nil {
			break
		}
		if s.sends > 0 && !s.budget.Spend(time.Now()) {
			last = &ErrBudget{Service: s.service}
			break
		}
		v, err := s.try(n)
		if v == answered {
			return
		}
		last = err
		var noRoom *enginepool.ErrNoRoom
		var unavailable *runners.ErrUnavailable
		if errors.As(err, &noRoom) || errors.As(err, &unavailable) || notAllowed(err) {
			break
		}
		if v == notRun {
			refusals++
		} else {
			runs++
		}
		s.rank = enginepool.Begun
	}
	s.end(firstOf(s.over(), last))
}

// end gives the request up.
func (s *generation) end(last error) {
	if gone, ok := last.(errGone); ok {
		s.finish(0, gone)
		return
	}
	if s.relay.begun {
		s.finish(http.StatusOK, &ErrBroken{Runner: s.relay.runner, After: s.relay.last, Err: last})
		s.g.metrics.broken.Inc()
		panic(http.ErrAbortHandler)
	}
	s.giveUp(s.life, last, s.comeBack(last))
}

// comeBack returns when a refused client should ask again: after the first pause where all runners have
// one, otherwise not all at once, and well before its time is over.
func (s *generation) comeBack(last error) time.Duration {
	if after := roomAfter(last); after > 0 {
		return max(after, shortWait)
	}
	longest := min(longestReturn, time.Duration(float64(s.left())*returnPart))
	if longest <= shortestReturn {
		return max(longest/2, shortWait)
	}
	return shortestReturn + time.Duration(rand.Int64N(int64(longest-shortestReturn)))
}

// try makes one try: room, prefill, decode.
func (s *generation) try(n int) (verdict, error) {
	if err := s.quarantined(); err != nil {
		return notRun, err
	}
	room, err := s.reserve()
	if err != nil {
		return notRun, err
	}
	defer func() { s.pool.End(room.runner.ID, s.job.ID, time.Now()) }()
	var source Source
	var reader *runners.State
	if !s.relay.begun && s.call.After == "" {
		source, reader, err = s.prefill(room)
	}
	if err != nil {
		s.drop(room)
		return notRun, err
	}
	return s.decode(n, room, source, reader)
}

// decode has the answer made and passes it on.
func (s *generation) decode(n int, room *place, source Source, reader *runners.State) (verdict, error) {
	runner := room.runner
	if !runner.Usable(time.Now()) {
		s.free(reader, source, "runner_left")
		s.unfit[runner.ID] = true
		return notRun, &ErrLeft{Runner: runner.ID}
	}
	if err := s.reconfirm(); err != nil {
		s.free(reader, source, "key_not_confirmed")
		s.drop(room)
		return notRun, err
	}
	if err := s.life.Send(n); err != nil {
		return mayHaveRun, err
	}
	order := s.order()
	order.Hold = room.hold
	if reader != nil {
		order.Source = s.g.options.Engines.Fetch(reader, source)
	} else if s.keeper != nil && s.keeper.ID != runner.ID {
		order.CacheFrom = s.keeper
	}
	if s.relay.begun {
		order.After = s.relay.last
		s.g.metrics.resumed.Inc()
		s.fields = append(s.fields, decisionlog.F("resumed_by", "gateway"))
	}
	s.step("decode_begin", decisionlog.F("service", s.service), decisionlog.F("runner", runner.ID))
	s.readAnew(runner)
	s.sends++
	s.noteLimit(runner)
	runner.Sent(s.job.ID, time.Now())
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	answer, err := s.g.options.Engines.Send(ctx, runner, s.call, order)
	if err != nil {
		s.free(reader, source, "decode_failed")
		s.unfit[runner.ID] = true
		return s.sendFailed(s.life, n, runner, err)
	}
	defer answer.Body.Close()
	if answer.NotRun || answer.Elsewhere {
		s.life.Withdraw(n)
		s.declined(runner, answer)
		s.avoidRefusing(runner)
		s.useless(reader, source)
		return notRun, &ErrDeclined{Runner: runner.ID, Status: answer.Status, Elsewhere: answer.Elsewhere}
	}
	if reader != nil {
		reader.Succeeded(time.Now())
	}
	return s.take(n, runner, answer)
}

// avoidRefusing keeps the request from a runner that turned it away, as long as another is left.
func (s *generation) avoidRefusing(runner *runners.State) {
	now := time.Now()
	for _, other := range s.g.Directory.Stage(s.service, runners.Decode) {
		if other.ID != runner.ID && !s.unfit[other.ID] && s.allows(other.Domain) && other.Usable(now) {
			s.unfit[runner.ID] = true
			return
		}
	}
}

// readAnew records a prompt that the decode runner has to read although a runner read
// it before: that of a resumed stream.
func (s *generation) readAnew(runner *runners.State) {
	switch {
	case s.relay.begun:
		s.wasted("resumed_by_gateway", runner, s.job.Prompt)
	case s.call.After != "":
		s.wasted("resumed_by_client", runner, max(0, s.job.Prompt-s.kept))
	}
}

// take passes a decode's answer on, or finds that it can't be.
func (s *generation) take(n int, runner *runners.State, answer *Answer) (verdict, error) {
	bad := &ErrAnswer{Runner: runner.ID, Status: answer.Status, Why: "runner failed"}
	if answer.OK() && answer.Whole {
		return s.relay.pass(n, runner, answer)
	}
	s.unfit[runner.ID] = true
	if answer.OK() {
		bad.Why = "not signed, or encoded"
		runner.Failed(time.Now())
		return mayHaveRun, bad
	}
	if answer.Status >= http.StatusInternalServerError {
		runner.Failed(time.Now())
	}
	if s.relay.begun || s.route.Repeatable() && s.life.Attempts() < s.route.MaxAttempts {
		return mayHaveRun, bad
	}
	return s.passOn(s.life, n, answer, runner)
}
