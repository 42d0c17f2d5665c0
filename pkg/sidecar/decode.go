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

// Bounds of an import: it counts as stalled when it takes stallFactor times
// what the link should need, and at least stallMin.
const (
	stallFactor = 6
	stallMin    = 300 * time.Millisecond
)

// decode reserves a stream, waits for the order to start, and relays tokens.
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
	if err := a.s.slot(a); err != nil {
		return a.fail(err, false)
	}
	if !a.s.fences.begin(a.key) {
		return a.fail(&ErrOrder{Want: "an attempt that was not fenced"}, false)
	}
	return a.generate(start)
}

// reserve records a stream with the ledger and returns how long its start will
// wait for its slot.
func (s *Sidecar) reserve(a *attempt) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := int64(a.open.PromptTokens) + int64(a.open.MaxTokens)
	st := admission.Stream{
		ID: a.key, Bytes: tokens * s.kvToken, Tokens: int(a.open.MaxTokens - a.open.ResumeOffset),
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
	s.nextStarter()
}

// starter is a stream whose KV cache is ready and that waits for its slot.
type starter struct {
	key   string
	since time.Time
	ok    chan struct{}
}

// starterPatience is how long a waiting stream lets smaller ones pass: KV caches
// are kept for a few seconds only.
const starterPatience = time.Second

// briefStream is the length of a stream that always passes: it ends before it
// could keep a larger one waiting.
const briefStream = 250 * time.Millisecond

// slot waits until the stream has room. Streams start in the order in which
// their KV caches became ready, but one that does not fit yet lets others pass
// for a while.
func (s *Sidecar) slot(a *attempt) error {
	w := &starter{key: a.key, since: time.Now(), ok: make(chan struct{})}
	s.mu.Lock()
	s.starters = append(s.starters, w)
	s.nextStarter()
	s.mu.Unlock()
	select {
	case <-w.ok:
		return nil
	case <-a.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starters = slices.DeleteFunc(s.starters, func(x *starter) bool { return x == w })
	s.nextStarter()
	return a.cause()
}

// nextStarter lets waiting streams start while there is room. The caller holds
// the lock.
func (s *Sidecar) nextStarter() {
	var waiting []*starter
	blocked := false
	fifo := s.opt.Admission == AdmitFIFO
	for _, w := range s.starters {
		brief := !fifo && s.ledger.Duration(w.key) <= briefStream
		if (!blocked || brief) && s.ledger.Start(w.key) {
			close(w.ok)
			continue
		}
		waiting = append(waiting, w)
		blocked = blocked || fifo || time.Since(w.since) > starterPatience
	}
	s.starters = waiting
}

// generate runs the decode on the engine and relays its tokens.
func (a *attempt) generate(start *wirepb.Start) error {
	a.event(trace.Started, "role=decode")
	r := &relay{a: a, next: int(a.open.ResumeOffset), last: time.Now(), moved: make(chan engine.Export, 1)}
	done := make(chan struct{})
	defer close(done)
	go a.watchHandover(done, r)
	err := a.s.decodeEngine(a, a.order(start), r)
	if err == nil {
		a.event(trace.Ended, "role=decode")
		a.s.unreserve(a.key) // Before the load is read for the report.
		return a.send(&wirepb.Report{Load: a.s.load(), Body: &wirepb.Report_End{End: &wirepb.End{Tokens: uint32(r.next), Reason: r.reason}}})
	}
	if isCode(err, engine.CodeMoved) {
		return a.awaitMoved(r)
	}
	a.s.free(a.key)
	return a.fail(err, true)
}

func (a *attempt) order(start *wirepb.Start) engine.Decode {
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

// decodeEngine runs a decode whose import must not stall.
func (s *Sidecar) decodeEngine(a *attempt, d engine.Decode, r *relay) error {
	ctx, stall := stallContext(a.ctx, s.importTime(d))
	err := s.opt.Engine.Decode(ctx, d, func() { stall.done(); r.imported() }, r.token)
	if stall.fired() && a.ctx.Err() == nil {
		return &engine.ErrEngine{Code: engine.CodeStalled, Detail: d.ID}
	}
	return err
}

// importTime is how long the import may take. Without a source the engine
// computes the prompt itself, which has no bound but the lease.
func (s *Sidecar) importTime(d engine.Decode) time.Duration {
	if d.Source == nil || s.opt.LinkRate <= 0 {
		return maxLease
	}
	ideal := time.Duration(float64(d.Source.Bytes) / s.opt.LinkRate * float64(time.Second))
	return max(stallFactor*ideal, stallMin)
}
