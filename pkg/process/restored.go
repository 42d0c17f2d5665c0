package process

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/relay"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
)

const (
	// rewriteTime bounds how long runners and the operators' controllers take to rewrite what the
	// store lost in a restore. Until then the previous state is used.
	rewriteTime = 2 * time.Second
	// confirmTime bounds how long the operators' controllers take to rewrite a lost configuration.
	// Until then API keys are not confirmed as unrevoked.
	confirmTime = time.Second
	// lapseTime bounds how long the store lists a runner that has ended: three heartbeats and a margin.
	lapseTime = 4 * time.Second
	// maxLoss bounds the age of the backup that the store is restored from.
	maxLoss = time.Minute
	// deferredCheckInterval is the interval at which deferred changes are checked.
	deferredCheckInterval = 100 * time.Millisecond
	// dropped is the deferral of a change that is never applied.
	dropped time.Duration = -1
)

var storeRestores = metrics.GetOrCreateCounter("hopwell_store_restores_total")

// deferredChange is a change that may be stale. It is applied at due, unless the key changes before.
type deferredChange struct {
	change    store.Event
	read, due time.Time
}

// deferStale returns the changes of an update to apply now. Changes that a restored store shows and that
// may be older than the current state are deferred or dropped. The caller holds applyMu.
func (f *feed) deferStale(u relay.Update) []store.Event {
	now := time.Now()
	var out []store.Event
	for _, e := range u.Changes {
		delete(f.deferred, e.Key)
		if e.Revision > u.Restored {
			out = append(out, e)
			continue
		}
		switch d := f.deferral(e); d {
		case 0:
			out = append(out, e)
		case dropped:
		default:
			f.deferred[e.Key] = deferredChange{change: e, read: now, due: now.Add(d)}
		}
	}
	return out
}

// deferral returns how long to defer a change that a restored store shows. The caller holds applyMu.
func (f *feed) deferral(e store.Event) time.Duration {
	if isQuarantineKey(e.Key) && e.Removed {
		return dropped // The store lost the quarantine before it ended; the gateways write it again.
	}
	if strings.HasPrefix(e.Key, changePrefix) {
		return dropped // Gateways report stage changes to each other; a change ends when the engine's entry has the new stage.
	}
	if domain, ok := platform.EvacuatedDomain(e.Key); ok {
		if e.Removed || f.ingress.Directory.RestoredSince(domain, time.Now().Add(-maxLoss)) {
			return rewriteTime
		}
	}
	if name, ok := platform.RunnerName(e.Key); ok {
		return f.runnerDeferral(name, e)
	}
	return 0
}

// runnerDeferral is deferral for the entry of a runner.
func (f *feed) runnerDeferral(name string, e store.Event) time.Duration {
	if e.Removed {
		return rewriteTime
	}
	shown, err := platform.DecodeRunner(e.Key, e.Value)
	if err != nil {
		return 0
	}
	current := f.ingress.Directory.Current(name)
	if current == nil {
		return 0
	}
	if shown.Born < current.Born || shown.Born == current.Born && current.Gone() {
		return lapseTime
	}
	have, known := f.storeCopy.get(e.Key)
	if !known {
		return 0
	}
	if previous, err := platform.DecodeRunner(e.Key, have.Value); err == nil && shown.Before(previous) {
		return lapseTime
	}
	return 0
}

// storeRestored records that the store was restored from an older backup. withheld is the number of
// changes that were deferred or dropped. storeRestored restarts the delay of changes that were
// deferred by an earlier restore. The caller holds applyMu.
func (f *feed) storeRestored(before store.Revision, u relay.Update, withheld int) {
	storeRestores.Inc()
	now := time.Now()
	f.ingress.Versions().DoubtRecords(now)
	for key, d := range f.deferred {
		f.deferred[key] = deferredChange{change: d.change, read: now, due: now.Add(d.due.Sub(d.read))}
	}
	f.log.Write(decisionlog.KindState, "store_restored", decisionlog.F("before", before), decisionlog.F("at", u.To),
		decisionlog.F("changes", len(u.Changes)), decisionlog.F("deferred", withheld))
	f.onRestore()
}

// runDeferred applies deferred changes when they are due, until the context ends.
func (f *feed) runDeferred(ctx context.Context) {
	tick := time.NewTicker(deferredCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.applyDeferred(now)
		}
	}
}

// applyDeferred applies the deferred changes that are due.
func (f *feed) applyDeferred(now time.Time) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	for key, d := range f.deferred {
		if now.Before(d.due) {
			continue
		}
		delete(f.deferred, key)
		if name, ok := platform.RunnerName(key); ok && d.change.Removed {
			// The runner has been missing since the read.
			f.ingress.Directory.Remove(name, d.read)
			continue
		}
		f.applyEvent(d.change, f.Reached())
	}
}

// newerConfig returns the configuration in force if the copy of the store does not hold it, as
// after a restore, and nil otherwise.
func (f *feed) newerConfig() *store.Item {
	used := f.inForce.Load()
	if have, known := f.storeCopy.get(platform.ConfigKey); used == nil || known && bytes.Equal(have.Value, used.Value) {
		return nil
	}
	return used
}

// mayBeStale reports whether the first read of this process may have shown older state, because the
// store was restored shortly before, or whether there was no read yet.
func (f *feed) mayBeStale(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstRead.IsZero() || f.Reached().Era() > 0 && now.Sub(f.firstRead) < lapseTime
}
