// Package sidecar implements the process beside each runner. Every order for
// the runner passes through it, so it alone decides admission, records
// reservations and started attempts, and frees resources whose lease is not
// renewed.
package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/admission"
	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/logs"
	"github.com/hopwell/hopwell/pkg/node"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/prefix"
	"github.com/hopwell/hopwell/pkg/route"
)

// Admission modes.
const (
	// AdmitDeadline admits work that can still meet its targets.
	AdmitDeadline = "deadline"
	// AdmitFIFO admits everything in order of arrival; it is the baseline for
	// comparisons.
	AdmitFIFO = "fifo"
)

// Options configures a sidecar in addition to its node.
type Options struct {
	// Engine is the model engine beside the sidecar, nil beside a plain runner.
	Engine engine.Engine
	// Service is the plain runner beside the sidecar, nil beside a model engine.
	Service engine.Service
	// Slots is the maximum number of concurrent calls to a plain runner.
	Slots int
	// Admission is AdmitDeadline or AdmitFIFO.
	Admission string
	// PrefillRate (tokens per second), StepBase and StepSlope (decode step
	// time) and LinkRate (bytes per second) are initial estimates. All but
	// LinkRate are updated from observations.
	PrefillRate         float64
	StepBase, StepSlope time.Duration
	LinkRate            float64
	// Weights is the platform's weight store; nil if the runner needs none.
	Weights platform.Weights
}

// Sidecar serves one runner.
type Sidecar struct {
	*node.Node
	opt     Options
	log     *logs.Logger
	metrics *meters

	leaving atomic.Bool
	// deadline is when the instance ends, in Unix nanoseconds, 0 if not known.
	deadline      atomic.Int64
	openAttempts  atomic.Int64
	ready         atomic.Bool
	compiledRules atomic.Pointer[fleet.View]

	mu         sync.Mutex
	queue      *admission.Queue
	ledger     *admission.Ledger
	speed      *admission.Speed
	step       *admission.Step
	kvPerToken int64
	// decisions has a channel for each queued prefill, which receives true when
	// the prefill may run and false when other prefills displaced it.
	decisions   map[string]chan bool
	slotWaiters []*slotWaiter
	attempts    map[string]*attempt
	// transfers counts the exports that wait for their import.
	transfers int
	// calls counts the slots of a plain runner that are in use.
	calls int
	// reported is the time of the last load message sent to each gateway in
	// response to a lease renewal.
	reported map[string]time.Time
	// cached records the contents of the engine's prefix cache.
	cached *route.Prefixes

	fences fences
}

// maxCachedBlocks bounds the sidecar's record of its engine's prefix cache.
const maxCachedBlocks = 1 << 15

// prefillSlots is the maximum number of prefills on the engine at once.
const prefillSlots = 3

// New returns a sidecar on a node; Run starts it.
func New(n *node.Node, o Options) *Sidecar {
	s := &Sidecar{
		Node:      n,
		opt:       o,
		log:       logs.For(logs.LayerSidecar),
		metrics:   newMeters(),
		queue:     &admission.Queue{Rate: o.PrefillRate, Slots: prefillSlots, Margin: 1.05},
		ledger:    admission.NewLedger(0, 0),
		speed:     admission.NewSpeed(o.PrefillRate),
		step:      admission.NewStep(o.StepBase, o.StepSlope),
		decisions: map[string]chan bool{},
		attempts:  map[string]*attempt{},
		reported:  map[string]time.Time{},
		cached:    route.NewPrefixes(maxCachedBlocks),
		fences:    newFences(),
	}
	s.metrics.addGauges(s)
	return s
}

// Run reads what the engine holds, frees what no attempt of this process owns,
// and then serves until the context ends.
func (s *Sidecar) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.Node.Run(ctx) })
	if s.opt.Engine != nil {
		s.freeLeftovers(ctx)
		wg.Go(func() { s.pollEngine(ctx) })
		wg.Go(func() { s.assign(ctx) })
	}
	s.ready.Store(true)
	wg.Go(func() { s.watchLeaving(ctx) })
	wg.Wait()
}

// rules returns the present configuration with its expressions compiled, as a
// view whose only member is this sidecar's instance. Assignment depends on
// that.
func (s *Sidecar) rules() *fleet.View {
	doc := s.Keeper.Document()
	if v := s.compiledRules.Load(); v != nil && v.Doc == doc {
		return v
	}
	v := fleet.NewView(doc, []platform.Instance{s.Self})
	s.compiledRules.Store(v)
	return v
}

// promptBlocks hashes the blocks of a prompt's prefix.
func promptBlocks(model, version, adapter, prompt string) []uint64 {
	return prefix.Blocks(nil, prefix.Salt(model, version, adapter), prompt)
}

// Intervals of the sidecar's loops and the timeout of calls to the engine.
const (
	pollInterval  = 500 * time.Millisecond
	engineTimeout = 2 * time.Second
	freeRetry     = 500 * time.Millisecond
)

// pollEngine regularly reads the engine's limits and its cache events.
func (s *Sidecar) pollEngine(ctx context.Context) {
	var seen uint64
	for ctx.Err() == nil {
		s.readLimits(ctx)
		seen = s.readCacheEvents(ctx, seen)
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// readLimits applies the engine's limits. The load that the engine reports is
// not used: the ledger is more accurate and more recent.
func (s *Sidecar) readLimits(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	l, err := s.opt.Engine.Load(ctx)
	if err != nil {
		s.log.Info("engine load unavailable", "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Bytes, s.ledger.Batch, s.kvPerToken = l.KVTotal, l.BatchLimit, l.KVPerToken
	s.ledger.StepBase, s.ledger.StepSlope = s.step.Model()
	s.queue.Rate = s.speed.Rate()
}

// readCacheEvents applies evictions from the engine's prefix cache. It reads
// the events that follow sequence number after and returns the last one read.
func (s *Sidecar) readCacheEvents(ctx context.Context, after uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	events, err := s.opt.Engine.Events(ctx, after)
	if err != nil {
		return after
	}
	for _, e := range events {
		after = max(after, e.Sequence)
		if e.Evicted {
			s.cached.Evicted(e.Block, ownID)
		}
	}
	return after
}

// ownID identifies the sidecar's own runner in its record of the prefix cache.
const ownID = 1

// freeLeftovers frees what the engine holds from earlier sidecar processes. No
// work is admitted until the engine has responded once.
func (s *Sidecar) freeLeftovers(ctx context.Context) {
	for ctx.Err() == nil {
		if s.tryFreeLeftovers(ctx) {
			s.readLimits(ctx)
			return
		}
		select {
		case <-time.After(freeRetry):
		case <-ctx.Done():
		}
	}
}

func (s *Sidecar) tryFreeLeftovers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	held, err := s.opt.Engine.Held(ctx)
	if err != nil {
		return false
	}
	for _, h := range held {
		s.freeLeftover(ctx, h.ID)
	}
	return true
}
