// Package sidecar is the process beside each runner. Every order for the runner
// passes through it, so it alone decides admission, holds what is reserved,
// remembers which attempts began, and frees what nobody renews.
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
	// AdmitDeadline admits what can still meet its targets.
	AdmitDeadline = "deadline"
	// AdmitFIFO admits everything in order of arrival: the baseline.
	AdmitFIFO = "fifo"
)

// Options are what a sidecar needs besides its node.
type Options struct {
	// Engine is the model engine beside it, nil beside a plain service.
	Engine engine.Engine
	// Service is the plain service beside it, nil beside a model engine.
	Service engine.Service
	// Slots is how many calls a plain service takes at once.
	Slots int
	// Admission is AdmitDeadline or AdmitFIFO.
	Admission string
	// PrefillRate, StepBase, StepSlope and LinkRate are first guesses, in
	// tokens a second, times, and bytes a second; the first three are learned.
	PrefillRate         float64
	StepBase, StepSlope time.Duration
	LinkRate            float64
	// Weights is the platform's weight store; nil if the runner needs none.
	Weights platform.Weights
}

// Sidecar serves one runner.
type Sidecar struct {
	*node.Node
	opt Options
	log *logs.Logger
	met *meters

	leaving  atomic.Bool
	deadline atomic.Int64
	open     atomic.Int64
	ready    atomic.Bool
	ruled    atomic.Pointer[fleet.View]

	mu        sync.Mutex
	queue     *admission.Queue
	ledger    *admission.Ledger
	speed     *admission.Speed
	step      *admission.Step
	kvToken   int64
	waiting   map[string]chan bool
	starters  []*starter
	attempts  map[string]*attempt
	transfers int
	calls     int
	// reported is when each gateway last got a load with a renewal.
	reported map[string]time.Time
	cached   *route.Prefixes

	fences fences
}

// cachedBlocks bounds the sidecar's memory of its engine's prefix cache.
const cachedBlocks = 1 << 15

// prefillSlots is how many prefills may be on the engine at once.
const prefillSlots = 3

// New makes a sidecar on a node; Run brings it to life.
func New(n *node.Node, o Options) *Sidecar {
	s := &Sidecar{
		Node:     n,
		opt:      o,
		log:      logs.For(logs.LayerSidecar),
		met:      newMeters(),
		queue:    &admission.Queue{Rate: o.PrefillRate, Slots: prefillSlots, Margin: 1.05},
		ledger:   admission.NewLedger(0, 0),
		speed:    admission.NewSpeed(o.PrefillRate),
		step:     admission.NewStep(o.StepBase, o.StepSlope),
		waiting:  map[string]chan bool{},
		attempts: map[string]*attempt{},
		reported: map[string]time.Time{},
		cached:   route.NewPrefixes(cachedBlocks),
		fences:   newFences(),
	}
	s.met.watch(s)
	return s
}

// Run learns what the engine holds, frees what no attempt of this process owns,
// and then serves until the context ends.
func (s *Sidecar) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.Node.Run(ctx) })
	if s.opt.Engine != nil {
		s.clean(ctx)
		wg.Go(func() { s.follow(ctx) })
		wg.Go(func() { s.assign(ctx) })
	}
	s.ready.Store(true)
	wg.Go(func() { s.watchLeaving(ctx) })
	wg.Wait()
}

// rules returns the present configuration with its expressions ready to use.
func (s *Sidecar) rules() *fleet.View {
	doc := s.Keeper.Document()
	if v := s.ruled.Load(); v != nil && v.Doc == doc {
		return v
	}
	v := fleet.NewView(doc, []platform.Instance{s.Self})
	s.ruled.Store(v)
	return v
}

// blocks hashes a prompt's prefix.
func blocks(model, version, adapter, prompt string) []uint64 {
	return prefix.Blocks(nil, prefix.Salt(model, version, adapter), prompt)
}

// Pause times of the sidecar's own loops.
const (
	followEvery = 500 * time.Millisecond
	engineTime  = 2 * time.Second
	cleanRetry  = 500 * time.Millisecond
)

// follow keeps limits up to date from the engine's reports and its cache events.
func (s *Sidecar) follow(ctx context.Context) {
	var seen uint64
	for ctx.Err() == nil {
		s.learn(ctx)
		seen = s.learnCache(ctx, seen)
		select {
		case <-time.After(followEvery):
		case <-ctx.Done():
		}
	}
}

// learn takes over the engine's limits. Its load is not used: the ledger knows
// better and sooner.
func (s *Sidecar) learn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineTime)
	defer cancel()
	l, err := s.opt.Engine.Load(ctx)
	if err != nil {
		s.log.Info("engine load unavailable", "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Bytes, s.ledger.Batch, s.kvToken = l.KVTotal, l.BatchLimit, l.KVPerToken
	s.ledger.StepBase, s.ledger.StepSlope = s.step.Model()
	s.queue.Rate = s.speed.Rate()
}

// learnCache takes over evictions from the engine's prefix cache.
func (s *Sidecar) learnCache(ctx context.Context, after uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, engineTime)
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

// ownID is the sidecar's runner in its own prefix memory.
const ownID = 1

// clean frees what the engine holds from before this process. Nothing is
// admitted until the engine has answered once.
func (s *Sidecar) clean(ctx context.Context) {
	for ctx.Err() == nil {
		if s.tryClean(ctx) {
			s.learn(ctx)
			return
		}
		select {
		case <-time.After(cleanRetry):
		case <-ctx.Done():
		}
	}
}

func (s *Sidecar) tryClean(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, engineTime)
	defer cancel()
	held, err := s.opt.Engine.Held(ctx)
	if err != nil {
		return false
	}
	for _, h := range held {
		s.freeWork(ctx, h.ID)
	}
	return true
}
