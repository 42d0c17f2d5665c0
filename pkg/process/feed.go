package process

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/ingress"
	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/relay"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runnerlimit"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
)

const (
	// relayBatchWindow is how long a relay that serves requests waits for further changes of the
	// store, so that one call returns several. gatewayBatchWindow is the same for idle relays, and
	// for other gateways, which receive the changes from a relay meanwhile. At relay.ShortestBound,
	// gatewayBatchWindow keeps a change within the 2 s in which a configuration must be in force,
	// even if the relay's datagram is lost. Both windows grow with the bound of the pace, see
	// relay.Pace.
	relayBatchWindow   = 200 * time.Millisecond
	gatewayBatchWindow = time.Second
	// idleThreshold is the time without requests after which changes are not urgent.
	idleThreshold = 2 * time.Second
)

// feed keeps an ingress up to date with the store.
type feed struct {
	ingress *ingress.Ingress
	log     *decisionlog.Log
	// storeCopy is the copy of the store, history its latest changes.
	storeCopy storeCopy
	history   relay.History
	// exchange receives changes of the store from relays and sends them to subscribers; pace sets
	// the timing.
	exchange storeExchange
	pace     relay.Pace

	// applyMu serializes changes from the store and from relays.
	applyMu sync.Mutex
	// wakeup holds a value when the store must be watched now.
	wakeup chan struct{}

	mu      sync.Mutex
	store   store.Store
	address string
	// confirmAt is when the store is called next even if relays send its changes. retryAt is the
	// earliest time of the next call while the store does not respond.
	confirmAt, retryAt time.Time
	// firstRead is when this process first read the store.
	firstRead time.Time
	// onOrderLock is called when the store shows that the order lock is held or free, onGateway for
	// each gateway address in the store.
	onOrderLock func(free bool)
	onGateway   func(name, address string)
	// inForce is the configuration in use.
	inForce atomic.Pointer[store.Item]
	// deferred holds changes that may be stale, by key. It is guarded by applyMu.
	deferred map[string]deferredChange
	// onRestore is called when the store was restored and may have lost what this process wrote.
	onRestore func()
	// onRunnerRestart is called with the address of a runner that has restarted. Connections to the
	// previous incarnation are dead, whether or not an error shows it.
	onRunnerRestart func(address string)
	// restarted holds, by name, the incarnations whose successors are about to be recorded.
	restartedMu   sync.Mutex
	restarted     map[string]runners.Runner
	storeReplaced chan struct{}
	refreshes     refreshes
	leftOut       leftOutItems
	// startedAt is when this feed started, by the clock of package boottime. batchesRead is set once the batches
	// of origins were read; it is guarded by applyMu.
	startedAt   time.Time
	batchesRead bool
}

func newFeed(g *ingress.Ingress, l *decisionlog.Log, s store.Store, address string, p relay.Pace) *feed {
	f := &feed{ingress: g, log: l, store: s, address: address, pace: p, storeReplaced: make(chan struct{}), wakeup: make(chan struct{}, 1), deferred: map[string]deferredChange{}, restarted: map[string]runners.Runner{}, startedAt: boottime.Now()}
	g.Directory.Changed = func(c runners.Change) {
		f.observeVersion(c)
		if c.What == runners.Replaced {
			f.onRunnerRestart(c.Runner.Address)
		}
		l.Write(decisionlog.KindState, "runner_"+c.What, decisionlog.F("runner", c.Runner.ID), decisionlog.F("service", c.Runner.Service),
			decisionlog.F("address", c.Runner.Address), decisionlog.F("domain", c.Runner.Domain), decisionlog.F("stage", string(c.Runner.Stage)), decisionlog.F("software", c.Runner.Version))
	}
	g.Directory.Limits.Changed = func(c runnerlimit.Change) { logLimit(l, c) }
	g.Directory.Notices.Changed = func(c notice.Change) { logNotice(l, c) }
	return f
}

// useStore switches to another store.
func (f *feed) useStore(s store.Store, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return
	}
	f.store, f.address = s, address
	close(f.storeReplaced)
	f.storeReplaced = make(chan struct{})
}

// currentStore returns the store in use.
func (f *feed) currentStore() store.Store {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store
}

// run follows the store until the context ends.
func (f *feed) run(ctx context.Context) {
	go f.runDeferred(ctx)
	for ctx.Err() == nil {
		f.mu.Lock()
		s, storeReplaced := f.store, f.storeReplaced
		f.mu.Unlock()
		round, cancel := context.WithCancel(ctx)
		go func() {
			select {
			case <-storeReplaced:
				cancel()
			case <-round.Done():
			}
		}()
		f.follower(s).Run(round)
		cancel()
	}
}

// batchWindow returns how long to wait now for further changes of the store.
func (f *feed) batchWindow() time.Duration {
	now := time.Now()
	if !f.exchange.IsRelay(now) || f.ingress.Idle(now, idleThreshold) {
		return f.pace.Scale(gatewayBatchWindow)
	}
	return f.pace.Scale(relayBatchWindow)
}

// follower returns a follower of the whole store. A single watch replaces one for the configuration
// and one for the runners, which halves the calls. The few other keys rarely change.
func (f *feed) follower(s store.Store) *store.Follower {
	return &store.Follower{
		Store: s, LivenessPrefix: platform.ConfigKey, BatchDelay: f.batchWindow, Relayed: f.relayed, CatchUp: f.forgotten, Reset: f.reset, Apply: f.apply, Confirmed: f.confirmRead,
		Rejected: func(err *store.ErrOld) {
			f.log.Write(decisionlog.KindFailed, "store_reading_refused", decisionlog.F("have", err.Have), decisionlog.F("got", err.Got))
		},
		Failed: func(err error) {
			f.log.Write(decisionlog.KindFailed, "store_call_failed", decisionlog.F("error", err))
		},
		Lost: func(err error) {
			f.storeCopy.setReachable(false)
			f.log.Write(decisionlog.KindProcess, "store_lost", decisionlog.F("error", err))
		},
		Regained: func(after time.Duration) {
			f.storeCopy.setReachable(true)
			f.log.Write(decisionlog.KindProcess, "store_regained", decisionlog.F("after", after))
		},
	}
}

// reset applies a full read of the store. Runners that are missing from it are removed.
func (f *feed) reset(items []store.Item, at store.Revision) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if have := f.Reached(); at < have {
		return &store.ErrOld{Have: have, Got: at}
	}
	have := f.Reached()
	if !f.batchesRead {
		f.readBatches(items)
		f.batchesRead = at > 0
	}
	items = f.admitItems(items)
	now := time.Now()
	f.storeAnswered(now)
	f.noteFirstRead(now)
	switch {
	case have == 0:
		f.history.Restart(at, now)
		if at.Era() > 0 {
			f.ingress.Versions().DoubtRecords(now)
			f.history.DelayReads(boottime.Now().Add(confirmTime))
		}
	case at.Era() > have.Era() || len(f.deferred) > 0:
		return f.applyDifference(items, at, now)
	default:
		// Forward the changes since the revision reached like those of a watch. Otherwise each
		// gateway that subscribes to this one would also read the store when the store drops its
		// history.
		f.history.Advance(at, f.storeCopy.changes(items, have, at), now)
		defer f.exchange.SendStoreUpdates(now)
	}
	f.applyAll(items, at)
	return nil
}

// applyDifference applies a full read as changes to the copy of the store. Right after a restore of
// the store, and while changes are deferred, the read alone does not show what is current. The
// caller holds applyMu.
func (f *feed) applyDifference(items []store.Item, at store.Revision, now time.Time) error {
	u := relay.Update{From: f.Reached(), To: at}
	if at.Era() == u.From.Era() {
		u.Changes = f.storeCopy.changes(items, u.From, at)
	} else {
		changes, err := f.storeCopy.changesAfterRestore(items, at)
		if err != nil {
			return err
		}
		u.Changes, u.Restored = changes, at
	}
	f.applyUpdate(u, now)
	f.storeCopy.replace(items, at)
	f.history.RecordItems(items)
	f.log.Write(decisionlog.KindState, "runners_read", decisionlog.F("runners", f.ingress.Directory.Len()), decisionlog.F("at", at))
	return nil
}

// applyAll applies all items of the store. The caller holds applyMu.
func (f *feed) applyAll(items []store.Item, at store.Revision) {
	f.storeCopy.replace(items, at)
	f.history.RecordItems(items)
	names, evacuated := map[string]bool{}, map[string]bool{}
	free := true
	for _, i := range items {
		free = free && i.Key != orderKey
		if name, ok := platform.RunnerName(i.Key); ok {
			names[name] = true
		}
		if domain, ok := platform.EvacuatedDomain(i.Key); ok {
			evacuated[domain] = true
		}
		f.applyItem(i, at)
	}
	for _, i := range items {
		f.applyStageChange(i)
	}
	f.ingress.Directory.SyncRunners(names, time.Now())
	for _, domain := range f.ingress.Directory.SyncEvacuated(evacuated, time.Now()) {
		f.logEvacuation(domain, false, at)
	}
	f.onOrderLock(free)
	f.log.Write(decisionlog.KindState, "runners_read", decisionlog.F("runners", len(names)), decisionlog.F("at", at))
}

// confirmRead records that the copy has all changes that the store had when it was asked.
func (f *feed) confirmRead(asked time.Time) {
	f.history.ConfirmRead(asked)
	if !f.history.Confirmed().Before(f.startedAt) {
		f.ingress.Versions().SetBehind(false)
	}
}

// loadPeerState applies another gateway's copy of the store in place of a read of the store. Later
// changes come from relays, or from a watch once the store responds.
func (f *feed) loadPeerState(s sharedState) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.history.Restart(s.At, time.Now().Add(-time.Duration(s.AgeMs)*time.Millisecond))
	f.applyAll(f.admitItems(s.Items), s.At)
	if s.Config != nil {
		f.applyConfig(*s.Config, s.At)
	}
	f.history.Confirm(s.confirmed)
	f.ingress.Versions().SetBehind(true)
	f.storeCopy.setReachable(false)
}

// loadPeerConfig applies another gateway's configuration and reports whether it was newer.
func (f *feed) loadPeerConfig(s sharedState) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	before := f.ingress.Version()
	for _, i := range s.Items {
		if i.Key == platform.ConfigKey {
			f.applyConfig(i, s.At)
		}
	}
	if s.Config != nil {
		f.applyConfig(*s.Config, s.At)
	}
	return f.ingress.Version() > before
}

// apply applies the events of a watch.
func (f *feed) apply(events []store.Event, at store.Revision) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	now := time.Now()
	f.storeAnswered(now)
	f.applyUpdate(relay.Update{From: f.Reached(), To: at, Changes: events}, now)
}

// applyEvent applies one change.
func (f *feed) applyEvent(e store.Event, at store.Revision) {
	if e.Key == orderKey {
		f.onOrderLock(e.Removed)
		return
	}
	if id, ok := strings.CutPrefix(e.Key, changePrefix); ok && e.Removed {
		f.ingress.EndStageChange(id)
		return
	}
	if d, ok := parseQuarantineKey(e.Key); ok && e.Removed {
		f.ingress.EndQuarantine(d)
		return
	}
	if id, ok := parsePartsKey(e.Key); ok && e.Removed {
		f.ingress.EndPartQuarantine(id)
		return
	}
	if name, ok := platform.RunnerName(e.Key); ok && e.Removed {
		f.ingress.Directory.Remove(name, time.Now())
		return
	}
	if domain, ok := platform.EvacuatedDomain(e.Key); ok && e.Removed {
		if f.ingress.Directory.Restore(domain, time.Now()) {
			f.logEvacuation(domain, false, at)
		}
		return
	}
	if !e.Removed {
		f.applyItem(e.Item, at)
		f.applyStageChange(e.Item)
	}
}

// applyItem applies the item of one key.
func (f *feed) applyItem(i store.Item, at store.Revision) {
	if i.Key == platform.ConfigKey {
		f.applyConfig(i, at)
	} else if _, ok := platform.RunnerName(i.Key); ok {
		f.applyRunner(i)
	} else if name, ok := strings.CutPrefix(i.Key, gatewayPrefix); ok {
		f.onGateway(name, string(i.Value))
	} else if service, ok := strings.CutPrefix(i.Key, recordPrefix); ok {
		f.applyRecord(service, i)
	} else if service, ok := strings.CutPrefix(i.Key, mixedPrefix); ok {
		f.ingress.MarkMixed(service)
	} else if d, ok := parseQuarantineKey(i.Key); ok {
		f.ingress.ReadQuarantine(d)
	} else if _, ok := parsePartsKey(i.Key); ok {
		f.applyParts(i)
	} else if domain, ok := platform.EvacuatedDomain(i.Key); ok && f.ingress.Directory.Evacuate(domain, time.Now()) {
		f.logEvacuation(domain, true, at)
	}
}

// applyParts applies the quarantine of a set of parts of prompts.
func (f *feed) applyParts(i store.Item) {
	parts, err := quarantine.ParseParts(string(i.Value))
	if err != nil {
		f.log.Write(decisionlog.KindFailed, "parts_refused", decisionlog.F("key", i.Key), decisionlog.F("error", err))
		return
	}
	f.ingress.ReadPartQuarantine(parts)
}

// applyConfig puts a configuration into force. A configuration that can't be decoded is ignored.
func (f *feed) applyConfig(i store.Item, at store.Revision) {
	c, err := platform.DecodeConfig(i.Value)
	var table *routetable.Table
	if err == nil {
		table, err = routetable.New(c)
	}
	if err != nil {
		f.log.Write(decisionlog.KindFailed, "config_refused", decisionlog.F("revision", i.Revision), decisionlog.F("error", err))
		return
	}
	used := f.ingress.SetTable(table)
	if used {
		f.inForce.Store(&i)
	}
	f.log.Write(decisionlog.KindState, "config", decisionlog.F("version", c.Version), decisionlog.F("revision", i.Revision),
		decisionlog.F("at", at), decisionlog.F("routes", len(c.Routes)), decisionlog.F("used", used))
}

// applyRunner applies a runner's entry. An entry that can't be decoded, which no runner would have
// written, removes the runner of its key.
func (f *feed) applyRunner(i store.Item) {
	r, err := platform.DecodeRunner(i.Key, i.Value)
	if err != nil {
		if first, _ := f.leftOut.first(i.Key, i.Revision); first {
			f.log.Write(decisionlog.KindFailed, "runner_refused", decisionlog.F("key", i.Key), decisionlog.F("bytes", len(i.Key)+len(i.Value)), decisionlog.F("error", err))
		}
		if name, ok := platform.RunnerName(i.Key); ok {
			f.ingress.Directory.Remove(name, time.Now())
		}
		return
	}
	f.ingress.Directory.PutEntry(r, time.Now())
}
