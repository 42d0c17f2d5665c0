package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/hopwell/hopwell/pkg/admission"
	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/prefix"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// fullRetry is the delay before a prefill is retried on an engine that had no
// memory for it.
const fullRetry = 20 * time.Millisecond

// displacedRetryAfter is the Retry-After of a prefill that other prefills
// displaced from the queue.
const displacedRetryAfter = 500 * time.Millisecond

// fifoTarget is the time from arrival to the deadline of every job in FIFO
// mode, in place of the request's target. Deadlines then follow the order of
// arrival: each is later than those of all earlier jobs.
const fifoTarget = time.Hour

// prefill queues the prompt, computes its KV cache and holds it until the
// gateway releases it.
func (a *attempt) prefill() error {
	hashes := promptBlocks(a.open.Model, a.open.Version, a.open.Adapter, a.open.Prompt)
	decision := make(chan bool, 1)
	wait, err := a.s.enqueue(a, hashes, decision)
	var late *admission.ErrLate
	if errors.As(err, &late) {
		return a.refuse(&wirepb.Refused{Reason: wire.ReasonLate, RetryAfterUs: late.RetryAfter.Microseconds()})
	}
	defer a.s.dequeue(a.key)
	if err := a.admit(wait); err != nil {
		return err
	}
	select {
	case run := <-decision:
		if !run {
			return a.refuse(&wirepb.Refused{Reason: wire.ReasonLate, RetryAfterUs: displacedRetryAfter.Microseconds()})
		}
	case <-a.ctx.Done():
		return a.fail(a.cause(), false)
	}
	if !a.s.fences.tryStart(a.key) {
		return a.fail(&ErrOrder{Want: "an attempt that was not fenced"}, false)
	}
	x, err := a.compute()
	if err != nil {
		a.s.free(a.key)
		return a.fail(err, true)
	}
	a.s.dequeue(a.key)
	a.s.cached.Add(hashes, ownID)
	return a.holdExport(x)
}

// compute runs the prefill on the engine, and retries while the engine has no
// memory for it.
func (a *attempt) compute() (engine.Export, error) {
	p := engine.Prefill{
		ID: a.key, Model: a.open.Model, Version: a.open.Version, Adapter: a.open.Adapter,
		Prompt: a.open.Prompt, Tokens: int(a.open.PromptTokens), Priority: a.enginePriority(),
	}
	a.event(trace.Started, "role=prefill")
	for {
		x, err := a.s.opt.Engine.Prefill(a.ctx, p)
		if err == nil {
			a.s.observePrefill(a.key, x)
			return x, nil
		}
		if !isCode(err, engine.CodeFull) {
			return x, err
		}
		a.s.setStuck(a.key, true)
		select {
		case <-time.After(fullRetry):
		case <-a.ctx.Done():
			return x, a.cause()
		}
		a.s.setStuck(a.key, false)
	}
}

// enginePriority returns the priority for the engine. It rises as the queue's
// deadline for the prefill gets earlier, so the engine runs prefills in the
// queue's order.
func (a *attempt) enginePriority() int {
	if a.s.opt.Admission == AdmitFIFO {
		return 0
	}
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	return -int(a.s.queue.Deadline(a.key).UnixMilli())
}

// deadline returns when the KV cache must be ready.
func (a *attempt) deadline() time.Time {
	return a.openedAt.Add(time.Duration(a.open.SlackUs) * time.Microsecond)
}

// holdExport holds the exported KV cache until the gateway releases it or the
// lease ends.
func (a *attempt) holdExport(x engine.Export) error {
	a.event(trace.Exported, "")
	a.s.addTransfers(1)
	err := a.send(&wirepb.Report{Load: a.s.load(), Body: &wirepb.Report_Exported{Exported: exportReport(x)}})
	if err == nil {
		select {
		case <-a.release:
		case <-a.ctx.Done():
			err = a.cause()
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), engineTimeout)
	defer cancel()
	if e := a.s.opt.Engine.Release(ctx, x.Handle); e != nil {
		a.s.free(a.key)
	}
	a.event(trace.Freed, "role=prefill")
	a.s.addTransfers(-1)
	if err != nil {
		return a.fail(err, true)
	}
	return a.send(&wirepb.Report{Load: a.s.load(), Body: &wirepb.Report_End{End: &wirepb.End{}}})
}

func exportReport(x engine.Export) *wirepb.Exported {
	return &wirepb.Exported{
		Handle: x.Handle, Address: x.Address, Bytes: uint64(x.Bytes),
		PromptTokens: uint32(x.Tokens), CachedTokens: uint32(x.Cached),
		Offset: uint32(x.Offset), Generated: x.Generated,
	}
}

// enqueue admits a prefill to the queue. decision receives true when the
// prefill may run, and false when other prefills displaced it from the queue.
func (s *Sidecar) enqueue(a *attempt, hashes []uint64, decision chan bool) (time.Duration, error) {
	tokens := int(a.open.PromptTokens)
	state := []route.State{{ID: ownID}}
	s.cached.Fill(hashes, prefix.BlockTokens, tokens, state)
	j := admission.Job{
		ID: a.key, Tokens: max(1, tokens-state[0].Cached), Deadline: a.deadline(),
		Target:   time.Duration(a.open.TargetUs) * time.Microsecond,
		Priority: int(a.open.Priority), Workspace: a.open.Workspace, Paid: a.open.Paid,
	}
	if s.opt.Admission == AdmitFIFO {
		j.Deadline, j.Target = a.openedAt.Add(fifoTarget), fifoTarget
		j.Paid = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wait, displaced, err := s.queue.Admit(time.Now(), j)
	if err != nil {
		return 0, err
	}
	for _, key := range displaced {
		trySend(s.decisions[key], false)
		delete(s.decisions, key)
	}
	s.decisions[a.key] = decision
	s.dispatch()
	return wait, nil
}

// dequeue removes a prefill from the queue and lets the next one run.
func (s *Sidecar) dequeue(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.decisions, key)
	if s.queue.Remove(time.Now(), key) {
		s.dispatch()
	}
}

// setStuck records whether the engine has no memory for a prefill, so that others
// run before it. The record is cleared when the prefill is retried.
func (s *Sidecar) setStuck(key string, stuck bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Stuck(time.Now(), key, stuck)
	s.dispatch()
}

// dispatch lets prefills run as long as the queue selects one. The caller holds
// s.mu.
func (s *Sidecar) dispatch() {
	for {
		j := s.queue.Next(time.Now())
		if j == nil {
			return
		}
		trySend(s.decisions[j.ID], true)
	}
}

// addTransfers adds n to the number of exports that wait for their import.
func (s *Sidecar) addTransfers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfers += n
}

// observePrefill counts a prefill's tokens. If the prefill had the engine to
// itself, it also updates the estimate of the engine's speed.
func (s *Sidecar) observePrefill(key string, x engine.Export) {
	s.metrics.prefilled.Add(x.Tokens - x.Cached)
	s.metrics.cached.Add(x.Cached)
	s.mu.Lock()
	defer s.mu.Unlock()
	if took, alone := s.queue.Alone(time.Now(), key); alone {
		s.speed.Observe(x.Tokens-x.Cached, took)
		s.queue.Rate = s.speed.Rate()
	}
}
