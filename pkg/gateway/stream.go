package gateway

import (
	"context"
	"time"

	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// generate starts the decode, with the KV cache from the source if there is one, and relays the
// response.
func (a *attempt) generate(ctx context.Context) error {
	if err := a.deliverGenerated(); err != nil {
		return err
	}
	if err := a.key.acquire(ctx); err != nil {
		return err
	}
	if err := a.life.Send(a.n); err != nil {
		return err
	}
	_, text := a.life.Progress()
	a.g.Log.Add(trace.Event{Type: trace.Chosen, Request: a.req.ID, Attempt: a.n, Instance: a.decode.member.Name, Detail: "role=decode"})
	start := &wirepb.Start{SourceAddress: a.export.GetAddress(), Handle: a.export.GetHandle(), KvBytes: a.export.GetBytes(), Generated: text}
	if err := a.decode.send(&wirepb.Order{Body: &wirepb.Order_Start{Start: start}}); err != nil {
		a.excluded[a.decode.member.Name] = true
		return a.decode.failure("lost")
	}
	return a.relay(ctx)
}

// deliverGenerated delivers the tokens that the previous decode runner generated before the
// handover and that the gateway did not receive.
func (a *attempt) deliverGenerated() error {
	delivered, text := a.life.Progress()
	missing := int(a.export.GetOffset()) - delivered
	if missing <= 0 || len(a.export.GetGenerated()) < len(text) {
		return nil
	}
	return a.acceptTokens(delivered, missing, a.export.Generated[len(text):])
}

// acceptTokens adds tokens to the response and delivers those that are next in order to the client.
func (a *attempt) acceptTokens(offset, tokens int, text string) error {
	ready, err := a.life.Chunk(a.n, offset, tokens, text)
	if err != nil {
		return err
	}
	return a.deliver(ready, tokens)
}

// relay handles the reports of the decode until the response ends.
func (a *attempt) relay(ctx context.Context) error {
	b := a.decode
	gap := time.NewTimer(a.g.opt.Lease * maxAttempts)
	defer gap.Stop()
	for {
		select {
		case r, ok := <-b.reports:
			if !ok {
				return a.decodeLost(b.failure("lost"))
			}
			done, err := a.handleReport(r)
			if done || err != nil {
				return err
			}
			if a.source == nil {
				gap.Reset(maxChunkGap)
			}
		case <-gap.C:
			b.cancelCtx()
			return a.decodeLost(b.failure("silent"))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handleReport handles one report of the decode and reports whether the response is complete.
func (a *attempt) handleReport(r *wirepb.Report) (bool, error) {
	switch x := r.Body.(type) {
	case *wirepb.Report_Imported:
		if a.export == nil {
			offset, _ := a.life.Progress()
			a.computed = append(a.computed, a.promptTokens+offset)
		}
		a.releaseExport()
	case *wirepb.Report_Chunk:
		return a.handleChunk(x.Chunk)
	case *wirepb.Report_End:
		a.decode.markFinished()
		a.finishReason = x.End.Reason
		return true, a.life.End(a.n, int(x.End.Tokens))
	case *wirepb.Report_Exported:
		return false, a.handleHandover(x.Exported)
	case *wirepb.Report_Failed:
		a.decode.markFinished()
		return false, a.decodeFailed(x.Failed)
	}
	return false, nil
}

// handleChunk handles a chunk of tokens. After the final chunk the response is complete, even if
// the stream breaks afterwards.
func (a *attempt) handleChunk(c *wirepb.Chunk) (bool, error) {
	if err := a.acceptTokens(int(c.Offset), int(c.Tokens), c.Text); err != nil {
		return false, err
	}
	if !c.Final {
		return false, nil
	}
	a.finishReason = c.Reason
	return true, a.life.End(a.n, int(c.Offset+c.Tokens))
}

// releaseExport notifies the prefill runner that its export was imported.
func (r *run) releaseExport() {
	if r.source == nil {
		return
	}
	r.source.runner.Moved()
	_ = r.source.send(&wirepb.Order{Body: &wirepb.Order_Release{Release: &wirepb.Release{}}})
	r.source.markFinished()
	r.releaseSource()
}

// handleHandover records that a leaving runner handed its decode over. The next attempt imports the
// KV cache from that runner.
func (a *attempt) handleHandover(x *wirepb.Exported) error {
	from := a.decode
	a.excluded[from.member.Name] = true
	a.decode = nil
	a.source, a.export, a.stalls = from, x, 0
	return &ErrBroken{Instance: from.member.Name, Code: engine.CodeMoved}
}

// decodeLost records that the stream to the decode runner broke.
func (a *attempt) decodeLost(err error) error {
	a.excluded[a.decode.member.Name] = true
	if a.source != nil && a.source.role == fleet.RolePrefill {
		a.releaseSourceIfBroken()
	}
	return err
}

// decodeFailed handles a failure report and keeps what the next attempt can reuse.
func (a *attempt) decodeFailed(f *wirepb.Failed) error {
	a.excluded[a.decode.member.Name] = true
	switch f.Code {
	case engine.CodeStalled:
		a.handleStall()
	case engine.CodeGone:
		a.releaseSource()
	}
	if !f.Started {
		a.life.Withdraw(a.n)
	}
	return &ErrBroken{Instance: a.decode.member.Name, Code: f.Code, Never: !f.Started}
}

// handleStall handles a transfer that made no progress. A short prompt is computed again on another
// runner at once. For a long prompt the transfer is retried once, to another runner.
func (a *attempt) handleStall() {
	if a.source == nil {
		return
	}
	a.source.runner.Stalled(time.Now(), a.g.Jitter())
	a.stalls++
	if a.stalls > 1 || a.promptTokens < maxRecomputeTokens {
		a.excluded[a.source.member.Name] = true
		a.releaseSource()
	}
}

// maxRecomputeTokens is the prompt length below which a prompt is prefilled again after a stalled
// transfer, in place of a second transfer. Computing it takes about as long as detecting a stall.
const maxRecomputeTokens = 3000

// releaseSourceIfBroken releases the source if its branch is broken.
func (r *run) releaseSourceIfBroken() {
	select {
	case <-r.source.broken:
		r.releaseSource()
	default:
	}
}
