package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/prefix"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// Limits and delays of one request.
const (
	// maxAttempts limits the attempts of a request.
	maxAttempts = 5
	// maxOpens limits the sidecars tried for one role of an attempt.
	maxOpens = 4
	// maxChunkGap is the longest permitted time between reports of a decode that has started.
	maxChunkGap = 1500 * time.Millisecond
	// retryDelay is the base delay before another attempt. startedRetryDelay is the delay before
	// runners are tried again for a request on which work has started.
	retryDelay        = 20 * time.Millisecond
	startedRetryDelay = 60 * time.Millisecond
	// startedWait limits how long a request on which work has started waits for a runner.
	startedWait = 20 * time.Second
)

// run is one generation request with all its attempts.
type run struct {
	g     *Gateway
	req   *Request
	sink  Sink
	life  *request.Life
	began time.Time

	selector               *fleet.Selector
	targetFirst, targetPer time.Duration
	promptTokens           int
	blocks                 []uint64

	// excluded holds the instances that refused or failed this request.
	excluded map[string]bool
	// source is the branch to the runner that holds the KV cache, and export is that runner's
	// description of the cache. Both are nil if no runner holds one.
	source *branch
	export *wirepb.Exported
	// stalls counts the stalled transfers from source.
	stalls int
	// computed holds the number of tokens that each prefill of the request computed.
	computed   []int
	key        *keyClaim
	retryAfter time.Duration
	// attempts counts the calls of runAttempt, which maxAttempts limits.
	attempts int

	firstAt, lastAt time.Time
	finishReason    string
}

// Generate runs a request until it has an outcome. The context must end when the client
// disconnects.
func (g *Gateway) Generate(ctx context.Context, req *Request, sink Sink) Result {
	r, err := g.begin(req, sink)
	if err != nil {
		return g.reject(req, err)
	}
	defer g.limits.Leave(req.Workspace)
	g.Log.Add(trace.Event{Type: trace.Received, Request: req.ID, Detail: fmt.Sprintf("model=%s kind=%s tokens=%d", req.Model, req.Kind, r.promptTokens)})
	err = r.loop(ctx)
	res := r.result(err)
	g.finish(req, &res)
	return res
}

// begin checks a request, charges its workspace and counts it as open.
func (g *Gateway) begin(req *Request, sink Sink) (*run, error) {
	tokens := max(1, prefix.Tokens(req.Prompt))
	if tokens > g.opt.MaxPrompt {
		return nil, &ErrPromptTooLong{Tokens: tokens, Limit: g.opt.MaxPrompt}
	}
	sel := g.Keeper.Document().Offer(req.Kind, req.Model, fleet.RoleDecode)
	if sel == nil {
		return nil, &ErrUnknownModel{Model: req.Model, Kind: req.Kind}
	}
	if err := g.charge(req, tokens, req.MaxTokens); err != nil {
		return nil, err
	}
	if err := g.limits.Enter(req.Workspace); err != nil {
		return nil, err
	}
	g.budget.earn()
	first, per := sel.Targets()
	repeatable := !req.NotRepeatable && !sel.NotRepeatable
	r := &run{
		g: g, req: req, sink: sink, began: time.Now(), selector: sel,
		targetFirst: first, targetPer: per, promptTokens: tokens, excluded: map[string]bool{},
		life: request.NewLife(req.ID, repeatable),
		key:  g.newKeyClaim(req.Workspace, req.Key, req.ID, repeatable),
	}
	r.blocks = prefix.Blocks(nil, prefix.Salt(sel.Model, sel.Version, sel.Adapter), req.Prompt)
	return r, nil
}

// loop makes attempts until one succeeds or no further attempt is allowed.
func (r *run) loop(ctx context.Context) error {
	defer r.releaseSource()
	if err := r.g.confirmConfig(ctx); err != nil {
		return err
	}
	for {
		r.attempts++
		err := r.runAttempt(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return &ErrCallerGone{Err: ctx.Err()}
		}
		if err = r.mayRetry(err); err != nil {
			return err
		}
		if !sleep(ctx, r.g.jittered(retryDelay<<min(r.attempts, 5))) {
			return &ErrCallerGone{Err: ctx.Err()}
		}
	}
}

// mayRetry returns nil if another attempt is allowed after err, otherwise the error with which the
// request ends.
func (r *run) mayRetry(err error) error {
	var broken *ErrBroken
	if !errors.As(err, &broken) {
		return err
	}
	if r.attempts >= maxAttempts || (!r.started() && !r.g.budget.spend()) {
		return &ErrExhausted{Tries: r.attempts, Err: err}
	}
	r.g.meters.retries.Inc()
	return nil
}

// started reports whether work for the request was done or may have started. Such a request has
// priority over new ones (route.Request.Paid): giving it up would waste that work or end the
// request with an unknown outcome.
func (r *run) started() bool { return len(r.computed) > 0 || r.life.MayHaveRun() }

// runAttempt makes one attempt.
func (r *run) runAttempt(ctx context.Context) error {
	n, err := r.life.Begin()
	if err != nil {
		return err
	}
	a := &attempt{run: r, n: n}
	defer a.close()
	if r.g.opt.ReserveFirst || r.export != nil {
		if err := a.reserve(ctx); err != nil {
			return err
		}
	}
	if r.export == nil {
		if err := a.prefill(ctx); err != nil {
			return err
		}
	}
	if a.decode == nil {
		if err := a.reserve(ctx); err != nil {
			return err
		}
	}
	return a.generate(ctx)
}

// releaseSource closes the source, which releases the KV cache.
func (r *run) releaseSource() {
	if r.source != nil {
		r.source.close()
	}
	r.source, r.export = nil, nil
}

// deliver sends text to the client.
func (r *run) deliver(text string, tokens int) error {
	if text == "" {
		return nil
	}
	now := time.Now()
	if r.firstAt.IsZero() {
		r.firstAt = now
		r.g.Log.Add(trace.Event{Type: trace.FirstToken, Request: r.req.ID})
	}
	r.lastAt = now
	if err := r.sink.Text(text, tokens); err != nil {
		return &ErrCallerGone{Err: err}
	}
	return nil
}

// result returns the result of the request. If err is set, it first gives the request up, which
// sets the outcome.
func (r *run) result(err error) Result {
	outcome := r.life.Outcome()
	if err != nil {
		outcome = r.life.GiveUp()
	}
	n, _ := r.life.Progress()
	res := Result{
		Outcome: outcome, Err: err, Reason: r.finishReason, PromptTokens: r.promptTokens, Tokens: n,
		TargetFirst: r.targetFirst, TargetPer: r.targetPer, Attempts: r.life.Attempts(), RetryAfter: r.retryAfter,
	}
	if !r.firstAt.IsZero() {
		res.FirstToken = r.firstAt.Sub(r.began)
	}
	if n > 1 {
		res.PerToken = r.lastAt.Sub(r.firstAt) / time.Duration(n-1)
	}
	r.countWaste(&res)
	if outcome == request.NotRun {
		r.key.releaseIfClaimed()
	}
	return res
}

// countWaste counts the prompt tokens computed, and among them those that did not contribute to the
// response: all if the response is incomplete, otherwise those computed after the first prefill.
func (r *run) countWaste(res *Result) {
	for i, n := range r.computed {
		res.Prefilled += n
		if i > 0 || res.Outcome != request.Done {
			res.Wasted += n
		}
	}
}

// seed returns the sampling seed, which is the same for all attempts of a request.
func (r *run) seed() uint64 { return xxhash.Sum64String(r.req.ID) }

// timeLeft returns the delay that the request can still absorb within its targets. Before the first
// token, it is what remains of targetFirst. Afterwards, it is targetPer times MaxTokens, less the
// time since the first token and half of targetPer for each remaining token.
func (r *run) timeLeft() time.Duration {
	if r.firstAt.IsZero() {
		return r.targetFirst - time.Since(r.began)
	}
	n, _ := r.life.Progress()
	rest := time.Duration(r.req.MaxTokens-n) * r.targetPer / 2
	return time.Duration(r.req.MaxTokens)*r.targetPer - time.Since(r.firstAt) - rest
}

// sleep waits for d and reports whether the context is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jittered returns a random duration between d/2 and d.
func (g *Gateway) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.Jitter()*float64(d/2))
}
