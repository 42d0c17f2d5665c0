package process

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/peers"
	"github.com/hopwell/hopwell/pkg/relay"
	"github.com/hopwell/hopwell/pkg/store"
)

const (
	// confirmInterval is the shortest mean interval at which a gateway checks the store with a
	// short watch although relays send its changes. Relays send them without gaps; the interval
	// bounds how long a faulty relay goes undetected. confirmPerGateway is the mean time between
	// two such checks by any gateways: together the checks cost one call a second, however many
	// gateways there are.
	confirmInterval   = 30 * time.Second
	confirmPerGateway = time.Second
	// delayAfterFirstRead is how long a process does not watch the store after it first read it.
	// The time is given for relay.ShortestBound. By then the process has discovered the other
	// gateways, and relays have sent what it missed. Without this time each start costs two more
	// watches.
	delayAfterFirstRead = 1200 * time.Millisecond
	// outageRetryDelay is the delay between two calls to a store that does not respond, if relays exist
	// that will report when it responds again.
	outageRetryDelay = 4 * time.Second
)

// storeExchange exchanges changes of the store with the other gateways.
type storeExchange interface {
	// IsRelay reports whether this gateway is a relay, which watches the store continuously.
	IsRelay(now time.Time) bool
	// Freshness returns how well relays keep this gateway up to date.
	Freshness(now time.Time) peers.Freshness
	// RecordStoreResponse records that the store responded to this gateway.
	RecordStoreResponse(now time.Time)
	// MemberCount returns the number of other gateways.
	MemberCount() int
	// SendStoreUpdates forwards new changes to the subscribers.
	SendStoreUpdates(now time.Time)
}

// relayed waits while relays send the changes of the store. It implements store.Follower.Relayed.
func (f *feed) relayed(ctx context.Context) (store.Revision, time.Duration) {
	for {
		delay, wait := f.nextWatch(time.Now())
		if delay <= 0 || ctx.Err() != nil {
			return f.Reached(), wait
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-f.wakeup:
			timer.Stop()
			return f.Reached(), f.relayWait(time.Now())
		}
		timer.Stop()
	}
}

// nextWatch returns how much longer the store need not be watched, and how long the watch that follows may wait
// for a change, 0 for the usual time.
func (f *feed) nextWatch(now time.Time) (left, wait time.Duration) {
	if f.Reached() == 0 {
		return 0, 0
	}
	if left := f.untilWatched(now); left > 0 {
		return left, 0
	}
	if f.exchange.IsRelay(now) {
		return 0, f.relayWait(now)
	}
	coverage, delay := f.exchange.Freshness(now), f.confirmDelay()
	f.mu.Lock()
	defer f.mu.Unlock()
	until := coverage.FreshUntil
	if f.confirmAt.Before(until) {
		until = f.confirmAt
	}
	switch {
	case now.Before(until):
		return until.Sub(now), 0
	case now.Before(coverage.FreshUntil):
		f.confirmAt, wait = now.Add(delay), confirmWatchWait
	case f.storeCopy.unreachable() && coverage.RelayResponding && now.Before(f.retryAt):
		return f.retryAt.Sub(now), 0
	}
	f.retryAt = now.Add(jitter(outageRetryDelay))
	return 0, wait
}

// untilWatched returns how much longer the store need not be watched after its first read.
func (f *feed) untilWatched(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstRead.Add(f.pace.Scale(delayAfterFirstRead)).Sub(now)
}

// forgottenPollInterval is the interval between checks for updates from relays.
const forgottenPollInterval = 50 * time.Millisecond

// forgotten waits for relays to send what they read again after the store has dropped its history. It
// waits as long as a relay may take to notice that and to read. Relays themselves read at once. The
// result is the revision reached, or 0 if this gateway must read the store itself. It implements
// store.Follower.CatchUp.
func (f *feed) forgotten(ctx context.Context, after store.Revision) store.Revision {
	began := time.Now()
	tick := time.NewTicker(forgottenPollInterval)
	defer tick.Stop()
	for now := began; now.Sub(began) < f.pace.WatchWait; {
		if at := f.Reached(); at > after {
			return at
		}
		if f.exchange.IsRelay(now) || !f.exchange.Freshness(now).RelayResponding {
			return 0
		}
		select {
		case <-ctx.Done():
			return 0
		case now = <-tick.C:
		}
	}
	return 0
}

// relayWait returns how long the watch of a relay may wait for a change. A relay confirms its state
// every WatchWait of the pace. The time since its last confirmation, which it may have spent on
// batching, is deducted.
func (f *feed) relayWait(now time.Time) time.Duration {
	_, freshAt := f.history.Reached()
	wait := f.pace.WatchWait - max(0, now.Sub(freshAt))
	if pending, left := f.history.ConfirmationPending(boottime.Now()); pending {
		// The first watch after a restore that can confirm that no API key was revoked must not
		// wait.
		wait = min(wait, left)
	}
	return max(confirmWatchWait, wait)
}

// confirmWatchWait is the wait of a watch that only checks for changes.
const confirmWatchWait = time.Millisecond

// confirmDelay returns how long this gateway relies on relays before it checks the store
// nevertheless.
func (f *feed) confirmDelay() time.Duration {
	return jitter(max(confirmInterval, time.Duration(f.exchange.MemberCount())*confirmPerGateway))
}

// jitter returns a random time from d/2 to 3d/2, so that gateways which started together do not stay
// synchronized.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// storeAnswered records that the store responded.
func (f *feed) storeAnswered(now time.Time) {
	delay := f.confirmDelay()
	f.mu.Lock()
	f.confirmAt = now.Add(delay)
	f.mu.Unlock()
	f.exchange.RecordStoreResponse(now)
}

// noteFirstRead records the time of the first read of the store.
func (f *feed) noteFirstRead(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstRead.IsZero() {
		f.firstRead = now
	}
}

// readSince reports whether this process first read the store at least d ago.
func (f *feed) readSince(d time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.firstRead.IsZero() && now.Sub(f.firstRead) >= d
}

// wake makes the feed watch the store now.
func (f *feed) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// OnFirstSubscriber implements peers.StoreFeed: a gateway that became a relay watches the store
// at once.
func (f *feed) OnFirstSubscriber() { f.wake() }

// Reached implements peers.StoreFeed.
func (f *feed) Reached() store.Revision {
	at, _ := f.history.Reached()
	return at
}

// Since implements peers.StoreFeed.
func (f *feed) Since(at store.Revision, encodings relay.Encodings, now time.Time) []relay.Update {
	return f.history.Since(at, encodings, now)
}

// Receive implements peers.StoreFeed. It rejects updates before the first read of the store, and updates
// after a gap, which are requested again.
func (f *feed) Receive(u relay.Update) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	at := f.Reached()
	if at == 0 || u.From > at || u.To.Era() > at.Era() && u.From != at {
		return false
	}
	if err := f.storeCopy.resolve(&u); err != nil {
		f.log.Write(decisionlog.KindFailed, "store_change_not_read", decisionlog.F("error", err))
	}
	var freshAt time.Time
	if !u.Truncated {
		freshAt = time.Now().Add(-u.Age)
	}
	if count := f.applyUpdate(u, freshAt); count > 0 {
		f.log.Write(decisionlog.KindState, "store_changes_relayed", decisionlog.F("changes", count), decisionlog.F("at", u.To))
	}
	if u.Truncated {
		f.wake()
	} else {
		f.history.Confirm(u.Confirmed)
	}
	return true
}

// applyUpdate applies the changes of an update after the revision reached, and skips changes
// already applied. freshAt is a time at which the store had no later change, zero if none is known.
// The result is the number of changes applied or deferred. The caller holds applyMu.
func (f *feed) applyUpdate(u relay.Update, freshAt time.Time) int {
	at := f.Reached()
	u.To = max(u.To, at)
	eraChanged := u.To.Era() > at.Era()
	var fresh []store.Event
	for _, e := range u.Changes {
		if e.Revision > at && needed(e.Key) {
			fresh = append(fresh, e)
		}
	}
	fresh = f.admitChanges(fresh)
	u.Changes = fresh
	current := f.deferStale(u)
	if eraChanged {
		f.history.Restore(u, freshAt, boottime.Now().Add(confirmTime))
	} else {
		f.history.Advance(u.To, fresh, freshAt)
	}
	f.storeCopy.apply(fresh, u.To)
	for _, e := range current {
		f.applyEvent(e, u.To)
	}
	if eraChanged {
		f.storeRestored(at, u, len(fresh)-len(current))
	}
	if len(fresh) > 0 {
		f.exchange.SendStoreUpdates(time.Now())
	}
	return len(fresh)
}
