package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// relay forwards the tokens of a decode from the engine to the gateway.
type relay struct {
	a *attempt
	// next is the offset of the next token.
	next int
	// reason is why the engine ended the stream.
	reason string
	// last is when the previous token arrived or the import ended.
	last time.Time
	// handedOver receives the export of a decode that was handed over.
	handedOver chan engine.Export
}

// imported reports to the gateway that the export is no longer needed.
func (r *relay) imported() {
	r.a.event(trace.Imported, "")
	r.last = time.Now()
	_ = r.a.send(&wirepb.Report{Body: &wirepb.Report_Imported{Imported: &wirepb.Imported{}}})
}

// token forwards one token. Tokens must arrive in order and without a gap.
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

// progress records a token and updates the estimate of the step time with the
// time since the previous token.
func (s *Sidecar) progress(key string, took time.Duration) {
	s.metrics.decoded.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Progress(key, 1)
	running, _, _ := s.ledger.Usage()
	s.step.Observe(running, took)
}

// watchHandover makes the engine hand a running decode over when the gateway
// orders it or handOverUnfinished selects the stream.
func (a *attempt) watchHandover(done <-chan struct{}, r *relay) {
	select {
	case <-a.handover:
	case <-done:
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, engineTimeout)
	defer cancel()
	x, err := a.s.opt.Engine.Handover(ctx, a.key)
	if err != nil {
		a.s.log.Info("handover refused", "attempt", a.key, "err", err)
		return
	}
	r.handedOver <- x
}

// awaitHandedOver waits for the export of a decode that was handed over, reports it
// to the gateway and holds it.
func (a *attempt) awaitHandedOver(r *relay) error {
	select {
	case x := <-r.handedOver:
		a.s.unreserve(a.key)
		return a.holdExport(x)
	case <-a.ctx.Done():
		a.s.free(a.key)
		return a.fail(a.cause(), true)
	}
}
