package relay

import (
	"github.com/hopwell/hopwell/pkg/delta"
	"github.com/hopwell/hopwell/pkg/store"
)

// largeValueBytes is the size from which on a changed value is sent as a delta, in bytes. A
// configuration of 259 routes has 60 KB, an entry of a runner 300 bytes.
const largeValueBytes = 4 << 10

// Delta is a change of a large value, encoded as the difference from the previous value.
type Delta struct {
	Key string
	// Revision is that of the change, Base that of the previous value.
	Revision, Base store.Revision
	// Bytes encode the difference; see package delta.
	Bytes []byte
}

// largeItem holds the current and the previous value of a key whose values are large. The delta is
// encoded when it is first sent: most gateways are not relays.
type largeItem struct {
	current, previous store.Item
	delta             []byte
}

// RecordItems records the items of a full read of the store, so that the next change of a large
// value can be sent as a delta.
func (h *History) RecordItems(items []store.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range items {
		if have := h.large[i.Key]; len(i.Value) >= largeValueBytes && (have == nil || have.current.Revision < i.Revision) {
			h.large[i.Key] = &largeItem{current: i}
		}
	}
}

// updateLarge records a change of a key. The caller holds the lock.
func (h *History) updateLarge(c store.Event) {
	old := h.large[c.Key]
	if c.Removed || len(c.Value) < largeValueBytes {
		delete(h.large, c.Key)
		return
	}
	next := &largeItem{current: c.Item}
	if old != nil && old.current.Revision < c.Revision {
		next.previous = old.current
	}
	if h.large == nil {
		h.large = map[string]*largeItem{}
	}
	h.large[c.Key] = next
}

// deltaFor returns the delta of a changed large value for a gateway that has all changes up to a
// revision; false if the gateway lacks the previous value. The caller holds the lock.
func (h *History) deltaFor(c store.Event, at store.Revision) (Delta, bool) {
	l := h.large[c.Key]
	if l == nil || l.current.Revision != c.Revision || l.previous.Value == nil || l.previous.Revision > at {
		return Delta{}, false
	}
	if l.delta == nil {
		l.delta = delta.Encode(l.previous.Value, l.current.Value)
	}
	return Delta{Key: c.Key, Revision: c.Revision, Base: l.previous.Revision, Bytes: l.delta}, true
}

// bytes returns the approximate size of the delta, in bytes.
func (d Delta) bytes() int { return len(d.Key) + len(d.Bytes) }
