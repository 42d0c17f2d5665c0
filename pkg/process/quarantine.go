package process

import (
	"context"
	"encoding/hex"
	"errors"
	"strconv"
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
	// partsPrefix is the prefix of the keys of quarantined sets of parts of prompts, followed by the ID of the
	// set. The value lists the parts.
	partsPrefix = "hopwell/quarantined-parts/"
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

// partsKey returns the store key of a quarantined set of parts.
func partsKey(id quarantine.SetID) string { return partsPrefix + id.String() }

// parsePartsKey returns the ID of the set in a store key, and false if it is not the key of a set.
func parsePartsKey(key string) (quarantine.SetID, bool) {
	text, ok := strings.CutPrefix(key, partsPrefix)
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(text, 16, 64)
	return quarantine.SetID(id), err == nil
}

// isQuarantineKey reports whether a store key is that of a quarantine.
func isQuarantineKey(key string) bool {
	return strings.HasPrefix(key, quarantinePrefix) || strings.HasPrefix(key, partsPrefix)
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
			for _, b := range p.parts.DueForPublish(now) {
				p.publishParts(ctx, b)
			}
			for _, id := range p.parts.TakeLifted() {
				p.removeParts(ctx, id)
			}
		}
	}
}

// publishQuarantine writes one quarantine unless the store already holds it. A failed call is retried,
// since the table returns each quarantine until it is marked as published.
func (p *Ingress) publishQuarantine(ctx context.Context, r quarantine.Report) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	first, err := p.putIfAbsent(ctx, quarantineKey(r.Digest), p.settings.Load().Instance.Name, r.Left)
	if err == nil {
		p.suspects.RecordPublished(r.Digest, time.Now())
	}
	p.log.Write(decisionlog.KindState, "quarantine_written", decisionlog.F("asked", r.Digest), decisionlog.F("left", r.Left),
		decisionlog.F("first", first), decisionlog.F("error", err))
}

// publishParts writes one quarantined set of parts unless the store already holds it. A failed call is
// retried like that of publishQuarantine.
func (p *Ingress) publishParts(ctx context.Context, b quarantine.Blame) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	first, err := p.putIfAbsent(ctx, partsKey(b.Parts.ID()), b.Parts.String(), b.Left)
	if err == nil {
		p.parts.RecordPublished(b.Parts, time.Now())
	}
	p.log.Write(decisionlog.KindState, "parts_quarantine_written", decisionlog.F("set", b.Parts.ID()), decisionlog.F("left", b.Left),
		decisionlog.F("first", first), decisionlog.F("error", err))
}

// ownsParts reports whether this gateway, of all that are alive, owns a set of parts.
func (p *Ingress) ownsParts(id quarantine.SetID) bool { return p.peers.First(id.String()) }

// removeParts removes a set of parts that turned out to be sound from the store, if this gateway owns the set:
// all gateways learn of it at about the same time. If the call fails, the key ends with its lease; until then,
// gateways that start let a request through after a while.
func (p *Ingress) removeParts(ctx context.Context, id quarantine.SetID) {
	if !p.feed.storeCopy.has(partsKey(id)) || !p.ownsParts(id) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := p.feed.currentStore().Commit(ctx, store.Change{Remove: []string{partsKey(id)}})
	p.log.Write(decisionlog.KindState, "parts_quarantine_removed", decisionlog.F("set", id), decisionlog.F("error", err))
}

// putIfAbsent writes a value with a lease, and reports whether the store did not have it. If it did, another
// gateway wrote it first, or the response to an earlier attempt was lost.
func (p *Ingress) putIfAbsent(ctx context.Context, key, value string, ttl time.Duration) (first bool, err error) {
	_, err = store.PutLeased(ctx, p.feed.currentStore(), ttl, store.Change{If: []store.Condition{{Key: key}}, Put: []store.Put{{Key: key, Value: []byte(value)}}})
	var conflict *store.ErrConflict
	if errors.As(err, &conflict) {
		return false, nil
	}
	return true, err
}
