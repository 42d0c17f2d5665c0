package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// attempt is one try at a request: a decode branch and, until the KV cache was
// imported, a prefill branch.
type attempt struct {
	*run
	n      int
	decode *branch
	// chosen is the pair that the policy preferred for the decode.
	chosen pairing
}

// pairing is a choice with its grants.
type pairing struct {
	route.Choice
	prefill, decode fleet.Grant
}

// close ends what the attempt holds; the run keeps its source.
func (a *attempt) close() {
	if a.decode != nil {
		a.decode.close()
		a.decode = nil
	}
}

// reserve chooses a pair and opens its decode branch. What was paid for waits
// until a runner takes it; new work is refused at once.
func (a *attempt) reserve(ctx context.Context) error {
	deadline := time.Now().Add(paidTime)
	for {
		err := a.tryReserve(ctx)
		if err == nil || !a.paid() || time.Now().After(deadline) {
			return err
		}
		var shed *ErrShed
		if !errors.As(err, &shed) {
			return err
		}
		if !pause(ctx, a.g.spread(paidPause)) {
			return ctx.Err()
		}
		clear(a.excluded)
	}
}

// tryReserve asks a few decode runners in the policy's order.
func (a *attempt) tryReserve(ctx context.Context) error {
	var last error
	for range maxOpens {
		p, err := a.g.choose(a.run, a.fixedSource(), nil)
		if err != nil {
			return a.shed(err, last)
		}
		b, err := a.g.open(ctx, p.decode, a.openOrder(fleet.RoleDecode, &p))
		if err == nil {
			a.decode, a.chosen = b, p
			return nil
		}
		if last = a.turnedAway(ctx, p.decode, err); last != nil && ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return a.shed(last, nil)
}

// fixedSource is the holder of the KV cache, nil while there is none.
func (r *run) fixedSource() *fleet.Member {
	if r.export == nil {
		return nil
	}
	return r.source.member
}

// turnedAway records a refusal or failure of a runner, after which another one is
// asked, and returns the error. A sidecar whose configuration is older than
// ours gets it and may be asked again.
func (r *run) turnedAway(ctx context.Context, g fleet.Grant, err error) error {
	var refused *ErrRefused
	if errors.As(err, &refused) {
		if refused.RetryAfter > 0 && (r.retry == 0 || refused.RetryAfter < r.retry) {
			r.retry = refused.RetryAfter
		}
		if refused.Reason == wire.ReasonBehind && r.g.Agent.Exchange(ctx, g.Member.Inner) == nil {
			return err
		}
	}
	r.excluded[g.Member.Name] = true
	return err
}

// shed turns the lack of a runner into the request's error.
func (r *run) shed(err, last error) error {
	reason := "no_runner"
	var late *route.ErrLate
	var refused *ErrRefused
	switch {
	case errors.As(err, &late):
		reason = "late"
		r.retry = max(r.retry, late.RetryAfter())
	case errors.As(last, &refused):
		reason = refused.Reason
	case errors.As(err, &refused):
		reason = refused.Reason
	}
	r.retry = max(r.retry, minRetryAfter)
	return &ErrShed{Reason: reason, RetryAfter: r.retry}
}

// minRetryAfter is the least time that a shed caller is told to wait.
const minRetryAfter = 200 * time.Millisecond

// openOrder asks for admission of this attempt's part in a role.
func (a *attempt) openOrder(role fleet.Role, p *pairing) *wirepb.Open {
	offset, _ := a.life.Progress()
	e := &p.Estimate
	d, _ := a.g.Keeper.Digest()
	slack := a.left() - seconds(e.Transfer+e.Step+e.Network)
	if role == fleet.RoleDecode {
		slack = a.left() - seconds(e.FirstToken-e.Slot)
	}
	return &wirepb.Open{
		RequestId: a.req.ID, Attempt: uint32(a.n), Role: string(role),
		Kind: a.req.Kind, Model: a.selector.Model, Version: a.selector.Version, Adapter: a.selector.Adapter,
		Workspace: a.req.Workspace, Priority: int32(a.selector.Priority),
		PromptTokens: uint32(a.tokens), MaxTokens: uint32(a.req.MaxTokens), ResumeOffset: uint32(offset),
		Prompt:  a.req.Prompt,
		SlackUs: slack.Microseconds(), PerTokenUs: a.per.Microseconds(),
		TargetUs: a.first.Microseconds(),
		NeedUs:   seconds(e.Queue + e.Prefill + e.Transfer).Microseconds(),
		Revision: d.Revision, Seed: a.seed(), Paid: a.paid(),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// colocatedTokens is the longest prompt that a decode runner computes by itself:
// about what it adds to one step of its streams.
const colocatedTokens = 512

// prefill computes the KV cache on some runner and keeps it as the source. When
// none has time for a short prompt, the reserved decode runner computes it by
// itself, if a selector gives it both roles: there then is no source.
func (a *attempt) prefill(ctx context.Context) error {
	err := a.tryPrefills(ctx)
	var shed *ErrShed
	if errors.As(err, &shed) && a.mayColocate() {
		return nil
	}
	return err
}

// mayColocate reports whether the reserved decode runner may prefill too.
func (a *attempt) mayColocate() bool {
	offset, _ := a.life.Progress()
	if a.decode == nil || a.tokens+offset > colocatedTokens {
		return false
	}
	return a.g.View().Select(a.req.Kind, a.req.Model, fleet.RolePrefill, a.decode.member.Labels) != nil
}

// tryPrefills asks a few prefill runners in the policy's order.
func (a *attempt) tryPrefills(ctx context.Context) error {
	var last error
	p := a.chosen
	for i := range maxOpens {
		if i > 0 || p.N == 0 || a.excluded[p.prefill.Member.Name] {
			next, err := a.g.choose(a.run, nil, a.reserved())
			if err != nil {
				return a.shed(err, last)
			}
			p = next
		}
		err := a.tryPrefill(ctx, &p)
		if err == nil || !neverRan(err) {
			return err
		}
		last = a.turnedAway(ctx, p.prefill, err)
	}
	return a.shed(last, nil)
}

// reserved is the instance of the reserved decode, nil while there is none.
func (a *attempt) reserved() *fleet.Member {
	if a.decode == nil {
		return nil
	}
	return a.decode.member
}

// tryPrefill asks one runner. From the moment that the order is sent the
// request may run, until the runner says that it did not.
func (a *attempt) tryPrefill(ctx context.Context, p *pairing) error {
	if err := a.key.take(ctx); err != nil {
		return err
	}
	o := a.openOrder(fleet.RolePrefill, p)
	_, text := a.life.Progress()
	o.Prompt += text
	o.PromptTokens += o.ResumeOffset
	if err := a.life.Send(a.n); err != nil {
		return err
	}
	b, err := a.g.open(ctx, p.prefill, o)
	if err != nil {
		a.unsent(err, nil)
		return err
	}
	a.g.Log.Add(trace.Event{Type: trace.Chosen, Request: a.req.ID, Attempt: a.n, Instance: b.member.Name, Detail: "role=prefill"})
	if err := a.awaitExport(ctx, b); err != nil {
		a.unsent(err, b)
		b.close()
		return err
	}
	return nil
}

// neverRan reports whether an error says that the order certainly did not begin:
// another runner may then be asked in the same attempt.
func neverRan(err error) bool {
	var refused *ErrRefused
	var broken *ErrBroken
	return errors.As(err, &refused) || errors.As(err, &broken) && broken.Never
}

// unsent takes a Send back where the runner certainly did not begin. For a
// request that must not be repeated the runner is asked for its word.
func (a *attempt) unsent(err error, b *branch) {
	// Also a refusal that came after the admission, when the job gave way.
	if neverRan(err) || b != nil && b.fence() {
		a.life.Withdraw(a.n)
	}
}

// awaitExport waits until the prefill is done. Should the reserved decode break
// meanwhile, the prefill goes on and another decode is reserved afterwards.
func (a *attempt) awaitExport(ctx context.Context, b *branch) error {
	var decodeBroken <-chan struct{}
	if a.decode != nil {
		decodeBroken = a.decode.broken
	}
	for {
		select {
		case r, ok := <-b.reports:
			if !ok {
				a.excluded[b.member.Name] = true
				return b.failure("lost")
			}
			switch x := r.Body.(type) {
			case *wirepb.Report_Exported:
				a.exported(b, x.Exported)
				return nil
			case *wirepb.Report_Refused:
				b.finished()
				return b.refused(x.Refused)
			case *wirepb.Report_Failed:
				b.finished()
				a.excluded[b.member.Name] = true
				return &ErrBroken{Instance: b.member.Name, Code: x.Failed.Code, Never: !x.Failed.Started}
			}
		case <-decodeBroken:
			decodeBroken = nil
			a.excluded[a.decode.member.Name] = true
			a.close()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// exported keeps a KV cache as the source of the decode.
func (r *run) exported(b *branch, x *wirepb.Exported) {
	r.source, r.export, r.stalls = b, x, 0
	r.computed = append(r.computed, int(x.PromptTokens-x.CachedTokens))
	r.g.prefixes.Add(r.blocks, b.runner.ID())
}
