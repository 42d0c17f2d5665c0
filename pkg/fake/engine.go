package fake

import (
	"maps"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/engine"
)

// Spec sets the speeds and capacities of a fake engine.
type Spec struct {
	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate float64
	// StepBase and StepSlope give the duration of a decode step: base + slope ×
	// number of running streams.
	StepBase, StepSlope time.Duration
	// BatchLimit is the maximum number of streams in the decode batch.
	BatchLimit int
	// KVTotal is the memory for KV caches and KVPerToken the KV cache size of one
	// token, both in bytes.
	KVTotal, KVPerToken int64
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// LinkRate is the bandwidth in bytes per second that all transfers out of the
	// engine share.
	LinkRate float64
	// ExportTTL is the time after which an export is freed.
	ExportTTL time.Duration
	// ReportLag delays load reports and cache events. Every EventGap-th cache event
	// is lost; 0 loses none.
	ReportLag time.Duration
	EventGap  uint64
	// ChecksFence makes the engine refuse assignments with an older fencing token.
	// An engine without this check accepts every assignment.
	ChecksFence bool
}

// DefaultSpec describes a typical model engine: it is full at a few tens of
// requests, and a prefill costs as much as hundreds of output tokens.
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

// chunkTokens is the maximum number of prompt tokens that an engine computes in
// one step. Each step selects the most urgent prefill again.
const chunkTokens = 512

// Stats counts the work of an engine, for checks and measurements in tests.
type Stats struct {
	// Prefilled counts the prompt tokens that were computed, Cached those that were
	// found in the prefix cache.
	Prefilled, Cached int64
	// Wasted counts the prompt tokens computed in prefills that ended before their
	// export, or whose export was removed without having been imported.
	Wasted int64
	// Decoded counts the generated tokens.
	Decoded int64
	// Wrong counts resumed streams whose engine.Decode.Generated was not the start
	// of the response to their prompt.
	Wrong int
}

// Engine is an in-memory model engine. It takes the time from package time only,
// so that it also runs in a synctest bubble.
type Engine struct {
	address string
	spec    Spec
	fabric  *Fabric

	mu              sync.Mutex
	prefills        []*prefillJob
	running         []*decodeJob
	exports         map[string]*export
	kvUsed          int64
	cache           *blockCache
	reports         []loadReport
	events          []cacheEvent
	sequence        uint64
	fence           engine.Fence
	assigned        engine.Assignment
	activeTransfers int
	stalled         chan struct{}
	closed          bool
	wake            chan struct{}
	stop            chan struct{}
	stats           Stats
	lastHandle      int
	began           map[string]time.Time
}

type prefillJob struct {
	call engine.Prefill
	// left and done are the numbers of prompt tokens still to compute and computed.
	left   int
	done   int
	cached int
	blocks []uint64
	bytes  int64
	// local is set for the prefill of a decode call that has no KV cache to import.
	local    bool
	finished chan error
}

type decodeJob struct {
	call       engine.Decode
	bytes      int64
	nextOffset int
	tokens     chan engine.Token
	ended      chan error
}

type export struct {
	engine.Export
	id        string
	expires   time.Time
	imported  bool
	prefilled int64
}

type loadReport struct {
	at   time.Time
	load engine.Load
}

type cacheEvent struct {
	at time.Time
	engine.CacheEvent
}

// NewEngine starts an engine and adds it to fabric, which carries transfers
// between engines.
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
	e.cache = newBlockCache(spec.CacheBlocks, e.recordCacheEvent)
	fabric.add(e)
	go e.run()
	return e
}

// Close stops the engine and ends all its work with an error.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	close(e.stop)
	for _, j := range e.prefills {
		e.stats.Wasted += int64(j.done)
		j.finished <- e.closedError()
	}
	for _, d := range e.running {
		d.ended <- e.closedError()
	}
	for _, x := range e.exports {
		e.countWasted(x)
	}
	e.prefills, e.running, e.kvUsed = nil, nil, 0
	e.exports = map[string]*export{}
}

// closedError returns the error for work on an engine that was closed.
func (e *Engine) closedError() error {
	return &engine.ErrUnreachable{Address: e.address, Sent: true, Err: errOutage}
}

// countWasted adds the prefilled tokens of an export to Stats.Wasted unless the
// export was imported. The caller holds the lock.
func (e *Engine) countWasted(x *export) {
	if !x.imported {
		e.stats.Wasted += x.prefilled
	}
}

// Stall blocks all transfers out of the engine until resume is called.
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

// SetReports sets the delay of load reports and cache events. Every gap-th cache
// event is lost; 0 loses none.
func (e *Engine) SetReports(lag time.Duration, gap uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spec.ReportLag, e.spec.EventGap = lag, gap
}

// Stats returns the counts since the engine started.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Began returns the time when the engine first received each piece of work, by
// work ID.
func (e *Engine) Began() map[string]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.began)
}

// beginWork records when a piece of work was first received. The caller holds
// the lock.
func (e *Engine) beginWork(id string) {
	if _, ok := e.began[id]; !ok {
		e.began[id] = time.Now()
	}
}
