package gateway

import (
	"context"
	"time"

	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// generate starts the decode from the source and relays the answer.
func (a *attempt) generate(ctx context.Context) error {
	if err := a.catchUp(); err != nil {
		return err
	}
	if err := a.key.take(ctx); err != nil {
		return err
	}
	if err := a.life.Send(a.n); err != nil {
		return err
	}
	_, text := a.life.Progress()
	a.g.Log.Add(trace.Event{Type: trace.Chosen, Request: a.req.ID, Attempt: a.n, Instance: a.decode.member.Name, Detail: "role=decode"})
	start := &wirepb.Start{SourceAddress: a.export.GetAddress(), Handle: a.export.GetHandle(), KvBytes: a.export.GetBytes(), Generated: text}
	if err := a.decode.order(&wirepb.Order{Body: &wirepb.Order_Start{Start: start}}); err != nil {
		a.excluded[a.decode.member.Name] = true
		return a.decode.failure("lost")
	}
	return a.relay(ctx)
}

// catchUp delivers what a handed-over decode generated beyond what came here.
func (a *attempt) catchUp() error {
	have, text := a.life.Progress()
	more := int(a.export.GetOffset()) - have
	if more <= 0 || len(a.export.GetGenerated()) < len(text) {
		return nil
	}
	return a.accept(have, more, a.export.Generated[len(text):])
}

// accept passes a run of tokens through the request's order to the caller.
func (a *attempt) accept(offset, tokens int, text string) error {
	ready, err := a.life.Chunk(a.n, offset, tokens, text)
	if err != nil {
		return err
	}
	return a.deliver(ready, tokens)
}

// relay takes the decode's reports until its end.
func (a *attempt) relay(ctx context.Context) error {
	b := a.decode
	gap := time.NewTimer(a.g.opt.Lease * maxTries)
	defer gap.Stop()
	for {
		select {
		case r, ok := <-b.reports:
			if !ok {
				return a.decodeLost(b.failure("lost"))
			}
			done, err := a.take(r)
			if done || err != nil {
				return err
			}
			if a.source == nil {
				gap.Reset(chunkGap)
			}
		case <-gap.C:
			b.cancelCtx()
			return a.decodeLost(b.failure("silent"))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// take handles one report of the decode and reports whether it was the last.
func (a *attempt) take(r *wirepb.Report) (bool, error) {
	switch x := r.Body.(type) {
	case *wirepb.Report_Imported:
		if a.export == nil {
			offset, _ := a.life.Progress()
			a.computed = append(a.computed, a.tokens+offset)
		}
		a.release()
	case *wirepb.Report_Chunk:
		return a.chunk(x.Chunk)
	case *wirepb.Report_End:
		a.decode.finished()
		a.reason = x.End.Reason
		return true, a.life.End(a.n, int(x.End.Tokens))
	case *wirepb.Report_Exported:
		return false, a.moved(x.Exported)
	case *wirepb.Report_Failed:
		a.decode.finished()
		return false, a.decodeFailed(x.Failed)
	}
	return false, nil
}

// chunk takes a run of tokens. After the last one the answer is whole, whatever
// becomes of the stream.
func (a *attempt) chunk(c *wirepb.Chunk) (bool, error) {
	if err := a.accept(int(c.Offset), int(c.Tokens), c.Text); err != nil {
		return false, err
	}
	if !c.Final {
		return false, nil
	}
	a.reason = c.Reason
	return true, a.life.End(a.n, int(c.Offset+c.Tokens))
}

// release tells the prefill runner that its export was imported.
func (r *run) release() {
	if r.source == nil {
		return
	}
	r.source.runner.Moved()
	_ = r.source.order(&wirepb.Order{Body: &wirepb.Order_Release{Release: &wirepb.Release{}}})
	r.source.finished()
	r.dropSource()
}

// moved takes over a decode that its leaving runner handed over: the next
// attempt imports from there.
func (a *attempt) moved(x *wirepb.Exported) error {
	from := a.decode
	a.excluded[from.member.Name] = true
	a.decode = nil
	a.source, a.export, a.stalls = from, x, 0
	return &ErrBroken{Instance: from.member.Name, Code: engine.CodeMoved}
}

// decodeLost records a decode runner that broke off.
func (a *attempt) decodeLost(err error) error {
	a.excluded[a.decode.member.Name] = true
	if a.source != nil && a.source.role == fleet.RolePrefill {
		a.keepOrDrop()
	}
	return err
}

// decodeFailed decides what of the attempt can be used again.
func (a *attempt) decodeFailed(f *wirepb.Failed) error {
	a.excluded[a.decode.member.Name] = true
	switch f.Code {
	case engine.CodeStalled:
		a.stalled()
	case engine.CodeGone:
		a.dropSource()
	}
	if !f.Started {
		a.life.Withdraw(a.n)
	}
	return &ErrBroken{Instance: a.decode.member.Name, Code: f.Code, Never: !f.Started}
}

// stalled decides what to do about a transfer that made no progress. What costs
// little is computed again elsewhere at once; for a long prompt the transfer is
// tried once more, to another runner.
func (a *attempt) stalled() {
	if a.source == nil {
		return
	}
	a.source.runner.Stalled(time.Now(), a.g.Jitter())
	a.stalls++
	if a.stalls > 1 || a.tokens < cheapTokens {
		a.excluded[a.source.member.Name] = true
		a.dropSource()
	}
}

// cheapTokens is the length of a prompt that is computed again rather than
// waiting for a second transfer: about what takes as long as noticing a stall.
const cheapTokens = 3000

// keepOrDrop keeps the source while its branch lives.
func (r *run) keepOrDrop() {
	select {
	case <-r.source.broken:
		r.dropSource()
	default:
	}
}
