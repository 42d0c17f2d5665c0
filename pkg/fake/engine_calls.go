package fake

import (
	"context"
	"fmt"
	"time"

	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/prefix"
)

// Prefill implements engine.Engine.
func (e *Engine) Prefill(ctx context.Context, p engine.Prefill) (engine.Export, error) {
	salt := prefix.Salt(p.Model, p.Version, p.Adapter)
	bytes := int64(p.Tokens) * e.spec.KVPerToken
	j, err := e.queuePrefill(p, prefix.Blocks(nil, salt, p.Prompt), bytes, false)
	if err != nil {
		return engine.Export{}, err
	}
	if err := e.awaitPrefill(ctx, j); err != nil {
		return engine.Export{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return engine.Export{}, e.closedError()
	}
	x := e.addExport(p.ID, bytes, j)
	return x.Export, nil
}

// queuePrefill appends a prefill to the engine's queue. It reserves memory except
// for a local prefill, whose decode has reserved it.
func (e *Engine) queuePrefill(p engine.Prefill, blocks []uint64, bytes int64, local bool) (*prefillJob, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, e.closedError()
	}
	if !local {
		if e.kvUsed+bytes > e.spec.KVTotal {
			return nil, &engine.ErrEngine{Code: engine.CodeFull, Detail: "no memory for a prefill"}
		}
		e.kvUsed += bytes
	}
	e.beginWork(p.ID)
	cached := min(e.cache.match(blocks)*prefix.BlockTokens, p.Tokens-1)
	j := &prefillJob{call: p, left: p.Tokens - cached, cached: cached, blocks: blocks, bytes: bytes, local: local, finished: make(chan error, 1)}
	e.stats.Cached += int64(cached)
	e.prefills = append(e.prefills, j)
	e.signalWork()
	return j, nil
}

// awaitPrefill waits for the end of a prefill. It drops a prefill that failed or
// whose context ended.
func (e *Engine) awaitPrefill(ctx context.Context, j *prefillJob) error {
	var err error
	select {
	case err = <-j.finished:
		if err == nil {
			return nil
		}
	case <-ctx.Done():
		err = ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return e.closedError()
	}
	e.dropJob(j)
	e.stats.Wasted += int64(j.done)
	if !j.local {
		e.kvUsed -= j.bytes
	}
	return err
}

// addExport keeps a KV cache for import until ExportTTL has passed. The caller
// holds the lock.
func (e *Engine) addExport(id string, bytes int64, j *prefillJob) *export {
	e.lastHandle++
	x := &export{id: id, expires: time.Now().Add(e.spec.ExportTTL)}
	x.Export = engine.Export{Handle: fmt.Sprintf("%s/%d", e.address, e.lastHandle), Address: e.address, Bytes: bytes}
	if j != nil {
		x.Tokens, x.Cached, x.prefilled = j.call.Tokens, j.cached, int64(j.done)
	}
	e.exports[x.Handle] = x
	time.AfterFunc(e.spec.ExportTTL, func() { e.freeExport(x.Handle) })
	return x
}

// freeExport removes an export, if it still exists, and frees its memory.
func (e *Engine) freeExport(handle string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.exports[handle]
	if !ok {
		return
	}
	delete(e.exports, handle)
	e.kvUsed -= x.Bytes
	e.countWasted(x)
}

// Decode implements engine.Engine.
func (e *Engine) Decode(ctx context.Context, d engine.Decode, imported func(), token func(engine.Token) error) error {
	job, err := e.admitDecode(d)
	if err != nil {
		return err
	}
	if err := e.loadKV(ctx, job); err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.closed {
			e.kvUsed -= job.bytes
		}
		return err
	}
	imported()
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return e.closedError()
	}
	e.running = append(e.running, job)
	e.mu.Unlock()
	e.signalWork()
	return e.streamTokens(ctx, job, token)
}

// admitDecode reserves memory for the prompt and the longest possible response.
func (e *Engine) admitDecode(d engine.Decode) (*decodeJob, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, &engine.ErrUnreachable{Address: e.address, Err: errOutage}
	}
	bytes := int64(d.PromptTokens+d.MaxTokens) * e.spec.KVPerToken
	if e.kvUsed+bytes > e.spec.KVTotal || len(e.running) >= e.spec.BatchLimit {
		return nil, &engine.ErrEngine{Code: engine.CodeFull, Detail: "no memory for a stream"}
	}
	if d.Offset > 0 && d.Generated != Answer(d.Prompt, d.Offset) {
		e.stats.Wrong++
	}
	e.beginWork(d.ID)
	e.kvUsed += bytes
	job := &decodeJob{call: d, bytes: bytes, nextOffset: d.Offset, ended: make(chan error, 1)}
	job.tokens = make(chan engine.Token, d.MaxTokens-d.Offset+1)
	return job, nil
}

// loadKV imports the KV cache of a decode, or computes it if the decode has no
// source.
func (e *Engine) loadKV(ctx context.Context, job *decodeJob) error {
	if job.call.Source != nil {
		return e.fabric.transfer(ctx, job.call.Source)
	}
	d := job.call
	p := engine.Prefill{ID: d.ID, Tokens: d.PromptTokens + d.Offset, Priority: d.Priority}
	salt := prefix.Salt(d.Model, d.Version, d.Adapter)
	j, err := e.queuePrefill(p, prefix.Blocks(nil, salt, d.Prompt+d.Generated), 0, true)
	if err != nil {
		return err
	}
	return e.awaitPrefill(ctx, j)
}

// streamTokens passes the tokens of a stream to token until the final one.
func (e *Engine) streamTokens(ctx context.Context, job *decodeJob, token func(engine.Token) error) error {
	for {
		select {
		case t := <-job.tokens:
			if err := token(t); err != nil {
				e.abandon(job)
				return err
			}
			if t.Final {
				return nil
			}
		case err := <-job.ended:
			return err
		case <-ctx.Done():
			e.abandon(job)
			return ctx.Err()
		}
	}
}

func (e *Engine) abandon(job *decodeJob) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropDecode(job)
}

// Handover implements engine.Engine.
func (e *Engine) Handover(_ context.Context, id string) (engine.Export, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range e.running {
		if d.call.ID != id {
			continue
		}
		e.dropDecode(d)
		bytes := int64(d.call.PromptTokens+d.nextOffset) * e.spec.KVPerToken
		e.kvUsed += bytes
		x := e.addExport(id, bytes, nil)
		x.Tokens, x.Offset = d.call.PromptTokens+d.nextOffset, d.nextOffset
		x.Generated = Answer(d.call.Prompt, d.nextOffset)
		d.ended <- &engine.ErrEngine{Code: engine.CodeMoved}
		return x.Export, nil
	}
	return engine.Export{}, &engine.ErrEngine{Code: engine.CodeGone, Detail: id}
}

// Release implements engine.Engine.
func (e *Engine) Release(_ context.Context, handle string) error {
	e.freeExport(handle)
	return nil
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range append([]*decodeJob(nil), e.running...) {
		if d.call.ID == id && e.dropDecode(d) {
			d.ended <- &engine.ErrEngine{Code: engine.CodeGone, Detail: "cancelled"}
		}
	}
	for _, j := range append([]*prefillJob(nil), e.prefills...) {
		if j.call.ID == id {
			j.finished <- &engine.ErrEngine{Code: engine.CodeGone, Detail: "cancelled"}
		}
	}
	for h, x := range e.exports {
		if x.id == id {
			delete(e.exports, h)
			e.kvUsed -= x.Bytes
			e.countWasted(x)
		}
	}
	return nil
}

// Held implements engine.Engine.
func (e *Engine) Held(context.Context) ([]engine.Holding, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, &engine.ErrUnreachable{Address: e.address, Err: errOutage}
	}
	var all []engine.Holding
	for _, j := range e.prefills {
		all = append(all, engine.Holding{ID: j.call.ID, What: "prefill", Bytes: j.bytes})
	}
	for _, x := range e.exports {
		all = append(all, engine.Holding{ID: x.id, What: "export", Bytes: x.Bytes})
	}
	for _, d := range e.running {
		all = append(all, engine.Holding{ID: d.call.ID, What: "decode", Bytes: d.bytes})
	}
	return all, nil
}

// currentLoad returns the load without the report lag. The caller holds the lock.
func (e *Engine) currentLoad() engine.Load {
	l := engine.Load{
		Running: len(e.running), BatchLimit: e.spec.BatchLimit,
		KVUsed: e.kvUsed, KVTotal: e.spec.KVTotal, KVPerToken: e.spec.KVPerToken,
		Fence: e.fence, Assigned: e.assigned,
	}
	for _, j := range e.prefills {
		l.QueuedTokens += j.left
	}
	return l
}

// Load implements engine.Engine.
func (e *Engine) Load(context.Context) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return engine.Load{}, &engine.ErrUnreachable{Address: e.address, Err: errOutage}
	}
	old := time.Now().Add(-e.spec.ReportLag)
	l := e.currentLoad()
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].at.Before(old) {
			r := e.reports[i].load
			l.Running, l.KVUsed, l.QueuedTokens = r.Running, r.KVUsed, r.QueuedTokens
			break
		}
	}
	return l, nil
}

// KVUsed returns the KV cache memory in use in bytes, without the report lag.
func (e *Engine) KVUsed() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.kvUsed
}

// recordCacheEvent records a cache event, or loses it if its sequence number is a
// multiple of EventGap. The caller holds the lock.
func (e *Engine) recordCacheEvent(block uint64, evicted bool) {
	e.sequence++
	if e.spec.EventGap > 0 && e.sequence%e.spec.EventGap == 0 {
		return
	}
	e.events = append(e.events, cacheEvent{time.Now(), engine.CacheEvent{Sequence: e.sequence, Block: block, Evicted: evicted}})
	if len(e.events) > 2*eventWindow {
		e.events = append([]cacheEvent(nil), e.events[eventWindow:]...)
	}
}

// eventWindow is the number of most recent cache events that an engine always
// keeps.
const eventWindow = 4096

// Events implements engine.Engine.
func (e *Engine) Events(_ context.Context, after uint64) ([]engine.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := time.Now().Add(-e.spec.ReportLag)
	var out []engine.CacheEvent
	for _, ev := range e.events {
		if ev.Sequence > after && ev.at.Before(old) {
			out = append(out, ev.CacheEvent)
		}
	}
	return out, nil
}

// Assign implements engine.Engine.
func (e *Engine) Assign(_ context.Context, f engine.Fence, a engine.Assignment) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.spec.ChecksFence && f.Less(e.fence) {
		return &engine.ErrEngine{Code: engine.CodeFenced, Detail: fmt.Sprintf("newest=%v", e.fence)}
	}
	e.fence, e.assigned = f, a
	return nil
}
