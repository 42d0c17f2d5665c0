package fake

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/prefix"
)

// Spec gives the speeds and sizes of a fake engine.
type Spec struct {
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// StepBase and StepSlope give the time of a decode step: base + slope × batch.
	StepBase, StepSlope time.Duration
	// BatchLimit is the largest decode batch.
	BatchLimit int
	// KVTotal is the memory for KV caches and KVPerToken what a token takes, in bytes.
	KVTotal, KVPerToken int64
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// LinkRate is shared by all exports that leave the engine, in bytes a second.
	LinkRate float64
	// ExportTTL is how long an export is kept.
	ExportTTL time.Duration
	// ReportLag delays load reports and cache events; each EventGap-th event is lost.
	ReportLag time.Duration
	EventGap  uint64
	// ChecksFence is false for an engine that takes any order.
	ChecksFence bool
}

// DefaultSpec is a model engine of the brief's kind: full at a few tens of
// requests, with a prefill that costs hundreds of output tokens.
func DefaultSpec() Spec {
	return Spec{
		PrefillRate: 12000,
		StepBase:    14 * time.Millisecond,
		StepSlope:   900 * time.Microsecond,
		BatchLimit:  40,
		KVTotal:     16 << 30,
		KVPerToken:  160 << 10,
		CacheBlocks: 600,
		LinkRate:    12e9,
		ExportTTL:   engine.PrefillTime,
		ReportLag:   300 * time.Millisecond,
		EventGap:    17,
		ChecksFence: true,
	}
}

// chunkTokens is how much of a prompt an engine computes before it looks again
// for more urgent work.
const chunkTokens = 512

// Stats is what an engine did, for the checks and measures of tests.
type Stats struct {
	// Prefilled counts the prompt tokens computed, Cached those found.
	Prefilled, Cached int64
	// Wasted counts prefilled tokens whose export nobody imported, or whose
	// work ended before its export.
	Wasted int64
	// Decoded counts tokens generated.
	Decoded int64
	// Wrong counts resumed answers that did not match what was generated.
	Wrong int
}

// Engine is a model engine in memory. Its time is that of package time, so
// that it runs in a synctest bubble too.
type Engine struct {
	address string
	spec    Spec
	fabric  *Fabric

	mu       sync.Mutex
	jobs     []*prefillJob
	running  []*decodeJob
	exports  map[string]*export
	kvUsed   int64
	cache    *blockCache
	reports  []loadReport
	events   []cacheEvent
	sequence uint64
	fence    engine.Fence
	assigned engine.Assignment
	active   int
	stalled  chan struct{}
	dead     bool
	wake     chan struct{}
	stop     chan struct{}
	stats    Stats
	nextName int
	began    map[string]time.Time
}

type prefillJob struct {
	order  engine.Prefill
	left   int
	done   int
	cached int
	blocks []uint64
	bytes  int64
	// local is set for the prefill of a decode order without a source.
	local    bool
	finished chan error
}

type decodeJob struct {
	order  engine.Decode
	bytes  int64
	next   int
	tokens chan engine.Token
	ended  chan error
}

type export struct {
	engine.Export
	id       string
	expires  time.Time
	imported bool
	paid     int64
}

type loadReport struct {
	at   time.Time
	load engine.Load
}

type cacheEvent struct {
	at time.Time
	engine.CacheEvent
}

// NewEngine starts an engine. Fabric carries transfers between engines.
func NewEngine(address string, spec Spec, fabric *Fabric) *Engine {
	e := &Engine{
		address: address,
		spec:    spec,
		fabric:  fabric,
		exports: map[string]*export{},
		began:   map[string]time.Time{},
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
	}
	e.cache = newBlockCache(spec.CacheBlocks, e.note)
	fabric.add(e)
	go e.run()
	return e
}

// Close ends the engine and all its work.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	e.dead = true
	close(e.stop)
	for _, j := range e.jobs {
		e.stats.Wasted += int64(j.done)
		j.finished <- e.lost()
	}
	for _, d := range e.running {
		d.ended <- e.lost()
	}
	for _, x := range e.exports {
		e.waste(x)
	}
	e.jobs, e.running, e.kvUsed = nil, nil, 0
	e.exports = map[string]*export{}
}

// lost is the error of work on an engine that ended.
func (e *Engine) lost() error {
	return &engine.ErrUnreachable{Address: e.address, Sent: true, Err: errOutage}
}

// waste counts an export that nobody imported. The caller holds the lock.
func (e *Engine) waste(x *export) {
	if !x.imported {
		e.stats.Wasted += x.paid
	}
}

// Stall stops all transfers out of the engine until the returned function is called.
func (e *Engine) Stall() (resume func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ch := make(chan struct{})
	e.stalled = ch
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.stalled == ch {
			e.stalled = nil
			close(ch)
		}
	}
}

// Stats returns what the engine did so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Began returns when each piece of work came to the engine, by its ID.
func (e *Engine) Began() map[string]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.began)
}

// beginWork books that work came. The caller holds the lock.
func (e *Engine) beginWork(id string) {
	if _, ok := e.began[id]; !ok {
		e.began[id] = time.Now()
	}
}

// run computes prefill chunks and decode steps until Close.
func (e *Engine) run() {
	for {
		d := e.plan()
		if d == 0 {
			select {
			case <-e.wake:
			case <-e.stop:
				return
			}
			continue
		}
		select {
		case <-time.After(d):
		case <-e.stop:
			return
		}
		e.advance()
	}
}

// plan returns the time of the next step, or 0 when there is no work.
func (e *Engine) plan() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var d time.Duration
	if j := e.first(); j != nil {
		d += e.chunkTime(j)
	}
	if n := len(e.running); n > 0 {
		d += e.spec.StepBase + time.Duration(n)*e.spec.StepSlope
	}
	return d
}

// first returns the most urgent prefill. The caller holds the lock.
func (e *Engine) first() *prefillJob {
	var best *prefillJob
	for _, j := range e.jobs {
		if best == nil || j.order.Priority > best.order.Priority {
			best = j
		}
	}
	return best
}

func (e *Engine) chunkTime(j *prefillJob) time.Duration {
	n := max(1, min(j.left, chunkTokens))
	return time.Duration(float64(n) / e.spec.PrefillRate * float64(time.Second))
}

// advance books one step of work.
func (e *Engine) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	if j := e.first(); j != nil {
		n := min(j.left, chunkTokens)
		j.left -= n
		j.done += n
		e.stats.Prefilled += int64(n)
		if j.left == 0 {
			e.dropJob(j)
			e.cache.add(j.blocks)
			j.finished <- nil
		}
	}
	for _, d := range append([]*decodeJob(nil), e.running...) {
		e.emit(d)
	}
	e.reports = append(e.reports, loadReport{time.Now(), e.loadNow()})
	e.trim()
}

// emit generates the next token of a stream. The caller holds the lock.
func (e *Engine) emit(d *decodeJob) {
	t := engine.Token{Offset: d.next, Text: TokenText(d.order.Prompt, d.next)}
	d.next++
	e.stats.Decoded++
	if d.next >= d.order.MaxTokens {
		t.Final, t.Reason = true, "length"
		e.dropDecode(d)
	}
	d.tokens <- t
}

// trim forgets load reports older than needed. The caller holds the lock.
func (e *Engine) trim() {
	old := time.Now().Add(-e.spec.ReportLag)
	for len(e.reports) > 1 && e.reports[1].at.Before(old) {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) kick() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) dropJob(j *prefillJob) {
	for i, x := range e.jobs {
		if x == j {
			e.jobs = append(e.jobs[:i:i], e.jobs[i+1:]...)
			return
		}
	}
}

// dropDecode frees a stream's memory. The caller holds the lock.
func (e *Engine) dropDecode(d *decodeJob) bool {
	for i, x := range e.running {
		if x == d {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			e.kvUsed -= d.bytes
			return true
		}
	}
	return false
}

// Prefill implements engine.Engine.
func (e *Engine) Prefill(ctx context.Context, p engine.Prefill) (engine.Export, error) {
	salt := prefix.Salt(p.Model, p.Version, p.Adapter)
	bytes := int64(p.Tokens) * e.spec.KVPerToken
	j, err := e.queue(p, prefix.Blocks(nil, salt, p.Prompt), bytes, false)
	if err != nil {
		return engine.Export{}, err
	}
	if err := e.await(ctx, j); err != nil {
		return engine.Export{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return engine.Export{}, e.lost()
	}
	x := e.hold(p.ID, bytes, j)
	return x.Export, nil
}

// queue admits a prefill to the engine's own queue.
func (e *Engine) queue(p engine.Prefill, blocks []uint64, bytes int64, local bool) (*prefillJob, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, e.lost()
	}
	if !local {
		if e.kvUsed+bytes > e.spec.KVTotal {
			return nil, &engine.ErrEngine{Code: engine.CodeFull, Detail: "no memory for a prefill"}
		}
		e.kvUsed += bytes
	}
	e.beginWork(p.ID)
	cached := min(e.cache.match(blocks)*prefix.BlockTokens, p.Tokens-1)
	j := &prefillJob{order: p, left: p.Tokens - cached, cached: cached, blocks: blocks, bytes: bytes, local: local, finished: make(chan error, 1)}
	e.stats.Cached += int64(cached)
	e.jobs = append(e.jobs, j)
	e.kick()
	return j, nil
}

// await waits for a prefill and drops it when the caller is gone.
func (e *Engine) await(ctx context.Context, j *prefillJob) error {
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
	if e.dead {
		return e.lost()
	}
	e.dropJob(j)
	e.stats.Wasted += int64(j.done)
	if !j.local {
		e.kvUsed -= j.bytes
	}
	return err
}

// hold keeps a KV cache for import. The caller holds the lock.
func (e *Engine) hold(id string, bytes int64, j *prefillJob) *export {
	e.nextName++
	x := &export{id: id, expires: time.Now().Add(e.spec.ExportTTL)}
	x.Export = engine.Export{Handle: fmt.Sprintf("%s/%d", e.address, e.nextName), Address: e.address, Bytes: bytes}
	if j != nil {
		x.Tokens, x.Cached, x.paid = j.order.Tokens, j.cached, int64(j.done)
	}
	e.exports[x.Handle] = x
	time.AfterFunc(e.spec.ExportTTL, func() { e.drop(x.Handle) })
	return x
}

// drop frees an export.
func (e *Engine) drop(handle string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.exports[handle]
	if !ok {
		return
	}
	delete(e.exports, handle)
	e.kvUsed -= x.Bytes
	e.waste(x)
}

// Decode implements engine.Engine.
func (e *Engine) Decode(ctx context.Context, d engine.Decode, imported func(), token func(engine.Token) error) error {
	job, err := e.admit(d)
	if err != nil {
		return err
	}
	if err := e.load(ctx, job); err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.dead {
			e.kvUsed -= job.bytes
		}
		return err
	}
	imported()
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return e.lost()
	}
	e.running = append(e.running, job)
	e.mu.Unlock()
	e.kick()
	return e.relay(ctx, job, token)
}

// admit takes memory for a whole answer.
func (e *Engine) admit(d engine.Decode) (*decodeJob, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
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
	job := &decodeJob{order: d, bytes: bytes, next: d.Offset, ended: make(chan error, 1)}
	job.tokens = make(chan engine.Token, d.MaxTokens-d.Offset+1)
	return job, nil
}

// load imports the KV cache, or computes it where there is no source.
func (e *Engine) load(ctx context.Context, job *decodeJob) error {
	if job.order.Source != nil {
		return e.fabric.transfer(ctx, job.order.Source)
	}
	d := job.order
	p := engine.Prefill{ID: d.ID, Tokens: d.PromptTokens + d.Offset, Priority: d.Priority}
	salt := prefix.Salt(d.Model, d.Version, d.Adapter)
	j, err := e.queue(p, prefix.Blocks(nil, salt, d.Prompt+d.Generated), 0, true)
	if err != nil {
		return err
	}
	return e.await(ctx, j)
}

// relay hands over tokens until the last one.
func (e *Engine) relay(ctx context.Context, job *decodeJob, token func(engine.Token) error) error {
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
		if d.order.ID != id {
			continue
		}
		e.dropDecode(d)
		bytes := int64(d.order.PromptTokens+d.next) * e.spec.KVPerToken
		e.kvUsed += bytes
		x := e.hold(id, bytes, nil)
		x.Tokens, x.Offset = d.order.PromptTokens+d.next, d.next
		x.Generated = Answer(d.order.Prompt, d.next)
		d.ended <- &engine.ErrEngine{Code: engine.CodeMoved}
		return x.Export, nil
	}
	return engine.Export{}, &engine.ErrEngine{Code: engine.CodeGone, Detail: id}
}

// Release implements engine.Engine.
func (e *Engine) Release(_ context.Context, handle string) error {
	e.drop(handle)
	return nil
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range append([]*decodeJob(nil), e.running...) {
		if d.order.ID == id && e.dropDecode(d) {
			d.ended <- &engine.ErrEngine{Code: engine.CodeGone, Detail: "cancelled"}
		}
	}
	for _, j := range append([]*prefillJob(nil), e.jobs...) {
		if j.order.ID == id {
			j.finished <- &engine.ErrEngine{Code: engine.CodeGone, Detail: "cancelled"}
		}
	}
	for h, x := range e.exports {
		if x.id == id {
			delete(e.exports, h)
			e.kvUsed -= x.Bytes
			e.waste(x)
		}
	}
	return nil
}

// Held implements engine.Engine.
func (e *Engine) Held(context.Context) ([]engine.Holding, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, &engine.ErrUnreachable{Address: e.address, Err: errOutage}
	}
	var all []engine.Holding
	for _, j := range e.jobs {
		all = append(all, engine.Holding{ID: j.order.ID, What: "prefill", Bytes: j.bytes})
	}
	for _, x := range e.exports {
		all = append(all, engine.Holding{ID: x.id, What: "export", Bytes: x.Bytes})
	}
	for _, d := range e.running {
		all = append(all, engine.Holding{ID: d.order.ID, What: "decode", Bytes: d.bytes})
	}
	return all, nil
}

// loadNow is the load without its lag. The caller holds the lock.
func (e *Engine) loadNow() engine.Load {
	l := engine.Load{
		Running: len(e.running), BatchLimit: e.spec.BatchLimit,
		KVUsed: e.kvUsed, KVTotal: e.spec.KVTotal, KVPerToken: e.spec.KVPerToken,
		Fence: e.fence, Assigned: e.assigned,
	}
	for _, j := range e.jobs {
		l.QueuedTokens += j.left
	}
	return l
}

// Load implements engine.Engine.
func (e *Engine) Load(context.Context) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return engine.Load{}, &engine.ErrUnreachable{Address: e.address, Err: errOutage}
	}
	old := time.Now().Add(-e.spec.ReportLag)
	l := e.loadNow()
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].at.Before(old) {
			r := e.reports[i].load
			l.Running, l.KVUsed, l.QueuedTokens = r.Running, r.KVUsed, r.QueuedTokens
			break
		}
	}
	return l, nil
}

// KVUsed returns the memory held now, without a lag.
func (e *Engine) KVUsed() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.kvUsed
}

// note records a cache event. The caller holds the lock.
func (e *Engine) note(block uint64, evicted bool) {
	e.sequence++
	if e.spec.EventGap > 0 && e.sequence%e.spec.EventGap == 0 {
		return
	}
	e.events = append(e.events, cacheEvent{time.Now(), engine.CacheEvent{Sequence: e.sequence, Block: block, Evicted: evicted}})
	if len(e.events) > 2*eventWindow {
		e.events = append([]cacheEvent(nil), e.events[eventWindow:]...)
	}
}

// eventWindow is how many cache events an engine keeps at least.
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
