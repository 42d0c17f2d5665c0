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

// attempt is the state of one attempt at a request. It has a decode branch. Until the KV cache is
// imported, run.source is the branch to the runner that holds it.
type attempt struct {
	*run
	n      int
	decode *branch
	// chosen is the pair of runners that the policy chose when the decode was reserved.
	chosen pairing
}

// pairing is the policy's choice of a prefill and a decode runner, with their grants.
type pairing struct {
	route.Choice
	prefill, decode fleet.Grant
}

// close closes the decode branch. The source with the KV cache stays with the run.
func (a *attempt) close() {
	if a.decode != nil {
		a.decode.close()
		a.decode = nil
	}
}

// reserve chooses a pair of runners and opens the decode branch. A request on which work has
// started waits up to startedWait for a runner; a new request is shed at once.
func (a *attempt) reserve(ctx context.Context) error {
	deadline := time.Now().Add(startedWait)
	for {
		err := a.tryReserve(ctx)
		if err == nil || !a.started() || time.Now().After(deadline) {
			return err
		}
		var shed *ErrShed
		if !errors.As(err, &shed) {
			return err
		}
		if !sleep(ctx, a.g.jittered(startedRetryDelay)) {
			return ctx.Err()
		}
		clear(a.excluded)
	}
}

// tryReserve tries up to maxOpens runners, in the order of the policy, until one admits the decode.
func (a *attempt) tryReserve(ctx context.Context) error {
	var last error
	for range maxOpens {
		p, err := a.g.choose(a.run, a.cacheHolder(), nil)
		if err != nil {
			return a.shedError(err, last)
		}
		b, err := a.g.open(ctx, p.decode, a.newOpen(fleet.RoleDecode, &p))
		if err == nil {
			a.decode, a.chosen = b, p
			return nil
		}
		if last = a.recordFailure(ctx, p.decode, err); last != nil && ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return a.shedError(last, nil)
}

// cacheHolder returns the runner that holds the KV cache, or nil if there is no cache yet.
func (r *run) cacheHolder() *fleet.Member {
	if r.export == nil {
		return nil
	}
	return r.source.member
}

// recordFailure records that a runner refused or failed and returns the error; the caller then
// tries another runner. If the sidecar refused because its configuration is older than this
// gateway's, the gateway sends it the newer one, and the sidecar stays a candidate. r.retryAfter
// keeps the shortest Retry-After of all refusals; shedError may raise it.
func (r *run) recordFailure(ctx context.Context, g fleet.Grant, err error) error {
	var refused *ErrRefused
	if errors.As(err, &refused) {
		if refused.RetryAfter > 0 && (r.retryAfter == 0 || refused.RetryAfter < r.retryAfter) {
			r.retryAfter = refused.RetryAfter
		}
		if refused.Reason == wire.ReasonBehind && r.g.Agent.Exchange(ctx, g.Member.Inner) == nil {
			return err
		}
	}
	r.excluded[g.Member.Name] = true
	return err
}

// shedError returns the *ErrShed for a request for which no runner was found. err ended the search,
// last is the failure of the last runner tried, or nil.
func (r *run) shedError(err, last error) error {
	reason := "no_runner"
	var late *route.ErrLate
	var refused *ErrRefused
	switch {
	case errors.As(err, &late):
		reason = "late"
		r.retryAfter = max(r.retryAfter, late.RetryAfter())
	case errors.As(last, &refused):
		reason = refused.Reason
	case errors.As(err, &refused):
		reason = refused.Reason
	}
	r.retryAfter = max(r.retryAfter, minRetryAfter)
	return &ErrShed{Reason: reason, RetryAfter: r.retryAfter}
}

// minRetryAfter is the minimum Retry-After sent to a client whose request was shed.
const minRetryAfter = 200 * time.Millisecond

// newOpen returns the message that asks a sidecar to admit this attempt in the given role.
func (a *attempt) newOpen(role fleet.Role, p *pairing) *wirepb.Open {
	offset, _ := a.life.Progress()
	e := &p.Estimate
	d, _ := a.g.Keeper.Digest()
	// For a prefill, slack is the time until the KV cache must be ready. For a decode, it is the time
	// for which the start may wait for a slot.
	slack := a.timeLeft() - seconds(e.Transfer+e.Step+e.Network)
	if role == fleet.RoleDecode {
		slack = a.timeLeft() - seconds(e.FirstToken-e.Slot)
	}
	return &wirepb.Open{
		RequestId: a.req.ID, Attempt: uint32(a.n), Role: string(role),
		Kind: a.req.Kind, Model: a.selector.Model, Version: a.selector.Version, Adapter: a.selector.Adapter,
		Workspace: a.req.Workspace, Priority: int32(a.selector.Priority),
		PromptTokens: uint32(a.promptTokens), MaxTokens: uint32(a.req.MaxTokens), ResumeOffset: uint32(offset),
		Prompt:  a.req.Prompt,
		SlackUs: slack.Microseconds(), PerTokenUs: a.targetPer.Microseconds(),
		TargetUs: a.targetFirst.Microseconds(),
		NeedUs:   seconds(e.Queue + e.Prefill + e.Transfer).Microseconds(),
		Revision: d.Revision, Seed: a.seed(), Paid: a.started(),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// maxColocatedTokens is the longest prompt that a decode runner prefills itself. It is about the
// number of prompt tokens that an engine computes within one decode step.
const maxColocatedTokens = 512

// prefill computes the KV cache on a prefill runner and keeps that runner as the source. If no
// prefill runner can take a short prompt in time, the reserved decode runner computes it, provided
// that a selector gives that runner both roles. There is no source in this case.
func (a *attempt) prefill(ctx context.Context) error {
	err := a.tryPrefills(ctx)
	var shed *ErrShed
	if errors.As(err, &shed) && a.mayColocate() {
		return nil
	}
	return err
}

// mayColocate reports whether the reserved decode runner may also prefill the prompt.
func (a *attempt) mayColocate() bool {
	offset, _ := a.life.Progress()
	if a.decode == nil || a.promptTokens+offset > maxColocatedTokens {
		return false
	}
	return a.g.View().Select(a.req.Kind, a.req.Model, fleet.RolePrefill, a.decode.member.Labels) != nil
}

// tryPrefills tries up to maxOpens prefill runners, in the order of the policy.
func (a *attempt) tryPrefills(ctx context.Context) error {
	var last error
	p := a.chosen
	for i := range maxOpens {
		if i > 0 || p.N == 0 || a.excluded[p.prefill.Member.Name] {
			next, err := a.g.choose(a.run, nil, a.reserved())
			if err != nil {
				return a.shedError(err, last)
			}
			p = next
		}
		err := a.tryPrefill(ctx, &p)
		if err == nil || !neverRan(err) {
			return err
		}
		last = a.recordFailure(ctx, p.prefill, err)
	}
	return a.shedError(last, nil)
}

// reserved returns the instance of the reserved decode runner, or nil if none is reserved.
func (a *attempt) reserved() *fleet.Member {
	if a.decode == nil {
		return nil
	}
	return a.decode.member
}

// tryPrefill runs the prefill on one runner. The Open is itself the order to run: once it is sent,
// the request counts as possibly run, unless the runner reports that it did not start.
func (a *attempt) tryPrefill(ctx context.Context, p *pairing) error {
	if err := a.key.acquire(ctx); err != nil {
		return err
	}
	o := a.newOpen(fleet.RolePrefill, p)
	_, text := a.life.Progress()
	o.Prompt += text
	o.PromptTokens += o.ResumeOffset
	if err := a.life.Send(a.n); err != nil {
		return err
	}
	b, err := a.g.open(ctx, p.prefill, o)
	if err != nil {
		a.withdrawIfNotRun(err, nil)
		return err
	}
	a.g.Log.Add(trace.Event{Type: trace.Chosen, Request: a.req.ID, Attempt: a.n, Instance: b.member.Name, Detail: "role=prefill"})
	if err := a.awaitExport(ctx, b); err != nil {
		a.withdrawIfNotRun(err, b)
		b.close()
		return err
	}
	return nil
}

// neverRan reports whether the error proves that the runner did not start the order. If so, the
// same attempt may try another runner.
func neverRan(err error) bool {
	var refused *ErrRefused
	var broken *ErrBroken
	return errors.As(err, &refused) || errors.As(err, &broken) && broken.Never
}

// withdrawIfNotRun undoes life.Send if the runner certainly did not start the order. If the error
// does not prove it and the branch is open, the sidecar is asked to fence the attempt.
func (a *attempt) withdrawIfNotRun(err error, b *branch) {
	// The runner can also refuse after admission, if it drops the job for another one.
	if neverRan(err) || b != nil && b.fence() {
		a.life.Withdraw(a.n)
	}
}

// awaitExport waits until the prefill is done. If the branch of the reserved decode breaks in the
// meantime, the prefill continues and another decode is reserved afterwards.
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
				a.recordExport(b, x.Exported)
				return nil
			case *wirepb.Report_Refused:
				b.markFinished()
				return b.refusedError(x.Refused)
			case *wirepb.Report_Failed:
				b.markFinished()
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

// recordExport keeps the exported KV cache as the source for the decode.
func (r *run) recordExport(b *branch, x *wirepb.Exported) {
	r.source, r.export, r.stalls = b, x, 0
	r.computed = append(r.computed, int(x.PromptTokens-x.CachedTokens))
	r.g.prefixes.Add(r.blocks, b.runner.ID())
}
