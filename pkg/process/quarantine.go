package process

import (
	"context"
	"encoding/hex"
	"errors"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/store"
)

const (
	// quarantinePrefix is the prefix of the keys of quarantined requests. They are in the store so that
	// gateways which start later read them, also after all gateways were lost. Each key is removed when
	// its lease expires.
	quarantinePrefix = "hopwell/quarantine/"
	// publishInterval is the interval between checks for quarantines to write to the store.
	publishInterval = 200 * time.Millisecond
)

// quarantineKey returns the store key of a quarantined request.
func quarantineKey(d quarantine.Digest) string { return quarantinePrefix + d.String() }

// parseQuarantineKey returns the digest of the request in a store key, and false if it is not the
// key of a quarantine.
func parseQuarantineKey(key string) (quarantine.Digest, bool) {
	var d quarantine.Digest
	text, ok := strings.CutPrefix(key, quarantinePrefix)
	if !ok || len(text) != hex.EncodedLen(len(d)) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err == nil
}

// publishQuarantines writes quarantines to the store until the context ends.
func (p *Ingress) publishQuarantines(ctx context.Context) {
	tick := time.NewTicker(publishInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, r := range p.suspects.DueForPublish(now) {
				p.publishQuarantine(ctx, r)
			}
		}
	}
}

// publishQuarantine writes one quarantine unless the store already holds it. A failed call is retried,
// since the table returns each quarantine until it is marked as published.
func (p *Ingress) publishQuarantine(ctx context.Context, r quarantine.Report) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	first, err := p.putIfAbsent(ctx, quarantineKey(r.Digest), r.Left)
	if err == nil {
		p.suspects.RecordPublished(r.Digest, time.Now())
	}
	p.log.Write(decisionlog.KindState, "quarantine_written", decisionlog.F("asked", r.Digest), decisionlog.F("left", r.Left),
		decisionlog.F("first", first), decisionlog.F("error", err))
}

// putIfAbsent writes a key with a lease, and reports whether the store did not have it. If it did, another
// gateway wrote it first, or the response to an earlier attempt was lost.
func (p *Ingress) putIfAbsent(ctx context.Context, key string, ttl time.Duration) (first bool, err error) {
	writer := []byte(p.settings.Load().Instance.Name)
	_, err = store.PutLeased(ctx, p.feed.currentStore(), ttl, store.Change{If: []store.Condition{{Key: key}}, Put: []store.Put{{Key: key, Value: writer}}})
	var conflict *store.ErrConflict
	if errors.As(err, &conflict) {
		return false, nil
	}
	return true, err
}
