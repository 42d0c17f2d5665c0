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
	// newRequestWaitShare is the part of its latency target that a new request may wait
	// for room before it is refused with a time to come back.
	newRequestWaitShare = 0.22
	// minClientTimeout and the two factors give how long clients wait for a
	// stream's first event: the longest of the three.
	minClientTimeout = 2 * time.Second
	latencyFactor    = 4
	gapFactor        = 8
	// serveReserve is what is left of that for the prefill and the first event.
	serveReserve = 500 * time.Millisecond
	// holdTimeout bounds a call that reserves memory.
	holdTimeout = 400 * time.Millisecond
	// A prefill whose answer has not come after prefillSlack and prefillFactor
	// times the expected time is taken for lost; where the runner has failed
	// next to nothing lately, after trustedPrefillSlack instead.
	prefillSlack        = 300 * time.Millisecond
	trustedPrefillSlack = 1000 * time.Millisecond
	prefillFactor       = 2
	// trustedFailureRate is the failure rate below which a runner is trusted.
	trustedFailureRate = 0.04
	// holdOutputTokens is how many tokens of the answer are reserved with the prompt:
	// the rest is reserved in the pool's model alone.
	holdOutputTokens = 256
	// localPrefillAfter is the expected time of a prefill above which the decode
	// runner reads the prompt itself.
	localPrefillAfter = 900 * time.Millisecond
	// localPrefillFailureRate is the failure rate of the best prefill runner above which the decode
	// runner reads the prompt itself: one answer then may be lost instead of two, and a
	// lost prefill costs a second.
	localPrefillFailureRate = 0.1
	// releaseTimeout bounds the giving back of what is not needed.
	releaseTimeout = time.Second
	// defaultOutputTokens is expected of answers whose length nobody guesses, in tokens.
	defaultOutputTokens = 512
	// minStreamRetryAfter and maxStreamRetryAfter are when refused requests come back, and
	// retryAfterShare bounds it by the time that the client has left.
	minStreamRetryAfter = 3000 * time.Millisecond
	maxStreamRetryAfter = 4600 * time.Millisecond
	retryAfterShare     = 0.33
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
	// failedPrefill are the prefill runners whose work was of no use.
	failedPrefill map[string]bool
	// charged is set when the last prefill was turned away and charged for.
	charged bool
	// keeper is the runner that keeps most of the prompt in its KV cache, and kept how
	// many tokens, when a client resumes a stream; nil for none.
	cacheHolder  *runners.State
	cachedTokens int
	// failedDecode are the decode runners that failed the request.
	failedDecode map[string]bool
	relay        relay
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
		failedPrefill: map[string]bool{}, failedDecode: map[string]bool{},
	}
	x.life = s.life
	s.relay = relay{s: s, last: x.call.After}
	s.job = enginepool.Job{ID: x.call.ID, Prompt: x.call.Prompt, Length: s.pool.Lengths.Estimate(s.lengthHint(), x.call.MaxOut), Priority: x.priority(), Allows: x.domainFilter()}
	s.fields = append(s.fields, decisionlog.F("gap", s.route.Gap), decisionlog.F("prompt", s.job.Prompt), decisionlog.F("guess", s.lengthHint()), decisionlog.F("expected", s.job.Length.Expected(0)))
	if x.call.After != "" {
		s.fields = append(s.fields, decisionlog.F("resumed_by", "client"))
		s.findCachedPrompt()
	}
	s.budget.Request(x.arrived)
	s.run()
}

// findCachedPrompt asks the engines which of them keeps the prompt of a stream that the client
// resumes, so that it need not be computed again.
func (s *generation) findCachedPrompt() {
	present := slices.DeleteFunc(s.g.Directory.Present(s.service, time.Now()), func(r *runners.State) bool { return !s.allows(r.Domain) })
	s.cacheHolder, s.cachedTokens = s.g.promptCaches.find(s.ctx, present, s.call.PromptID)
	if s.cacheHolder != nil {
		s.fields = append(s.fields, decisionlog.F("kept_at", s.cacheHolder.ID), decisionlog.F("kept", s.cachedTokens))
	}
}

// guess returns the client's guess of the answer's length, in tokens.
func (s *generation) lengthHint() int {
	if s.call.Hint > 0 {
		return s.call.Hint
	}
	if s.call.MaxOut > 0 {
		return min(defaultOutputTokens, s.call.MaxOut)
	}
	return defaultOutputTokens
}

// run makes tries until the request is responded or given up.
func (s *generation) run() {
	var last error
	runs, refusals := 0, 0
	for runs < max(1, s.route.MaxAttempts) && refusals <= maxRefused {
		if s.endReason() != nil {
			break
		}
		n, err := s.life.Begin()
		if err != nil {
			break
		}
		if s.sends > 0 && !s.budget.Spend(time.Now()) {
			last = &ErrRetryBudget{Service: s.service}
			break
		}
		v, err := s.try(n)
		if v == responded {
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
	s.abandon(firstError(s.endReason(), last))
}

// end gives the request up.
func (s *generation) abandon(last error) {
	if gone, ok := last.(errClientGone); ok {
		s.finish(0, gone)
		return
	}
	if s.relay.begun {
		s.finish(http.StatusOK, &ErrBroken{Runner: s.relay.runner, After: s.relay.last, Err: last})
		s.g.metrics.broken.Inc()
		panic(http.ErrAbortHandler)
	}
	s.giveUp(s.life, last, s.streamRetryAfter(last))
}

// streamRetryAfter returns when a refused client should ask again: after the first pause where all runners have
// one, otherwise not all at once, and well before its time is over.
func (s *generation) streamRetryAfter(last error) time.Duration {
	if after := roomAfter(last); after > 0 {
		return max(after, shortRetryAfter)
	}
	longest := min(maxStreamRetryAfter, time.Duration(float64(s.timeLeft())*retryAfterShare))
	if longest <= minStreamRetryAfter {
		return max(longest/2, shortRetryAfter)
	}
	return minStreamRetryAfter + time.Duration(rand.Int64N(int64(longest-minStreamRetryAfter)))
}

// try makes one try: room, prefill, decode.
func (s *generation) try(n int) (sendResult, error) {
	if err := s.checkQuarantine(); err != nil {
		return notRun, err
	}
	room, err := s.reserve()
	if err != nil {
		return notRun, err
	}
	defer func() { s.pool.End(room.runner.ID, s.job.ID, time.Now()) }()
	var source Source
	var prefillRunner *runners.State
	if !s.relay.begun && s.call.After == "" {
		source, prefillRunner, err = s.prefill(room)
	}
	if err != nil {
		s.dropHold(room)
		return notRun, err
	}
	return s.decode(n, room, source, prefillRunner)
}

// decode has the answer made and passes it on.
func (s *generation) decode(n int, room *reservation, source Source, prefillRunner *runners.State) (sendResult, error) {
	runner := room.runner
	if !runner.Usable(time.Now()) {
		s.releaseKV(prefillRunner, source, "runner_left")
		s.failedDecode[runner.ID] = true
		return notRun, &ErrRunnerLeft{Runner: runner.ID}
	}
	if err := s.reconfirm(); err != nil {
		s.releaseKV(prefillRunner, source, "key_not_confirmed")
		s.dropHold(room)
		return notRun, err
	}
	if err := s.life.Send(n); err != nil {
		return mayHaveRun, err
	}
	order := s.order()
	order.Hold = room.hold
	if prefillRunner != nil {
		order.Source = s.g.options.Engines.Fetch(prefillRunner, source)
	} else if s.cacheHolder != nil && s.cacheHolder.ID != runner.ID {
		order.CacheFrom = s.cacheHolder
	}
	if s.relay.begun {
		order.After = s.relay.last
		s.g.metrics.resumed.Inc()
		s.fields = append(s.fields, decisionlog.F("resumed_by", "gateway"))
	}
	s.logStep("decode_begin", decisionlog.F("service", s.service), decisionlog.F("runner", runner.ID))
	s.recordRecomputed(runner)
	s.sends++
	s.logRunnerLimit(runner)
	runner.Sent(s.job.ID, time.Now())
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	answer, err := s.g.options.Engines.Send(ctx, runner, s.call, order)
	if err != nil {
		s.releaseKV(prefillRunner, source, "decode_failed")
		s.failedDecode[runner.ID] = true
		return s.sendFailed(s.life, n, runner, err)
	}
	defer answer.Body.Close()
	if answer.NotRun || answer.Elsewhere {
		s.life.Withdraw(n)
		s.declined(runner, answer)
		s.avoidDeclining(runner)
		s.recordLostCache(prefillRunner, source)
		return notRun, &ErrDeclined{Runner: runner.ID, Status: answer.Status, Elsewhere: answer.Elsewhere}
	}
	if prefillRunner != nil {
		prefillRunner.Succeeded(time.Now())
	}
	return s.handleResponse(n, runner, answer)
}

// avoidDeclining keeps the request from a runner that turned it away, as long as another is left.
func (s *generation) avoidDeclining(runner *runners.State) {
	now := time.Now()
	for _, other := range s.g.Directory.Stage(s.service, runners.Decode) {
		if other.ID != runner.ID && !s.failedDecode[other.ID] && s.allows(other.Domain) && other.Usable(now) {
			s.failedDecode[runner.ID] = true
			return
		}
	}
}

// recordRecomputed records a prompt that the decode runner has to read although a runner read
// it before: that of a resumed stream.
func (s *generation) recordRecomputed(runner *runners.State) {
	switch {
	case s.relay.begun:
		s.recordWasted("resumed_by_gateway", runner, s.job.Prompt)
	case s.call.After != "":
		s.recordWasted("resumed_by_client", runner, max(0, s.job.Prompt-s.cachedTokens))
	}
}

// take passes a decode's answer on, or finds that it can't be.
func (s *generation) handleResponse(n int, runner *runners.State, answer *Answer) (sendResult, error) {
	bad := &ErrAnswer{Runner: runner.ID, Status: answer.Status, Why: "runner failed"}
	if answer.OK() && answer.Whole {
		return s.relay.pass(n, runner, answer)
	}
	s.failedDecode[runner.ID] = true
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
	return s.forwardResponse(s.life, n, answer, runner)
}
