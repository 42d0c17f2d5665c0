package fake

import (
	"maps"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/engine"
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

// SetReports makes load reports and cache events later, and every gap-th event
// lost.
func (e *Engine) SetReports(lag time.Duration, gap uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spec.ReportLag, e.spec.EventGap = lag, gap
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

// beginWork records that work came. The caller holds the lock.
func (e *Engine) beginWork(id string) {
	if _, ok := e.began[id]; !ok {
		e.began[id] = time.Now()
	}
}
