package peers

import (
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/relay"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// relayRate bounds what a relay sends, in bytes a second, and relayBurst what it may send at
	// once, in bytes: enough to send the changed entries of 100 runners to 40 gateways. When a
	// whole system starts, thousands of runners register. The relay leaves out what exceeds the
	// bounds, and refers the gateways to the store for the rest.
	relayRate  = 128 << 10
	relayBurst = 1 << 20
	// datagramOverhead is the size of a datagram without the values of its update, in bytes.
	datagramOverhead = 80
)

// StoreFeed is a gateway's copy of the platform's store.
type StoreFeed interface {
	// Reached returns the revision up to which the copy has all changes, 0 for none.
	Reached() store.Revision
	// Since returns the updates that bring a gateway from a revision to the one reached.
	Since(at store.Revision, encodings relay.Encodings, now time.Time) []relay.Update
	// Receive applies an update of a relay, and reports whether the copy now has all changes
	// up to the end of the update.
	Receive(u relay.Update) bool
	// OnFirstSubscriber is called when a first gateway subscribes to this one, which makes it a relay.
	OnFirstSubscriber()
}

// allowance is the token bucket of the bytes that a relay may send.
type allowance struct {
	left float64
	at   time.Time
}

// take removes bytes from the bucket. If too few are left, it removes none and returns false.
func (a *allowance) take(bytes int, now time.Time) bool {
	if a.at.IsZero() {
		a.left = relayBurst
	} else {
		a.left = min(relayBurst, a.left+max(0, now.Sub(a.at).Seconds())*relayRate)
	}
	a.at = now
	if float64(bytes) > a.left {
		return false
	}
	a.left -= float64(bytes)
	return true
}

// aliveGateways returns the names of the live gateways, including this one. The caller holds the
// lock, and must not modify the list.
func (x *Exchange) aliveGateways() []string {
	if x.aliveNames != nil {
		return x.aliveNames
	}
	x.aliveNames = []string{x.options.Name}
	for name, m := range x.members {
		if m.alive {
			x.aliveNames = append(x.aliveNames, name)
		}
	}
	x.defaultRelay = x.options.Pace.AlwaysRelay(x.options.Name, x.aliveNames)
	x.relaysChosenAt = time.Time{}
	return x.aliveNames
}

// isDefaultRelay reports whether this gateway is among the first of the live ones, which watch the
// store even without subscribers. The caller holds the lock.
func (x *Exchange) isDefaultRelay() bool {
	x.aliveGateways()
	return x.defaultRelay
}

// choicesPerBeat is the number of times that relays are chosen in one heartbeat interval of the
// relays (Pace.Heartbeat) while the same gateways are alive. It need not be higher, because a silent
// relay is replaced only after some intervals.
const choicesPerBeat = 3

// chooseRelays chooses relays again when a choice is due. The caller holds the lock.
func (x *Exchange) chooseRelays(now time.Time) {
	alive := x.aliveGateways()
	if x.sources.Any() && now.Sub(x.relaysChosenAt) < x.options.Pace.Heartbeat/choicesPerBeat {
		return
	}
	x.relaysChosenAt = now
	x.sources.Choose(alive, now)
}

// IsRelay reports whether this gateway is a relay, which watches the store continuously.
func (x *Exchange) IsRelay(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.subscribers.Any(now) || x.isDefaultRelay()
}

// Freshness is how up to date relays keep a gateway's copy of the store.
type Freshness struct {
	// FreshUntil is the time until which the copy can be relied on without reading the store.
	FreshUntil time.Time
	// RelayResponding says that a relay sends updates, whether or not it reaches the store.
	RelayResponding bool
}

// Freshness returns how up to date relays keep this gateway's copy of the store.
func (x *Exchange) Freshness(now time.Time) Freshness {
	x.mu.Lock()
	defer x.mu.Unlock()
	return Freshness{FreshUntil: x.sources.FreshUntil(), RelayResponding: x.sources.AnyResponding(now)}
}

// RecordStoreResponse records that the store responded to this gateway. Relays that can't reach the store
// are then replaced.
func (x *Exchange) RecordStoreResponse(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sources.RecordStoreResponse(now)
}

// SendStoreUpdates sends subscribers the changes that they lack, and an update without changes to
// those that were sent nothing for the relays' heartbeat interval (Pace.Heartbeat).
func (x *Exchange) SendStoreUpdates(now time.Time) {
	reached := x.options.Store.Reached()
	x.mu.Lock()
	out := x.storeUpdates(x.subscribers.Due(reached, now), now)
	x.mu.Unlock()
	x.write(out)
}

// storeUpdates returns datagrams with updates for gateways that have all changes up to the given
// revisions, within the allowance. The caller holds the lock.
func (x *Exchange) storeUpdates(due map[string]store.Revision, now time.Time) []datagram {
	var out []datagram
	for name, at := range due {
		m := x.members[name]
		if m == nil {
			continue
		}
		updates := x.options.Store.Since(at, x.subscribers.Encodings(name), now)
		for _, u := range updates {
			if !x.relayAllowance.take(datagramOverhead+u.Bytes(), now) {
				if x.subscribers.Refer(name, now) {
					out = append(out, x.referral(m, at, updates[len(updates)-1].Age, now))
				}
				break
			}
			x.subscribers.Sent(name, u.To, now)
			message := encodeStoreUpdate(u)
			x.stampUpdate(message, name, u.Confirmed)
			out = append(out, x.newDatagram(m, &wirepb.GatewayState{StoreUpdate: message}, now))
		}
	}
	return out
}

// referral returns a datagram that makes a gateway with all changes up to a revision read the later ones from the
// store. Without it the gateway would rely on its relays for the StaleAfter of their pace. The caller holds the lock.
func (x *Exchange) referral(m *member, at store.Revision, age time.Duration, now time.Time) datagram {
	message := encodeStoreUpdate(relay.Update{From: at, To: at, Age: age, Truncated: true})
	return x.newDatagram(m, &wirepb.GatewayState{StoreUpdate: message}, now)
}

// subscribe sends subscriptions to the relays that are due one. A gateway that has not read the store
// does not subscribe until it has.
func (x *Exchange) subscribe(now time.Time) {
	at := x.options.Store.Reached()
	x.mu.Lock()
	x.chooseRelays(now)
	var out []datagram
	for _, name := range x.sources.Due(now) {
		if m := x.members[name]; m != nil && at > 0 {
			out = append(out, x.newDatagram(m, &wirepb.GatewayState{StoreSubscription: &wirepb.StoreSubscription{At: uint64(at), Stamp: x.clock.stamp(boottime.Now()), Deltas: true, Eras: true}}, now))
		}
	}
	x.mu.Unlock()
	x.write(out)
}

// receiveSubscription records a subscription and sends the subscriber the changes that it lacks.
func (x *Exchange) receiveSubscription(from string, s *wirepb.StoreSubscription, now time.Time) {
	at := store.Revision(s.At)
	x.mu.Lock()
	firstSubscriber := !x.subscribers.Any(now)
	x.subscribers.Subscribe(from, at, relay.Encodings{Deltas: s.Deltas, Eras: s.Eras}, now)
	x.subscribers.Stamp(from, s.Stamp, boottime.Now())
	var out []datagram
	if x.options.Store.Reached() > 0 {
		out = x.storeUpdates(map[string]store.Revision{from: at}, now)
	}
	x.mu.Unlock()
	x.write(out)
	if firstSubscriber {
		x.options.Store.OnFirstSubscriber()
	}
}

// receiveUpdate applies an update of a relay. If changes before it were lost, it requests them at
// once. An update of an earlier store era does not confirm that the copy is up to date.
func (x *Exchange) receiveUpdate(from string, u relay.Update, now time.Time) {
	if u.To.Era() < x.options.Store.Reached().Era() {
		u.Age, u.Confirmed = relay.Unconfirmed, time.Time{}
	}
	applied := x.options.Store.Receive(u)
	x.mu.Lock()
	x.sources.RecordUpdate(from, &u, applied, now)
	x.mu.Unlock()
	if !applied {
		x.subscribe(now)
	}
}

func encodeStoreUpdate(u relay.Update) *wirepb.StoreUpdate {
	out := &wirepb.StoreUpdate{From: uint64(u.From), To: uint64(u.To), AgeMs: uint32(u.Age.Milliseconds()), More: u.Truncated, Restored: uint64(u.Restored)}
	for _, c := range u.Changes {
		out.Changes = append(out.Changes, &wirepb.StoreChange{Key: c.Key, Value: c.Value, Revision: uint64(c.Revision), Gone: c.Removed})
	}
	for _, d := range u.Deltas {
		out.Deltas = append(out.Deltas, &wirepb.StoreDelta{Key: d.Key, Revision: uint64(d.Revision), Base: uint64(d.Base), Delta: d.Bytes})
	}
	return out
}

func decodeStoreUpdate(u *wirepb.StoreUpdate) relay.Update {
	out := relay.Update{From: store.Revision(u.From), To: store.Revision(u.To), Age: time.Duration(u.AgeMs) * time.Millisecond, Truncated: u.More, Restored: store.Revision(u.Restored)}
	for _, c := range u.Changes {
		out.Changes = append(out.Changes, store.Event{Item: store.Item{Key: c.Key, Value: c.Value, Revision: store.Revision(c.Revision)}, Removed: c.Gone})
	}
	for _, d := range u.Deltas {
		out.Deltas = append(out.Deltas, relay.Delta{Key: d.Key, Revision: store.Revision(d.Revision), Base: store.Revision(d.Base), Bytes: d.Delta})
	}
	return out
}
