package peers

import (
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/relay"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// relayRate bounds what a relay sends, in bytes a second, and relayBurst what it may
	// send at once: some 100 runners that change together, to 40 gateways. When a whole
	// system starts, thousands of runners register, and nobody waits for them: the own
	// watches bring what is left out.
	relayRate  = 128 << 10
	relayBurst = 1 << 20
	// datagramOverhead is what a datagram takes besides its values, in bytes.
	datagramOverhead = 80
)

// StoreFeed is what a gateway knows of the platform's store.
type StoreFeed interface {
	// Reached returns the revision up to which all changes are known, 0 for none.
	Reached() store.Revision
	// Since returns the updates that bring a gateway from a revision to the one reached.
	Since(at store.Revision, reads relay.Reads, now time.Time) []relay.Update
	// Receive takes an update of a relay, and reports whether all changes up to its end
	// are known now.
	Receive(u relay.Update) bool
	// Subscribed says that this gateway has become a relay.
	Subscribed()
}

// allowance is the bytes that a relay may send.
type allowance struct {
	left float64
	at   time.Time
}

// take takes bytes, false if there are not so many.
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

// aliveGateways returns the names of the aliveGateways gateways, with the own one. The caller holds
// the lock, and must not change the list.
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
	x.defaultRelay = x.options.Pace.First(x.options.Name, x.aliveNames)
	x.relaysChosenAt = time.Time{}
	return x.aliveNames
}

// isDefaultRelay reports whether this gateway is among the first of the living ones. The caller holds
// the lock.
func (x *Exchange) isDefaultRelay() bool {
	x.aliveGateways()
	return x.defaultRelay
}

// choicesPerBeat is how many choices of relays there are in a beat while no gateway comes or goes: a
// silent one is left after some beats.
const choicesPerBeat = 3

// chooseRelays chooses relays anew when it is time. The caller holds the lock.
func (x *Exchange) chooseRelays(now time.Time) {
	living := x.aliveGateways()
	if x.sources.Any() && now.Sub(x.relaysChosenAt) < x.options.Pace.Beat/choicesPerBeat {
		return
	}
	x.relaysChosenAt = now
	x.sources.Choose(living, now)
}

// Relay reports whether this gateway is one of those that watch the store closely.
func (x *Exchange) Relay(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.subscribers.Any(now) || x.isDefaultRelay()
}

// Coverage is how relays keep a gateway up to date with the store.
type Coverage struct {
	// FreshUntil is until when what they told can be relied on.
	FreshUntil time.Time
	// Answering says that one answers, whether or not it reaches the store.
	Answering bool
}

// Coverage returns how relays keep this gateway up to date.
func (x *Exchange) Coverage(now time.Time) Coverage {
	x.mu.Lock()
	defer x.mu.Unlock()
	return Coverage{FreshUntil: x.sources.FreshUntil(), Answering: x.sources.Answering(now)}
}

// StoreAnswers notes that the store answered this gateway.
func (x *Exchange) StoreAnswers(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sources.StoreAnswers(now)
}

// SendStoreUpdates tells the subscribed gateways what they lack, and those that were told
// nothing for a while that there is nothing.
func (x *Exchange) SendStoreUpdates(now time.Time) {
	reached := x.options.Store.Reached()
	x.mu.Lock()
	out := x.storeUpdates(x.subscribers.Due(reached, now), now)
	x.mu.Unlock()
	x.write(out)
}

// storeUpdates returns updates for gateways that know changes up to the given revisions,
// within the allowance. The caller holds the lock.
func (x *Exchange) storeUpdates(due map[string]store.Revision, now time.Time) []datagram {
	var out []datagram
	for name, at := range due {
		m := x.members[name]
		if m == nil {
			continue
		}
		for _, u := range x.options.Store.Since(at, x.subscribers.Reads(name), now) {
			if !x.relayAllowance.take(datagramOverhead+u.Bytes(), now) {
				break
			}
			x.subscribers.Sent(name, u.To, now)
			message := encodeStoreUpdate(u)
			x.stampUpdate(message, name, u.Assured)
			out = append(out, x.newDatagram(m, &wirepb.GatewayState{StoreUpdate: message}, now))
		}
	}
	return out
}

// subscribe asks the relays that are due for the changes of the store. A gateway that has
// not read the store waits for its own reading.
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

// receiveSubscription notes a subscription and answers it.
func (x *Exchange) receiveSubscription(from string, s *wirepb.StoreSubscription, now time.Time) {
	at := store.Revision(s.At)
	x.mu.Lock()
	first := !x.subscribers.Any(now)
	x.subscribers.Subscribe(from, at, relay.Reads{Deltas: s.Deltas, Eras: s.Eras}, now)
	x.subscribers.Stamp(from, s.Stamp, boottime.Now())
	var out []datagram
	if x.options.Store.Reached() > 0 {
		out = x.storeUpdates(map[string]store.Revision{from: at}, now)
	}
	x.mu.Unlock()
	x.write(out)
	if first {
		x.options.Store.Subscribed()
	}
}

// receiveUpdate takes an update of a relay. If changes before it were lost, it is asked
// again at once. A relay in an earlier era of the store confirms nothing.
func (x *Exchange) receiveUpdate(from string, u relay.Update, now time.Time) {
	if u.To.Era() < x.options.Store.Reached().Era() {
		u.Age, u.Assured = relay.Unconfirmed, time.Time{}
	}
	applied := x.options.Store.Receive(u)
	x.mu.Lock()
	x.sources.Heard(from, &u, applied, now)
	x.mu.Unlock()
	if !applied {
		x.subscribe(now)
	}
}

func encodeStoreUpdate(u relay.Update) *wirepb.StoreUpdate {
	out := &wirepb.StoreUpdate{From: uint64(u.From), To: uint64(u.To), AgeMs: uint32(u.Age.Milliseconds()), More: u.More, Restored: uint64(u.Restored)}
	for _, c := range u.Changes {
		out.Changes = append(out.Changes, &wirepb.StoreChange{Key: c.Key, Value: c.Value, Revision: uint64(c.Revision), Gone: c.Gone})
	}
	for _, d := range u.Deltas {
		out.Deltas = append(out.Deltas, &wirepb.StoreDelta{Key: d.Key, Revision: uint64(d.Revision), Base: uint64(d.Base), Delta: d.Bytes})
	}
	return out
}

func decodeStoreUpdate(u *wirepb.StoreUpdate) relay.Update {
	out := relay.Update{From: store.Revision(u.From), To: store.Revision(u.To), Age: time.Duration(u.AgeMs) * time.Millisecond, More: u.More, Restored: store.Revision(u.Restored)}
	for _, c := range u.Changes {
		out.Changes = append(out.Changes, store.Event{Item: store.Item{Key: c.Key, Value: c.Value, Revision: store.Revision(c.Revision)}, Gone: c.Gone})
	}
	for _, d := range u.Deltas {
		out.Deltas = append(out.Deltas, relay.Delta{Key: d.Key, Revision: store.Revision(d.Revision), Base: store.Revision(d.Base), Bytes: d.Delta})
	}
	return out
}
