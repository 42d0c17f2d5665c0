package sidecar

import (
	"errors"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/admission"
	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// Limits on the duration of an import. It counts as stalled when it takes
// longer than stallFactor times the transfer time at the estimated link rate,
// and longer than stallMin.
const (
	stallFactor = 6
	stallMin    = 300 * time.Millisecond
)

// decode reserves a stream on the engine, waits for the order to start, and
// relays the tokens.
func (a *attempt) decode() error {
	wait, err := a.s.reserve(a)
	if err != nil {
		var full *admission.ErrFull
		errors.As(err, &full)
		return a.refuse(&wirepb.Refused{Reason: wire.ReasonFull, RetryAfterUs: full.RetryAfter.Microseconds()})
	}
	defer a.s.unreserve(a.key)
	if err := a.admit(wait); err != nil {
		return err
	}
	var start *wirepb.Start
	select {
	case start = <-a.start:
	case <-a.ctx.Done():
		return a.fail(a.cause(), false)
	}
	if err := a.s.awaitSlot(a); err != nil {
		return a.fail(err, false)
	}
	if !a.s.fences.tryStart(a.key) {
		return a.fail(&ErrOrder{Want: "an attempt that was not fenced"}, false)
	}
	return a.generate(start)
}

// reserve records a stream in the ledger and returns how long it is expected to
// wait for a slot once its KV cache is ready.
func (s *Sidecar) reserve(a *attempt) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := int64(a.open.PromptTokens) + int64(a.open.MaxTokens)
	st := admission.Stream{
		ID: a.key, Bytes: tokens * s.kvPerToken, Tokens: int(a.open.MaxTokens - a.open.ResumeOffset),
		PerToken: time.Duration(a.open.PerTokenUs) * time.Microsecond,
	}
	if s.opt.Admission == AdmitFIFO {
		s.ledger.Add(st)
		return 0, nil
	}
	need := time.Duration(a.open.NeedUs) * time.Microsecond
	slack := time.Duration(a.open.SlackUs) * time.Microsecond
	return s.ledger.Reserve(time.Now(), need, slack, st)
}

func (s *Sidecar) unreserve(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Drop(key)
	s.startWaiters()
}

// slotWaiter is a stream whose KV cache is ready and that waits for a slot.
type slotWaiter struct {
	key   string
	since time.Time
	start chan struct{}
}

// bypassTime is how long a waiting stream lets smaller ones start before it. It
// is short because KV caches are kept for a few seconds only.
const bypassTime = time.Second

// shortStream is the maximum duration of a stream that may always start before
// a waiting one: it ends before it could delay a larger stream.
const shortStream = 250 * time.Millisecond

// awaitSlot waits until the engine has room for the stream. Streams start in
// the order in which their KV caches became ready, but a stream that does not
// fit yet lets others start before it for bypassTime. Streams no longer than
// shortStream may start before it at any time. In FIFO mode none may.
func (s *Sidecar) awaitSlot(a *attempt) error {
	w := &slotWaiter{key: a.key, since: time.Now(), start: make(chan struct{})}
	s.mu.Lock()
	s.slotWaiters = append(s.slotWaiters, w)
	s.startWaiters()
	s.mu.Unlock()
	select {
	case <-w.start:
		return nil
	case <-a.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slotWaiters = slices.DeleteFunc(s.slotWaiters, func(x *slotWaiter) bool { return x == w })
	s.startWaiters()
	return a.cause()
}

// startWaiters starts waiting streams while the engine has room. The caller
// holds s.mu.
func (s *Sidecar) startWaiters() {
	var waiting []*slotWaiter
	blocked := false
	fifo := s.opt.Admission == AdmitFIFO
	for _, w := range s.slotWaiters {
		short := !fifo && s.ledger.Duration(w.key) <= shortStream
		if (!blocked || short) && s.ledger.Start(w.key) {
			close(w.start)
			continue
		}
		waiting = append(waiting, w)
		blocked = blocked || fifo || time.Since(w.since) > bypassTime
	}
	s.slotWaiters = waiting
}

// generate runs the decode on the engine and relays its tokens.
func (a *attempt) generate(start *wirepb.Start) error {
	a.event(trace.Started, "role=decode")
	r := &relay{a: a, next: int(a.open.ResumeOffset), last: time.Now(), handedOver: make(chan engine.Export, 1)}
	done := make(chan struct{})
	defer close(done)
	go a.watchHandover(done, r)
	err := a.s.runDecode(a, a.decodeRequest(start), r)
	if err == nil {
		a.event(trace.Ended, "role=decode")
		a.s.unreserve(a.key) // Must precede a.s.load(), which reads the ledger.
		return a.send(&wirepb.Report{Load: a.s.load(), Body: &wirepb.Report_End{End: &wirepb.End{Tokens: uint32(r.next), Reason: r.reason}}})
	}
	if isCode(err, engine.CodeMoved) {
		return a.awaitHandedOver(r)
	}
	a.s.free(a.key)
	return a.fail(err, true)
}

func (a *attempt) decodeRequest(start *wirepb.Start) engine.Decode {
	d := engine.Decode{
		ID: a.key, Model: a.open.Model, Version: a.open.Version, Adapter: a.open.Adapter,
		Prompt: a.open.Prompt, PromptTokens: int(a.open.PromptTokens),
		Generated: start.Generated, Offset: int(a.open.ResumeOffset),
		MaxTokens: int(a.open.MaxTokens), Seed: a.open.Seed, Priority: int(a.open.Priority),
	}
	if start.Handle != "" {
		d.Source = &engine.Export{Handle: start.Handle, Address: start.SourceAddress, Bytes: int64(start.KvBytes)}
	}
	return d
}

// runDecode runs a decode on the engine and aborts it if its import stalls.
func (s *Sidecar) runDecode(a *attempt, d engine.Decode, r *relay) error {
	ctx, stall := stallContext(a.ctx, s.importTimeout(d))
	err := s.opt.Engine.Decode(ctx, d, func() { stall.done(); r.imported() }, r.token)
	if stall.fired() && a.ctx.Err() == nil {
		return &engine.ErrEngine{Code: engine.CodeStalled, Detail: d.ID}
	}
	return err
}

// importTimeout returns how long the import may take. Without a source the
// engine computes the prompt itself, which only the lease limits.
func (s *Sidecar) importTimeout(d engine.Decode) time.Duration {
	if d.Source == nil || s.opt.LinkRate <= 0 {
		return maxLease
	}
	ideal := time.Duration(float64(d.Source.Bytes) / s.opt.LinkRate * float64(time.Second))
	return max(stallFactor*ideal, stallMin)
}
