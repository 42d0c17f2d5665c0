package process

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
)

const (
	// watchInterval is the time between two rounds of the watchdog. A part of the process hangs if it
	// makes no step in hungRounds rounds, 2.2 s. With the interval of the probes the balancer sees it
	// within 3 s. Rounds are counted rather than time, since a process that is suspended or gets little
	// processor time makes few rounds.
	watchInterval = 100 * time.Millisecond
	hungRounds    = 22
	// probeInterval is the time between two probes of the engine pools, and probesPerState the number of
	// these for each probe of all state.
	probeInterval  = 300 * time.Millisecond
	probesPerState = 2
)

// watchedPart is a part of the process that must make progress.
type watchedPart struct {
	name string
	// root is the function that runs the part. Its stack is logged when the part hangs.
	root string
	// progress returns a number that changes with each step, and whether a step is due.
	progress func() (steps uint64, due bool)

	steps uint64
	// rounds is the number of rounds since the last step.
	rounds int
}

// hangs reports whether the part hangs.
func (w *watchedPart) hangs() bool { return w.rounds >= hungRounds }

// observe counts a round, and reports whether the part began to hang or made a step after that. after is how long
// it made none.
func (w *watchedPart) observe() (changed bool, after time.Duration) {
	before := w.rounds
	if steps, due := w.progress(); !due || steps != w.steps {
		w.steps, w.rounds = steps, 0
		return before >= hungRounds, time.Duration(before) * watchInterval
	}
	w.rounds++
	return w.rounds == hungRounds, time.Duration(w.rounds) * watchInterval
}

// watchdog detects that parts of the process hang.
type watchdog struct {
	log   *decisionlog.Log
	parts []*watchedPart
	hung  atomic.Bool
}

// Hung reports whether a part of the process hangs. It takes no lock.
func (w *watchdog) Hung() bool { return w.hung.Load() }

// round checks all parts. It logs when one begins to hang, with the stacks of the goroutines that wait if no other
// part hangs, and when a part makes progress again.
func (w *watchdog) round() {
	hung := false
	for _, part := range w.parts {
		changed, after := part.observe()
		hung = hung || part.hangs()
		switch {
		case changed && part.hangs():
			w.log.Write(decisionlog.KindProcess, "hung", decisionlog.F("part", part.name), decisionlog.F("without_progress", after))
			if !w.hung.Swap(true) {
				w.logStacks()
			}
		case changed:
			w.log.Write(decisionlog.KindProcess, "progress_resumed", decisionlog.F("part", part.name), decisionlog.F("after", after))
		}
	}
	w.hung.Store(hung)
}

// logStacks logs the stacks of the goroutines that wait for a lock, and those of the watched parts.
func (w *watchdog) logStacks() {
	var roots []string
	for _, part := range w.parts {
		roots = append(roots, part.root)
	}
	for _, s := range waitingStacks(roots) {
		w.log.Write(decisionlog.KindProcess, "hung_stack", decisionlog.F("goroutines", s.goroutines), decisionlog.F("waits_for", s.waitsFor), decisionlog.F("stack", s.calls))
	}
}

// startWatchdog watches the decisions and the exchange until the context ends.
func (p *Ingress) startWatchdog(ctx context.Context) {
	pools, state := &probe{}, &probe{}
	w := &p.watchdog
	w.log = p.log
	w.parts = []*watchedPart{
		{name: "decisions", root: "pkg/process.(*Ingress).probePools", progress: pools.progress},
		{name: "state", root: "pkg/process.(*Ingress).probeState", progress: state.progress},
		{name: "exchange_send", root: "pkg/peers.(*Exchange).Run", progress: func() (uint64, bool) {
			sending, _ := p.peers.Progress()
			return sending.Steps, !sending.Outside
		}},
		{name: "exchange_receive", root: "pkg/peers.(*Exchange).read", progress: func() (uint64, bool) {
			_, receiving := p.peers.Progress()
			return receiving.Steps, !receiving.Outside
		}},
	}
	p.done.Go(func() { every(ctx, probeInterval, func() { p.probePools(pools) }) })
	p.done.Go(func() { every(ctx, probesPerState*probeInterval, func() { p.probeState(state) }) })
	p.done.Go(func() { every(ctx, watchInterval, w.round) })
}

// every calls f at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}

// probe takes the locks that decisions take. While it waits for pools, operations of others on them count as progress:
// on a busy machine a lock is waited for by many.
type probe struct {
	steps atomic.Uint64
	// at holds the pools that the probe may be waiting for; active is set while the probe runs.
	at     atomic.Pointer[[]*enginepool.Pool]
	active atomic.Bool
}

func (b *probe) step() { b.steps.Add(1) }

func (b *probe) progress() (steps uint64, due bool) {
	steps = b.steps.Load()
	if at := b.at.Load(); at != nil {
		for _, pool := range *at {
			steps += pool.Steps()
		}
	}
	return steps, b.active.Load()
}

// begin marks the probe as running and returns the function that ends it.
func (b *probe) begin() (end func()) {
	b.step()
	b.active.Store(true)
	return func() { b.active.Store(false) }
}

// probePools takes the lock of each engine pool, and those that every choice of an engine takes.
func (p *Ingress) probePools(b *probe) {
	defer b.begin()()
	for _, pool := range p.Ingress.Pools() {
		b.at.Store(&[]*enginepool.Pool{pool})
		pool.Waiting()
		b.step()
	}
	b.at.Store(nil)
	p.Ingress.Directory.Len()
	b.step()
	p.client.HasIdle("")
}

// probeState reads the metrics, which show all state that decisions use.
func (p *Ingress) probeState(b *probe) {
	defer b.begin()()
	var pools []*enginepool.Pool
	for _, pool := range p.Ingress.Pools() {
		pools = append(pools, pool)
	}
	b.at.Store(&pools)
	defer b.at.Store(nil)
	p.Ingress.WriteMetrics(stepWriter(b.step))
}

// stepWriter calls a function at each write.
type stepWriter func()

// Write implements io.Writer.
func (s stepWriter) Write(b []byte) (int, error) {
	s()
	return len(b), nil
}
