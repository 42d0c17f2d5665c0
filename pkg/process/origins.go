package process

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/ingress"
	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/store"
)

const (
	// recordPrefix is the prefix of the keys of records of the software versions that streams of a
	// service may have, see resume.Record.
	recordPrefix = "hopwell/versions/"
	// mixedPrefix is the prefix of the keys that gateways of earlier builds write for services with
	// several software versions.
	mixedPrefix = "hopwell/mixed/"
	// recordInterval is the interval between checks of the records, and the time by which each gateway
	// waits longer than the one before it by name: one write suffices.
	recordInterval = 100 * time.Millisecond
	// maxRecordTurn bounds the number of intervals that a gateway waits for others to write.
	maxRecordTurn = 30
	// maxCreateDelay bounds the random time from the first reading of the store until a gateway creates a
	// record. Gateways that start together for the first time don't know each other yet.
	maxCreateDelay = time.Second
)

// originExchange sends origins to other gateways. It implements ingress.OriginExchange. The exchange
// of the process does not exist yet when the Ingress is made.
type originExchange struct{ p *Ingress }

func (o originExchange) AnnounceOrigins(list []resume.Origin) {
	o.p.peers.AnnounceOrigins(list)
	o.p.batches.add(list)
}

func (o originExchange) AskOrigin(k resume.Key, service string) (asked int) {
	return o.p.peers.AskOrigin(k, service)
}

func (o originExchange) AskOriginOfAll(k resume.Key, service string) (asked, all int, ok bool) {
	return o.p.peers.AskOriginOfAll(k, service)
}

// origins returns how gateways share the software versions at which streams began.
func (p *Ingress) origins() ingress.Origins {
	return ingress.Origins{Exchange: originExchange{p}, Refresh: func(ctx context.Context) bool { return p.feed.refresh(ctx) }}
}

// observeVersion records the software version of a runner that changed. A runner that restarted under
// its name may have had the new version before its entry showed it.
func (f *feed) observeVersion(c runners.Change) {
	f.ingress.ObserveVersion(&c.Runner)
	f.restartedMu.Lock()
	before, restarted := f.restarted[c.Runner.Name]
	delete(f.restarted, c.Runner.Name)
	if c.What == runners.Replaced {
		f.restarted[c.Runner.Name] = c.Runner
	}
	f.restartedMu.Unlock()
	if restarted {
		f.logRestart(&before, &c.Runner)
	}
	if restarted && before.Version != c.Runner.Version {
		f.ingress.DoubtOrigins(&before)
	}
}

// logRestart logs how late the entry of a runner's new incarnation came, and how many resumable streams this gateway
// sent to the runner meanwhile.
func (f *feed) logRestart(before, after *runners.Runner) {
	born := time.UnixMilli(after.Born)
	f.log.Write(decisionlog.KindState, "runner_restarted", decisionlog.F("runner", after.ID), decisionlog.F("service", after.Service),
		decisionlog.F("software_before", before.Version), decisionlog.F("software", after.Version),
		decisionlog.F("entry_late", time.Since(born)), decisionlog.F("streams_meanwhile", f.ingress.StreamsBegunSince(born, before)))
}

// writeRecords keeps the records of software versions in the store up to date until the context ends.
func (p *Ingress) writeRecords(ctx context.Context) {
	tick := time.NewTicker(recordInterval)
	defer tick.Stop()
	waited := map[string]int{}
	createDelay := rand.N(maxCreateDelay)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			dueNow := p.dueRecords(createDelay, now)
			maps.DeleteFunc(waited, func(service string, _ int) bool { return dueNow[service].record.Versions == nil })
			for service, due := range dueNow {
				if waited[service]++; waited[service] > p.recordTurn() {
					waited[service] = 0
					p.writeRecord(ctx, service, due)
				}
			}
		}
	}
}

// recordTurn returns the number of intervals that this gateway waits for others. Silent gateways count, since
// after a loss of all gateways none has received datagrams of the others yet.
func (p *Ingress) recordTurn() int {
	turn, _ := slices.BinarySearch(p.peers.Names(), p.settings.Load().Instance.Name)
	return min(turn, maxRecordTurn)
}

// dueRecord is a record to be written in place of an item of the store.
type dueRecord struct {
	record resume.Record
	// replaces is the revision of the item, 0 if there is none.
	replaces store.Revision
}

// dueRecords returns the records to be written, by service. A missing one is created a delay after the first
// reading of the store.
func (p *Ingress) dueRecords(createDelay time.Duration, now time.Time) map[string]dueRecord {
	table := p.Ingress.Table()
	if table == nil {
		return nil
	}
	out := map[string]dueRecord{}
	for service := range table.Config.Services {
		wanted := p.Ingress.Versions().Wanted(service, now)
		item, exists := p.feed.storeCopy.get(recordPrefix + service)
		if !exists && !p.feed.readSince(createDelay, now) {
			continue
		}
		have, err := resume.ParseRecord(item.Value)
		if len(wanted.Versions) > 0 && (err != nil || !have.Equal(wanted)) {
			out[service] = dueRecord{record: wanted, replaces: item.Revision}
		}
	}
	return out
}

// writeRecord writes the record of one service. A failed call is repeated, since the record stays due.
func (p *Ingress) writeRecord(ctx context.Context, service string, due dueRecord) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	err := p.feed.replaceRecord(ctx, recordPrefix+service, due)
	p.log.Write(decisionlog.KindState, "software_versions_written", decisionlog.F("service", service),
		decisionlog.F("versions", due.record.Versions), decisionlog.F("error", err))
	// The copy of the store then shows what this or another gateway wrote, so that it is not written again.
	p.feed.refresh(ctx)
}

// replaceRecord writes a record in place of the item that it was derived from. If the copy has no item, the store may
// have one that is too large to be kept; it is replaced too.
func (f *feed) replaceRecord(ctx context.Context, key string, due dueRecord) error {
	value, err := due.record.Encode()
	if err != nil {
		return err
	}
	put := func(replaces store.Revision) error {
		_, err := f.currentStore().Commit(ctx, store.Change{If: []store.Condition{{Key: key, Revision: replaces}}, Put: []store.Put{{Key: key, Value: value}}})
		return err
	}
	err = put(due.replaces)
	var conflict *store.ErrConflict
	if errors.As(err, &conflict) && due.replaces == 0 && len(conflict.Items) == 1 && checkItem(conflict.Items[0]) != nil {
		return put(conflict.Items[0].Revision)
	}
	return err
}

// applyRecord applies the record of a service's software versions. One that can't be decoded is ignored,
// and written again.
func (f *feed) applyRecord(service string, i store.Item) {
	r, err := resume.ParseRecord(i.Value)
	if err != nil {
		f.log.Write(decisionlog.KindFailed, "software_versions_refused", decisionlog.F("key", i.Key), decisionlog.F("error", err))
		return
	}
	f.ingress.ReadRecord(service, r)
}
