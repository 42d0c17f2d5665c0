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

// fullRetry is the wait before an engine without room is asked again.
const fullRetry = 20 * time.Millisecond

// gaveWayRetry is when a prefill that gave way to others is worth another try.
const gaveWayRetry = 500 * time.Millisecond

// fifoStep keeps a baseline's jobs in order of arrival: each one's deadline is
// later than that of all before.
const fifoStep = time.Hour

// prefill queues the prompt, computes its KV cache and holds it until the
// gateway releases it.
func (a *attempt) prefill() error {
	hashes := blocks(a.open.Model, a.open.Version, a.open.Adapter, a.open.Prompt)
	turn := make(chan bool, 1)
	wait, err := a.s.enqueue(a, hashes, turn)
	var late *admission.ErrLate
	if errors.As(err, &late) {
		return a.refuse(&wirepb.Refused{Reason: wire.ReasonLate, RetryAfterUs: late.RetryAfter.Microseconds()})
	}
	defer a.s.dequeue(a.key)
	if err := a.admit(wait); err != nil {
		return err
	}
	select {
	case run := <-turn:
		if !run {
			return a.refuse(&wirepb.Refused{Reason: wire.ReasonLate, RetryAfterUs: gaveWayRetry.Microseconds()})
		}
	case <-a.ctx.Done():
		return a.fail(a.cause(), false)
	}
	if !a.s.fences.begin(a.key) {
		return a.fail(&ErrOrder{Want: "an attempt that was not fenced"}, false)
	}
	x, err := a.compute()
	if err != nil {
		a.s.free(a.key)
		return a.fail(err, true)
	}
	a.s.dequeue(a.key)
	a.s.cached.Add(hashes, ownID)
	return a.hold(x)
}

// compute runs the prefill on the engine, which may have no room at first.
func (a *attempt) compute() (engine.Export, error) {
	p := engine.Prefill{
		ID: a.key, Model: a.open.Model, Version: a.open.Version, Adapter: a.open.Adapter,
		Prompt: a.open.Prompt, Tokens: int(a.open.PromptTokens), Priority: a.urgency(),
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
		a.s.stuck(a.key, true)
		select {
		case <-time.After(fullRetry):
		case <-a.ctx.Done():
			return x, a.cause()
		}
		a.s.stuck(a.key, false)
	}
}

// urgency is the engine's priority: the earlier the queue's deadline for the
// prefill, the larger, so that the engine's order is the queue's.
func (a *attempt) urgency() int {
	if a.s.opt.Admission == AdmitFIFO {
		return 0
	}
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	return -int(a.s.queue.Deadline(a.key).UnixMilli())
}

// deadline is when the KV cache must be ready.
func (a *attempt) deadline() time.Time {
	return a.at.Add(time.Duration(a.open.SlackUs) * time.Microsecond)
}

// hold keeps the export until it is released or its lease ends.
func (a *attempt) hold(x engine.Export) error {
	a.event(trace.Exported, "")
	a.s.transfer(1)
	err := a.send(&wirepb.Report{Load: a.s.load(), Body: &wirepb.Report_Exported{Exported: exported(x)}})
	if err == nil {
		select {
		case <-a.release:
		case <-a.ctx.Done():
			err = a.cause()
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), engineTime)
	defer cancel()
	if e := a.s.opt.Engine.Release(ctx, x.Handle); e != nil {
		a.s.free(a.key)
	}
	a.event(trace.Freed, "role=prefill")
	a.s.transfer(-1)
	if err != nil {
		return a.fail(err, true)
	}
	return a.send(&wirepb.Report{Load: a.s.load(), Body: &wirepb.Report_End{End: &wirepb.End{}}})
}

func exported(x engine.Export) *wirepb.Exported {
	return &wirepb.Exported{
		Handle: x.Handle, Address: x.Address, Bytes: uint64(x.Bytes),
		PromptTokens: uint32(x.Tokens), CachedTokens: uint32(x.Cached),
		Offset: uint32(x.Offset), Generated: x.Generated,
	}
}

// enqueue admits a prefill to the queue. Turn gets true when it may run, and
// false when it must give way to others and never will.
func (s *Sidecar) enqueue(a *attempt, hashes []uint64, turn chan bool) (time.Duration, error) {
	tokens := int(a.open.PromptTokens)
	state := []route.State{{ID: ownID}}
	s.cached.Fill(hashes, prefix.BlockTokens, tokens, state)
	j := admission.Job{
		ID: a.key, Tokens: max(1, tokens-state[0].Cached), Deadline: a.deadline(),
		Target:   time.Duration(a.open.TargetUs) * time.Microsecond,
		Priority: int(a.open.Priority), Workspace: a.open.Workspace, Paid: a.open.Paid,
	}
	if s.opt.Admission == AdmitFIFO {
		j.Deadline, j.Target = a.at.Add(fifoStep), fifoStep
		j.Paid = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wait, gaveWay, err := s.queue.Admit(time.Now(), j)
	if err != nil {
		return 0, err
	}
	for _, key := range gaveWay {
		offer(s.waiting[key], false)
		delete(s.waiting, key)
	}
	s.waiting[a.key] = turn
	s.dispatch()
	return wait, nil
}

// dequeue drops a prefill from the queue, whose place goes to the next one.
func (s *Sidecar) dequeue(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, key)
	if s.queue.Remove(time.Now(), key) {
		s.dispatch()
	}
}

// stuck records that the engine has no memory for a prefill, which lets others go
// before it, or that it is tried again.
func (s *Sidecar) stuck(key string, stuck bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Stuck(time.Now(), key, stuck)
	s.dispatch()
}

// dispatch lets prefills run while the queue says so. The caller holds the lock.
func (s *Sidecar) dispatch() {
	for {
		j := s.queue.Next(time.Now())
		if j == nil {
			return
		}
		offer(s.waiting[j.ID], true)
	}
}

// transfer counts exports that wait for their import.
func (s *Sidecar) transfer(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfers += n
}

// observePrefill learns the engine's speed from a prefill that shared it with no
// other.
func (s *Sidecar) observePrefill(key string, x engine.Export) {
	s.met.prefilled.Add(x.Tokens - x.Cached)
	s.met.found.Add(x.Cached)
	s.mu.Lock()
	defer s.mu.Unlock()
	if took, alone := s.queue.Alone(time.Now(), key); alone {
		s.speed.Observe(x.Tokens-x.Cached, took)
		s.queue.Rate = s.speed.Rate()
	}
}
