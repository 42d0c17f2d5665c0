package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// relays is how many gateways look at the store often and pass its changes on. The
	// others look seldom, so that the calls to the store hardly grow with the number
	// of gateways; with six, the loss of a failure domain leaves some.
	relays = 6
	// maxRelayed bounds the values of one datagram with changes of the store, in
	// bytes. A change that is larger is left to the store itself.
	maxRelayed = 8 << 10
	// relayRate bounds what a relay sends, in bytes a second, and relayBurst what it may
	// send at once: some 100 runners that change together, to 40 gateways. When a whole
	// system starts, thousands of runners register, and nobody waits for them: the own
	// watches bring what is left out.
	relayRate  = 128 << 10
	relayBurst = 1 << 20
	// datagramHead is what a datagram takes besides its values, in bytes.
	datagramHead = 80
)

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

// Relay reports whether this gateway is one of those that look at the store often: the
// first of the living ones in an order that spreads them over the failure domains.
func (x *Exchange) Relay() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Index(x.relayOrder(), x.options.Name) < relays
}

// relayOrder returns the names of the living gateways, with the own one, in an order
// that is the same at all. The caller holds the lock.
func (x *Exchange) relayOrder() []string {
	names := []string{x.options.Name}
	for name, m := range x.members {
		if m.alive {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return names
}

// SendStoreChanges passes changes of the store on, within the allowance. Each gateway
// that is no relay gets them from one that is; one that gets none looks at the store
// itself a little later.
func (x *Exchange) SendStoreChanges(changes []store.Event, now time.Time) {
	var out []datagram
	parts := splitStoreChanges(changes)
	x.mu.Lock()
	order := x.relayOrder()
	self := slices.Index(order, x.options.Name)
	for i := relays + self; self < relays && i < len(order); i += relays {
		m := x.members[order[i]]
		for _, part := range parts {
			if x.relayed.take(changeBytes(part), now) {
				out = append(out, x.datagram(m, &wirepb.GatewayState{StoreChanges: part}, now))
			}
		}
	}
	x.mu.Unlock()
	x.write(out)
}

// changeBytes returns about how many bytes a datagram with changes takes.
func changeBytes(changes []*wirepb.StoreChange) int {
	n := datagramHead
	for _, c := range changes {
		n += len(c.Key) + len(c.Value)
	}
	return n
}

// splitStoreChanges encodes changes in parts that fit a datagram, without those that
// are too large.
func splitStoreChanges(changes []store.Event) [][]*wirepb.StoreChange {
	var out [][]*wirepb.StoreChange
	size := maxRelayed
	for _, c := range changes {
		n := len(c.Key) + len(c.Value)
		if n > maxRelayed {
			continue
		}
		if size += n; size > maxRelayed {
			out = append(out, nil)
			size = n
		}
		last := len(out) - 1
		out[last] = append(out[last], &wirepb.StoreChange{Key: c.Key, Value: c.Value, Revision: c.Revision, Gone: c.Gone})
	}
	return out
}

func decodeStoreChanges(changes []*wirepb.StoreChange) []store.Event {
	out := make([]store.Event, 0, len(changes))
	for _, c := range changes {
		out = append(out, store.Event{Item: store.Item{Key: c.Key, Value: c.Value, Revision: c.Revision}, Gone: c.Gone})
	}
	return out
}
