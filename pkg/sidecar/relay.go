package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// relay passes an engine's tokens on to the gateway.
type relay struct {
	a      *attempt
	next   int
	reason string
	last   time.Time
	moved  chan engine.Export
}

// imported tells the gateway that the export is not needed any more.
func (r *relay) imported() {
	r.a.event(trace.Imported, "")
	r.last = time.Now()
	_ = r.a.send(&wirepb.Report{Body: &wirepb.Report_Imported{Imported: &wirepb.Imported{}}})
}

// token passes one token on. Tokens must come in order and without a gap.
func (r *relay) token(t engine.Token) error {
	if t.Offset != r.next {
		return &engine.ErrEngine{Code: engine.CodeBroken, Detail: fmt.Sprintf("token %d after %d", t.Offset, r.next)}
	}
	r.next++
	now := time.Now()
	r.a.s.progress(r.a.key, now.Sub(r.last))
	r.last = now
	if t.Final {
		r.reason = t.Reason
	}
	return r.a.send(&wirepb.Report{Body: &wirepb.Report_Chunk{Chunk: &wirepb.Chunk{
		Attempt: r.a.open.Attempt, Offset: uint32(t.Offset), Tokens: 1, Text: t.Text, Final: t.Final, Reason: t.Reason,
	}}})
}

// progress records a token and learns the step time from its distance to the last.
func (s *Sidecar) progress(key string, took time.Duration) {
	s.met.decoded.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Progress(key, 1)
	running, _, _ := s.ledger.Usage()
	s.step.Observe(running, took)
}

// watchHandover moves a running decode away when the gateway asks for it.
func (a *attempt) watchHandover(done <-chan struct{}, r *relay) {
	select {
	case <-a.handover:
	case <-done:
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, engineTime)
	defer cancel()
	x, err := a.s.opt.Engine.Handover(ctx, a.key)
	if err != nil {
		a.s.log.Info("handover refused", "attempt", a.key, "err", err)
		return
	}
	r.moved <- x
}

// awaitMoved reports the export of a decode that was handed over and holds it.
func (a *attempt) awaitMoved(r *relay) error {
	select {
	case x := <-r.moved:
		a.s.unreserve(a.key)
		return a.hold(x)
	case <-a.ctx.Done():
		a.s.free(a.key)
		return a.fail(a.cause(), true)
	}
}
