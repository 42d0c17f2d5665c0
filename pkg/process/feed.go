package process

import (
	"context"
	"io"
	"log"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/ingress"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
)

const (
	// gatherRunners is how long changes of runners are let come together, so
	// that one call brings several.
	gatherRunners = 250 * time.Millisecond
	// gatherConfig is the same for configurations.
	gatherConfig = 50 * time.Millisecond
)

// feed keeps an ingress's beliefs up with the store.
type feed struct {
	ingress *ingress.Ingress
	log     *decisionlog.Log

	mu      sync.Mutex
	store   store.Store
	address string
	restart chan struct{}
}

func newFeed(g *ingress.Ingress, l *decisionlog.Log, s store.Store, address string) *feed {
	f := &feed{ingress: g, log: l, store: s, address: address, restart: make(chan struct{})}
	g.Directory.Changed = func(c runners.Change) {
		l.Write(decisionlog.KindBelief, "runner_"+c.What, decisionlog.F("runner", c.Runner.ID), decisionlog.F("service", c.Runner.Service),
			decisionlog.F("address", c.Runner.Address), decisionlog.F("zone", c.Runner.Zone), decisionlog.F("stage", string(c.Runner.Stage)))
	}
	return f
}

// use follows another store from now on.
func (f *feed) use(s store.Store, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return
	}
	f.store, f.address = s, address
	close(f.restart)
	f.restart = make(chan struct{})
}

// current returns the store that is followed now.
func (f *feed) current() store.Store {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store
}

// run follows the store until the context ends.
func (f *feed) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		s, restart := f.store, f.restart
		f.mu.Unlock()
		round, cancel := context.WithCancel(ctx)
		go func() {
			select {
			case <-restart:
				cancel()
			case <-round.Done():
			}
		}()
		var both sync.WaitGroup
		both.Go(func() { f.follower(s, platform.ConfigKey, gatherConfig, f.configs, f.changedConfigs).Run(round) })
		both.Go(func() {
			f.follower(s, platform.RunnerPrefix, gatherRunners, f.allRunners, f.changedRunners).Run(round)
		})
		both.Wait()
		cancel()
	}
}

func (f *feed) follower(s store.Store, prefix string, gather time.Duration, reset func([]store.Item, uint64), apply func([]store.Event, uint64)) *store.Follower {
	what := decisionlog.F("prefix", prefix)
	return &store.Follower{
		Store: s, Prefix: prefix, Gather: gather, Reset: reset, Apply: apply,
		Lost: func(err error) {
			f.log.Write(decisionlog.KindProcess, "store_lost", what, decisionlog.F("error", err))
		},
		Regained: func(after time.Duration) {
			f.log.Write(decisionlog.KindProcess, "store_regained", what, decisionlog.F("after", after))
		},
	}
}

func (f *feed) configs(items []store.Item, at uint64) {
	for _, i := range items {
		f.config(i, at)
	}
}

func (f *feed) changedConfigs(events []store.Event, at uint64) {
	for _, e := range events {
		if !e.Gone {
			f.config(e.Item, at)
		}
	}
}

// config puts a configuration into force. One that can't be read is left.
func (f *feed) config(i store.Item, at uint64) {
	if i.Key != platform.ConfigKey {
		return
	}
	c, err := platform.DecodeConfig(i.Value)
	var table *routetable.Table
	if err == nil {
		table, err = routetable.New(c)
	}
	if err != nil {
		f.log.Write(decisionlog.KindFailed, "config_refused", decisionlog.F("revision", i.Revision), decisionlog.F("error", err))
		return
	}
	used := f.ingress.Use(table)
	f.log.Write(decisionlog.KindBelief, "config", decisionlog.F("version", c.Version), decisionlog.F("revision", i.Revision),
		decisionlog.F("at", at), decisionlog.F("routes", len(c.Routes)), decisionlog.F("used", used))
}

func (f *feed) allRunners(items []store.Item, at uint64) {
	ids := make(map[string]bool, len(items))
	for _, i := range items {
		ids[platform.RunnerID(i.Key)] = true
		f.runner(i)
	}
	f.ingress.Directory.Keep(ids, time.Now())
	f.log.Write(decisionlog.KindBelief, "runners_read", decisionlog.F("runners", len(items)), decisionlog.F("at", at))
}

func (f *feed) changedRunners(events []store.Event, _ uint64) {
	for _, e := range events {
		if e.Gone {
			f.ingress.Directory.Gone(platform.RunnerID(e.Key), time.Now())
			continue
		}
		f.runner(e.Item)
	}
}

func (f *feed) runner(i store.Item) {
	r, err := platform.DecodeRunner(i.Key, i.Value)
	if err != nil {
		f.log.Write(decisionlog.KindFailed, "runner_refused", decisionlog.F("key", i.Key), decisionlog.F("error", err))
		return
	}
	f.ingress.Directory.Put(r)
}

// quiet returns a logger for what the HTTP server reports of single
// connections, which are ordinary events.
func quiet() *log.Logger { return log.New(io.Discard, "", 0) }
