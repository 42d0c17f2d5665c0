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

// Bounds of one request.
const (
	// maxTries bounds the attempts of a request.
	maxTries = 5
	// maxOpens bounds the sidecars asked for one part of an attempt.
	maxOpens = 4
	// chunkGap is how long a decode that has begun may be silent.
	chunkGap = 1500 * time.Millisecond
	// retryPause and paidPause are waits before another try.
	retryPause = 20 * time.Millisecond
	paidPause  = 60 * time.Millisecond
	// paidTime bounds how long work that was paid for waits for a runner.
	paidTime = 20 * time.Second
)

// run is one generation on its way through its attempts.
type run struct {
	g     *Gateway
	req   *Request
	sink  Sink
	life  *request.Life
	began time.Time

	selector   *fleet.Selector
	first, per time.Duration
	tokens     int
	blocks     []uint64

	// excluded are the instances that refused or failed this request.
	excluded map[string]bool
	// source holds the KV cache while export is set.
	source *branch
	export *wirepb.Exported
	// stalls counts imports from source that stalled.
	stalls int
	// computed are the tokens that each prefill of the request computed.
	computed []int
	key      *keyClaim
	retry    time.Duration
	tries    int

	firstAt, lastAt time.Time
	reason          string
}

// Generate runs a request to its one outcome. The context ends when the caller
// goes away.
func (g *Gateway) Generate(ctx context.Context, req *Request, sink Sink) Result {
	r, err := g.begin(req, sink)
	if err != nil {
		return g.reject(req, err)
	}
	defer g.limits.Leave(req.Workspace)
	g.Log.Add(trace.Event{Type: trace.Received, Request: req.ID, Detail: fmt.Sprintf("model=%s kind=%s tokens=%d", req.Model, req.Kind, r.tokens)})
	err = r.loop(ctx)
	res := r.result(err)
	g.finish(req, &res)
	return res
}

// begin checks a request and records it.
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
		first: first, per: per, tokens: tokens, excluded: map[string]bool{},
		life: request.NewLife(req.ID, repeatable),
		key:  g.newKeyClaim(req.Workspace, req.Key, req.ID, repeatable),
	}
	r.blocks = prefix.Blocks(nil, prefix.Salt(sel.Model, sel.Version, sel.Adapter), req.Prompt)
	return r, nil
}

// loop makes attempts until one succeeds or no other may follow.
func (r *run) loop(ctx context.Context) error {
	defer r.dropSource()
	if err := r.g.confirm(ctx); err != nil {
		return err
	}
	for {
		r.tries++
		err := r.once(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return &ErrCallerGone{Err: ctx.Err()}
		}
		if err = r.mayRetry(err); err != nil {
			return err
		}
		if !pause(ctx, r.g.spread(retryPause<<min(r.tries, 5))) {
			return &ErrCallerGone{Err: ctx.Err()}
		}
	}
}

// mayRetry returns nil when another attempt may follow an error.
func (r *run) mayRetry(err error) error {
	var broken *ErrBroken
	if !errors.As(err, &broken) {
		return err
	}
	if r.tries >= maxTries || (!r.paid() && !r.g.budget.spend()) {
		return &ErrExhausted{Tries: r.tries, Err: err}
	}
	r.g.met.retries.Inc()
	return nil
}

// paid reports whether work for the request was done or begun already. It then
// goes before new work: giving up now would waste what was done, and could not
// tell its caller that nothing ran.
func (r *run) paid() bool { return len(r.computed) > 0 || r.life.MayHaveRun() }

// once makes one attempt.
func (r *run) once(ctx context.Context) error {
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

// dropSource gives the KV cache back.
func (r *run) dropSource() {
	if r.source != nil {
		r.source.close()
	}
	r.source, r.export = nil, nil
}

// deliver passes accepted text to the caller.
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

// result sums the request up.
func (r *run) result(err error) Result {
	outcome := r.life.Outcome()
	if err != nil {
		outcome = r.life.GiveUp()
	}
	n, _ := r.life.Progress()
	res := Result{
		Outcome: outcome, Err: err, Reason: r.reason, PromptTokens: r.tokens, Tokens: n,
		TargetFirst: r.first, TargetPer: r.per, Attempts: r.life.Attempts(), RetryAfter: r.retry,
	}
	if !r.firstAt.IsZero() {
		res.FirstToken = r.firstAt.Sub(r.began)
	}
	if n > 1 {
		res.PerToken = r.lastAt.Sub(r.firstAt) / time.Duration(n-1)
	}
	r.waste(&res)
	if outcome == request.NotRun {
		r.key.giveBack()
	}
	return res
}

// waste counts the prefill work that did not serve the answer: all of it when
// there is no whole answer, otherwise what came after the first.
func (r *run) waste(res *Result) {
	for i, n := range r.computed {
		res.Prefilled += n
		if i > 0 || res.Outcome != request.Done {
			res.Wasted += n
		}
	}
}

// seed makes the sampling of all attempts the same.
func (r *run) seed() uint64 { return xxhash.Sum64String(r.req.ID) }

// left is the time until the next token is due. Within an answer that is what
// the mean time between tokens still allows, if the rest comes at half of it.
func (r *run) left() time.Duration {
	if r.firstAt.IsZero() {
		return r.first - time.Since(r.began)
	}
	n, _ := r.life.Progress()
	rest := time.Duration(r.req.MaxTokens-n) * r.per / 2
	return time.Duration(r.req.MaxTokens)*r.per - time.Since(r.firstAt) - rest
}

// pause waits and reports whether the context is still open.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// spread returns a time between d/2 and d.
func (g *Gateway) spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.Jitter()*float64(d/2))
}
