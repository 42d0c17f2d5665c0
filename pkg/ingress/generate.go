package ingress

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/forecast"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/retrybudget"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// newRequestWaitShare is the share of its latency target that a new request may at least wait
	// for room before it is refused with Retry-After. It waits longer if serving it is expected to
	// take less than the rest.
	newRequestWaitShare = 0.22
	// minClientTimeout and the two factors estimate how long clients wait for the first event of a
	// stream: the longest of minClientTimeout, latencyFactor times the latency target and gapFactor
	// times the target gap between events.
	minClientTimeout = 2 * time.Second
	latencyFactor    = 4
	gapFactor        = 8
	// serveReserve is the part of the client's timeout that is at least kept for the prefill and the
	// first event, and that of the latency target until the time that they take is known.
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
	// defaultFirstEventTarget is the target for the first event of a stream whose route has none.
	defaultFirstEventTarget = 900 * time.Millisecond
	// releaseTimeout limits calls that release a hold or a KV cache.
	releaseTimeout = time.Second
	// defaultOutputTokens is the expected output, in tokens, of a request without a length hint.
	defaultOutputTokens = 512
	// maxStreamRetryAfter is the longest Retry-After of refused streams, and retryAfterShare limits
	// it to a share of the time that the client has left.
	maxStreamRetryAfter = 4600 * time.Millisecond
	retryAfterShare     = 0.33
	// maxPrefills limits the prefills of one attempt.
	maxPrefills = 2
)

// generation is the state of one request to model engines while it is served.
type generation struct {
	*exchange
	pool    *enginepool.Pool
	planner *forecast.Planner
	budget  *retrybudget.Budget
	life    *request.Life
	engine  *routetable.Engine
	job     enginepool.Job
	// failedPrefill holds the IDs of the prefill runners that failed or whose KV cache could not be
	// fetched.
	failedPrefill map[string]bool
	// prefilled is set once a runner has computed the prompt. Only the first prefill of a request is no
	// extra send.
	prefilled bool
	// charged is set if the last prefill was refused and already charged to the retry budget.
	charged bool
	// cacheHolder is the runner that has the longest part of the prompt in its KV cache, and
	// cachedTokens the length of that part, if a client resumes a stream; nil for none.
	cacheHolder  *runners.State
	cachedTokens int
	// failedDecode holds the IDs of the decode runners that failed the request.
	failedDecode map[string]bool
	// forecastMade is set once the request was compared with the forecast.
	forecastMade bool
	// roomAt is when the request got room for its last attempt.
	roomAt time.Time
	relay  relay
	// brokeEarly is set if a runner broke off before it wrote an event.
	brokeEarly bool
}

// generate serves a request by engines. It reserves room for the decode first, then runs the
// prefill, then the decode.
func (x *exchange) generate(engine *routetable.Engine) {
	if err := x.checkQueue(); err != nil {
		x.refuse(err, shortRetryAfter)
		return
	}
	x.rank = enginepool.Fresh
	if x.g.returning(x.route.Name, x.service, x.call.Timeout, x.arrived) {
		x.rank = enginepool.Returning
	}
	x.rank = x.resumedRank(x.rank)
	s := &generation{
		exchange: x, pool: x.g.pool(x.service), planner: x.g.planner(x.service), budget: x.g.budget(x.service),
		life: request.NewLife(x.call.ID, x.route.Repeatable()), engine: engine,
		failedPrefill: map[string]bool{}, failedDecode: map[string]bool{},
	}
	x.life = s.life
	s.relay = relay{s: s, progress: progress{last: x.call.After}}
	s.job = enginepool.Job{ID: x.call.ID, Prompt: x.call.Prompt, Length: s.pool.Lengths.Estimate(s.lengthHint(), x.call.MaxOut), Priority: x.priority(), Allows: x.domainFilter(), Version: x.software, AllowsVersion: x.versionFilter()}
	s.fields = append(s.fields, decisionlog.F("gap", s.route.GapTarget), decisionlog.F("timeout", s.call.Timeout), decisionlog.F("prompt", s.job.Prompt), decisionlog.F("guess", s.lengthHint()), decisionlog.F("expected", s.job.Length.Expected(0)))
	if x.call.After != "" {
		s.fields = append(s.fields, decisionlog.F("resumed_by", "client"))
		s.findCachedPrompt()
	}
	if s.rank == enginepool.Returning {
		s.fields = append(s.fields, decisionlog.F("prompt_id", s.call.PromptID))
	} else {
		s.planner.Arrived(s.job.MeanMemory(), x.arrived)
	}
	s.budget.Request(x.arrived)
	s.countUnspent()
	s.run()
}

// checkQueue fails with *ErrBusy if others wait for room and the client has sent the request ahead: a few such
// clients could keep the engines busy for all others.
func (x *exchange) checkQueue() error {
	if !x.sentAhead {
		return nil
	}
	if waiting, _ := x.g.pool(x.service).Waiting(); waiting > 0 {
		return &ErrBusy{What: "requests before one that was sent ahead", Size: int64(waiting), Limit: 0}
	}
	return nil
}

// findCachedPrompt asks the engines which of them has the prompt of a resumed stream in its KV
// cache, so that it need not be computed again.
func (s *generation) findCachedPrompt() {
	present := slices.DeleteFunc(s.g.Directory.Present(s.service, time.Now()), func(r *runners.State) bool { return !s.job.Accepts(r) })
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
		if errors.As(err, &noRoom) || errors.As(err, &unavailable) || notAllowed(err) || notResumable(err) || suspectedParts(err) {
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
		s.finish(http.StatusOK, &ErrBroken{Runner: s.relay.runner.ID, After: s.relay.last, Err: last})
		s.g.metrics.broken.Inc()
		panic(http.ErrAbortHandler)
	}
	s.giveUp(s.life, last, func() time.Duration { return s.streamRetryAfter(last) })
}

// try makes one attempt: it reserves room, runs the prefill and then the decode.
func (s *generation) try(n int) (sendResult, error) {
	if err := s.checkQuarantine(); err != nil {
		return notRun, err
	}
	if s.brokeEarly {
		if err := s.checkRepeat(); err != nil {
			return mayHaveRun, err
		}
	}
	if err := firstError(s.relay.holdHeader(), s.bindBegun(), s.checkVersion()); err != nil {
		return notRun, err
	}
	s.job.AllowsVersion = s.versionFilter()
	room, err := s.reserve()
	if err != nil {
		return notRun, err
	}
	defer func() { s.pool.End(room.runner.ID, s.job.ID, time.Now()) }()
	s.roomAt = room.at
	var source PrefilledCache
	var prefillRunner *runners.State
	if !s.relay.begun && s.call.After == "" {
		identified := s.identifyMeanwhile(room.runner)
		source, prefillRunner, err = s.prefill(room)
		<-identified
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
	s.logStep("decode_begin", decisionlog.F("service", s.service), decisionlog.F("runner", runner.ID), decisionlog.F("software", runner.Version), decisionlog.F("resumed", s.relay.begun || s.call.After != ""), decisionlog.F("extra", s.sends > 0))
	s.recordRecomputed(runner)
	if !s.relay.begun {
		s.beginStream(runner)
	}
	s.sends++
	s.logRunnerLimit(runner)
	runner.Sent(s.job.ID, time.Now())
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	response, err := s.g.options.Runners.Send(ctx, runner, s.call, order)
	if err != nil {
		s.releaseKV(prefillRunner, source, "decode_failed")
		s.failedDecode[runner.ID] = true
		v, err := s.sendFailed(s.life, n, runner, err)
		s.brokeEarly = s.brokeEarly || v == mayHaveRun
		return v, err
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
		if other.ID != runner.ID && !s.failedDecode[other.ID] && s.job.Accepts(other) && other.Usable(now) {
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
		if err := s.confirmVersion(runner, response, s.job.Version); err != nil {
			s.failedDecode[runner.ID] = true
			return mayHaveRun, firstError(s.endReason(), err)
		}
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
