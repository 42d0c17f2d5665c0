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
	// newRequestWaitShare is the share of its latency target that a new request may wait for room
	// before it is refused with Retry-After.
	newRequestWaitShare = 0.22
	// minClientTimeout and the two factors estimate how long clients wait for the first event of a
	// stream: the longest of minClientTimeout, latencyFactor times the latency target and gapFactor
	// times the target gap between events.
	minClientTimeout = 2 * time.Second
	latencyFactor    = 4
	gapFactor        = 8
	// serveReserve is the part of the client's timeout, or of the latency target, that is kept for
	// the prefill and the first event.
	serveReserve = 500 * time.Millisecond
	// holdTimeout limits the call that takes a hold.
	holdTimeout = 400 * time.Millisecond
	// A prefill is considered lost if no response has come after its slack plus prefillFactor times
	// the expected time. The slack is prefillSlack, or trustedPrefillSlack if the runner has hardly
	// failed lately.
	prefillSlack        = 300 * time.Millisecond
	trustedPrefillSlack = 1000 * time.Millisecond
	prefillFactor       = 2
	// trustedFailureRate is the failure rate below which a runner gets trustedPrefillSlack.
	trustedFailureRate = 0.04
	// holdOutputTokens is the number of output tokens held in addition to the prompt. The rest of
	// the output is reserved only in the model of the pool.
	holdOutputTokens = 256
	// localPrefillAfter is the expected time of a prefill above which the decode runner computes
	// the prompt itself.
	localPrefillAfter = 900 * time.Millisecond
	// localPrefillFailureRate is the failure rate of the best prefill runner above which the decode
	// runner computes the prompt itself. Only one response can be lost then instead of two, and a
	// lost prefill costs a second.
	localPrefillFailureRate = 0.1
	// releaseTimeout limits calls that release a hold or a KV cache.
	releaseTimeout = time.Second
	// defaultOutputTokens is the expected output, in tokens, of a request without a length hint.
	defaultOutputTokens = 512
	// minStreamRetryAfter and maxStreamRetryAfter are the range of Retry-After for refused streams,
	// and retryAfterShare limits it to a share of the time that the client has left. It is half of
	// that share if the share is less than the minimum, and the time until the first pause ends if
	// all runners are paused.
	minStreamRetryAfter = 3000 * time.Millisecond
	maxStreamRetryAfter = 4600 * time.Millisecond
	retryAfterShare     = 0.33
	// maxPrefills limits the prefills of one attempt.
	maxPrefills = 2
)

// generation is the state of one request to model engines while it is served.
type generation struct {
	*exchange
	pool   *enginepool.Pool
	budget *retrybudget.Budget
	life   *request.Life
	engine *routetable.Engine
	job    enginepool.Job
	// failedPrefill holds the IDs of the prefill runners that failed or whose KV cache could not be
	// fetched.
	failedPrefill map[string]bool
	// charged is set if the last prefill was refused and already charged to the retry budget.
	charged bool
	// cacheHolder is the runner that has the longest part of the prompt in its KV cache, and
	// cachedTokens the length of that part, if a client resumes a stream; nil for none.
	cacheHolder  *runners.State
	cachedTokens int
	// failedDecode holds the IDs of the decode runners that failed the request.
	failedDecode map[string]bool
	relay        relay
}

// generate serves a request by engines. It reserves room for the decode first, then runs the
// prefill, then the decode.
func (x *exchange) generate(engine *routetable.Engine) {
	x.rank = enginepool.Fresh
	if x.g.returning(x.route.Name, x.call.Timeout) {
		x.rank = enginepool.Returning
	}
	s := &generation{
		exchange: x, pool: x.g.pool(x.service), budget: x.g.budget(x.service),
		life: request.NewLife(x.call.ID, x.route.Repeatable()), engine: engine,
		failedPrefill: map[string]bool{}, failedDecode: map[string]bool{},
	}
	x.life = s.life
	s.relay = relay{s: s, last: x.call.After}
	s.job = enginepool.Job{ID: x.call.ID, Prompt: x.call.Prompt, Length: s.pool.Lengths.Estimate(s.lengthHint(), x.call.MaxOut), Priority: x.priority(), Workspace: x.workspace.Hash(), Allows: x.domainFilter()}
	s.fields = append(s.fields, decisionlog.F("gap", s.route.GapTarget), decisionlog.F("prompt", s.job.Prompt), decisionlog.F("guess", s.lengthHint()), decisionlog.F("expected", s.job.Length.Expected(0)))
	if x.call.After != "" {
		s.fields = append(s.fields, decisionlog.F("resumed_by", "client"))
		s.findCachedPrompt()
	}
	s.budget.Request(x.arrived)
	s.run()
}

// findCachedPrompt asks the engines which of them has the prompt of a resumed stream in its KV
// cache, so that it need not be computed again.
func (s *generation) findCachedPrompt() {
	present := slices.DeleteFunc(s.g.Directory.Present(s.service, time.Now()), func(r *runners.State) bool { return !s.allows(r.Domain) })
	s.cacheHolder, s.cachedTokens = s.g.promptCaches.find(s.ctx, present, s.call.PromptID)
	if s.cacheHolder != nil {
		s.fields = append(s.fields, decisionlog.F("kept_at", s.cacheHolder.ID), decisionlog.F("kept", s.cachedTokens))
	}
}

// lengthHint returns the client's estimate of the output in tokens, or a default.
func (s *generation) lengthHint() int {
	if s.call.Hint > 0 {
		return s.call.Hint
	}
	if s.call.MaxOut > 0 {
		return min(defaultOutputTokens, s.call.MaxOut)
	}
	return defaultOutputTokens
}

// run makes attempts until the request has its response or is given up.
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
	s.finishIncomplete(firstError(s.endReason(), last))
}

// finishIncomplete ends the request without a complete response. If a part of the stream was sent,
// the connection is aborted; otherwise giveUp responds with an error.
func (s *generation) finishIncomplete(last error) {
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

// streamRetryAfter returns the Retry-After of a refused stream: the end of the first pause if all
// runners are paused, otherwise a random time, so that clients do not all retry at once, and well
// before the client's timeout.
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

// try makes one attempt: it reserves room, runs the prefill and then the decode.
func (s *generation) try(n int) (sendResult, error) {
	if err := s.checkQuarantine(); err != nil {
		return notRun, err
	}
	room, err := s.reserve()
	if err != nil {
		return notRun, err
	}
	defer func() { s.pool.End(room.runner.ID, s.job.ID, time.Now()) }()
	var source PrefilledCache
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

// decode runs the decode on the reserved runner and forwards its stream.
func (s *generation) decode(n int, room *reservation, source PrefilledCache, prefillRunner *runners.State) (sendResult, error) {
	runner := room.runner
	if !runner.Usable(time.Now()) {
		s.releaseKV(prefillRunner, source, "runner_left")
		s.failedDecode[runner.ID] = true
		return notRun, &ErrRunnerLeft{Runner: runner.ID}
	}
	if err := s.reconfirm(); err != nil {
		// This reason also stands for a revoked key and for a quarantined request.
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
		order.Source = s.g.options.Runners.CacheName(prefillRunner, source)
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
	response, err := s.g.options.Runners.Send(ctx, runner, s.call, order)
	if err != nil {
		s.releaseKV(prefillRunner, source, "decode_failed")
		s.failedDecode[runner.ID] = true
		return s.sendFailed(s.life, n, runner, err)
	}
	defer response.Body.Close()
	if response.NotRun || response.WrongRunner {
		s.life.Withdraw(n)
		s.declined(runner, response)
		s.avoidDeclining(runner)
		s.recordLostCache(prefillRunner, source)
		return notRun, &ErrDeclined{Runner: runner.ID, Status: response.Status, WrongRunner: response.WrongRunner}
	}
	if prefillRunner != nil {
		prefillRunner.Succeeded(time.Now())
	}
	return s.handleResponse(n, runner, response)
}

// avoidDeclining excludes a runner that refused the request, as long as another runner is left.
func (s *generation) avoidDeclining(runner *runners.State) {
	now := time.Now()
	for _, other := range s.g.Directory.Stage(s.service, runners.Decode) {
		if other.ID != runner.ID && !s.failedDecode[other.ID] && s.allows(other.Domain) && other.Usable(now) {
			s.failedDecode[runner.ID] = true
			return
		}
	}
}

// recordRecomputed records a prompt that the decode runner has to compute although another runner
// computed it before, which is the case for resumed streams.
func (s *generation) recordRecomputed(runner *runners.State) {
	switch {
	case s.relay.begun:
		s.recordWasted("resumed_by_gateway", runner, s.job.Prompt)
	case s.call.After != "":
		s.recordWasted("resumed_by_client", runner, max(0, s.job.Prompt-s.cachedTokens))
	}
}

// handleResponse forwards the response of a decode runner, or returns why it can't be forwarded.
func (s *generation) handleResponse(n int, runner *runners.State, response *Response) (sendResult, error) {
	bad := &ErrAnswer{Runner: runner.ID, Status: response.Status, Why: "runner failed"}
	if response.OK() && response.Verified {
		return s.relay.forwardEvents(n, runner, response)
	}
	s.failedDecode[runner.ID] = true
	if response.OK() {
		bad.Why = "not signed, or encoded"
		runner.Failed(time.Now())
		return mayHaveRun, bad
	}
	if response.Status >= http.StatusInternalServerError {
		runner.Failed(time.Now())
	}
	if s.relay.begun || s.route.Repeatable() && s.life.Attempts() < s.route.MaxAttempts {
		return mayHaveRun, bad
	}
	return s.forwardResponse(s.life, n, response, runner)
}
