package process

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/store"
)

const (
	// batchPrefix is the prefix of the keys of batches of origins, followed by the gateway's name, the time
	// of its start and a number, see resume.Batch. A gateway reads them once, when it starts.
	batchPrefix = "hopwell/origins/"
	// minBatchInterval and batchPerGateway times the number of gateways bound the time between two batches
	// of a gateway from below: all together write at most 40 batches a second. What began since the last
	// batch is lost with all gateways.
	minBatchInterval = 200 * time.Millisecond
	batchPerGateway  = 25 * time.Millisecond
	// batchedPerSecond bounds the origins that all gateways together write a second, since gateways that watch
	// the store receive them. At some 28 bytes each, as the store sends them, they stay within the 6 KB a
	// second that control may take on a node.
	batchedPerSecond = 200
	// maxPending bounds the origins that wait to be written: when a second version comes, all streams of
	// this gateway are announced at once.
	maxPending = 512
	// batchLeaseSpan is how long a lease is used for new batches. The lease lasts longer by the lifetime of
	// the origins, so that few leases are needed.
	batchLeaseSpan = 10 * time.Second
)

// originBatches holds the origins that are to be written to the store.
type originBatches struct {
	mu      sync.Mutex
	pending []resume.Origin
	// number counts the batches, which are ordered by it.
	number  int
	started int64
	// lease is used until leaseUntil for origins of a lifetime up to leaseFor.
	lease      store.LeaseID
	leaseUntil time.Time
	leaseFor   time.Duration
}

// add adds origins to the pending ones. If there are too many, the oldest are dropped.
func (b *originBatches) add(list []resume.Origin) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, list...)
	b.pending = slices.Delete(b.pending, 0, max(0, len(b.pending)-maxPending))
}

// take removes and returns at most a number of pending origins, the oldest first.
func (b *originBatches) take(most int) []resume.Origin {
	b.mu.Lock()
	defer b.mu.Unlock()
	most = min(most, len(b.pending))
	out := slices.Clone(b.pending[:most])
	b.pending = slices.Delete(b.pending, 0, most)
	return out
}

// batchPace returns the time between two batches of one of a number of gateways, and the most origins in
// one.
func batchPace(gateways int) (interval time.Duration, most int) {
	interval = max(minBatchInterval, time.Duration(gateways)*batchPerGateway)
	return interval, max(1, int(interval.Seconds()*batchedPerSecond)/gateways)
}

// writeBatches writes the origins that are announced while a service has several software versions to the
// store, until the context ends.
func (p *Ingress) writeBatches(ctx context.Context) {
	for ctx.Err() == nil {
		interval, most := batchPace(p.peers.MemberCount() + 1)
		sleep(ctx, interval)
		if list := p.batches.take(most); len(list) > 0 {
			if err := p.writeBatch(ctx, list); err != nil {
				p.log.Write(decisionlog.KindFailed, "origins_not_written", decisionlog.F("streams", len(list)), decisionlog.F("error", err))
			}
		}
	}
}

// writeBatch writes one batch. A failed one is not repeated, so that a store that is away gets no more
// calls afterwards.
func (p *Ingress) writeBatch(ctx context.Context, list []resume.Origin) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	batch := resume.NewBatch(list)
	value, err := batch.Encode()
	if err != nil {
		return err
	}
	lease, err := p.batchLease(ctx, time.Duration(batch.LifetimeMs)*time.Millisecond)
	if err != nil {
		return err
	}
	p.batches.number++
	key := fmt.Sprintf("%s%s/%016x-%08x", batchPrefix, p.settings.Load().Instance.Name, p.batches.started, p.batches.number)
	_, err = p.feed.currentStore().Commit(ctx, store.Change{Put: []store.Put{{Key: key, Value: value, Lease: lease}}})
	var expired *store.ErrNoLease
	if errors.As(err, &expired) {
		p.batches.lease = store.LeaseID{}
	}
	return err
}

// batchLease returns a lease that lasts at least for a lifetime from now on.
func (p *Ingress) batchLease(ctx context.Context, lifetime time.Duration) (store.LeaseID, error) {
	b := &p.batches
	now := time.Now()
	if !b.lease.None() && now.Before(b.leaseUntil) && lifetime <= b.leaseFor {
		return b.lease, nil
	}
	lease, _, err := p.feed.currentStore().Grant(ctx, lifetime+batchLeaseSpan)
	if err != nil {
		return store.LeaseID{}, err
	}
	b.lease, b.leaseUntil, b.leaseFor = lease, now.Add(batchLeaseSpan), lifetime
	return lease, nil
}

// readBatches records the origins in the batches of a full read, in the order in which each gateway wrote
// them.
func (f *feed) readBatches(items []store.Item) {
	streams := 0
	for _, i := range items {
		rest, ok := strings.CutPrefix(i.Key, batchPrefix)
		if !ok {
			continue
		}
		err := checkItem(i)
		var batch resume.Batch
		if err == nil {
			batch, err = resume.ParseBatch(i.Value)
		}
		if err != nil {
			f.log.Write(decisionlog.KindFailed, "origins_refused", decisionlog.F("key", i.Key), decisionlog.F("error", err))
			continue
		}
		gateway, _, _ := strings.Cut(rest, "/")
		list := batch.Origins()
		f.ingress.ReceiveOrigins(gateway, list)
		streams += len(list)
	}
	if streams > 0 {
		f.log.Write(decisionlog.KindState, "origins_read", decisionlog.F("streams", streams))
	}
}
