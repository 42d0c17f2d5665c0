package process

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/delta"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/relay"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
)

// ErrDelta reports that a delta from a relay could not be applied to the copy of the store.
type ErrDelta struct {
	Key string
	// Revision is the revision of the change, Base that of the value that the delta applies to,
	// Have that of the value in the copy.
	Revision, Base, Have store.Revision
	Err                  error
}

// Error implements error.
func (e *ErrDelta) Error() string {
	return fmt.Sprintf("can't apply a change: key=%s revision=%s base=%s have=%s cause=%v", e.Key, e.Revision, e.Base, e.Have, e.Err)
}

// Unwrap returns the cause.
func (e *ErrDelta) Unwrap() error { return e.Err }

// storeCopy is a gateway's copy of the items of the store that gateways need.
type storeCopy struct {
	mu    sync.Mutex
	items map[string]store.Item
	at    store.Revision
	// size is the memory of all items, bound what it may be, both in bytes; see cost. A bound of 0 stands
	// for defaultCopyBytes.
	size, bound int64
	// readable is set if no runner's entry was added since unreadable ones were removed.
	readable bool
	// lostAt is when the store stopped responding; zero while it responds.
	lostAt time.Time
}

// needed reports whether gateways need the item of a key.
func needed(key string) bool {
	_, runner := platform.RunnerName(key)
	_, evacuation := platform.EvacuatedDomain(key)
	return runner || evacuation || key == platform.ConfigKey || key == orderKey ||
		strings.HasPrefix(key, gatewayPrefix) || strings.HasPrefix(key, changePrefix) || isQuarantineKey(key) || strings.HasPrefix(key, recordPrefix) || strings.HasPrefix(key, mixedPrefix)
}

// neededAtStart reports whether gateways need the item of a key when they start.
func neededAtStart(key string) bool { return needed(key) || strings.HasPrefix(key, batchPrefix) }

// has reports whether the copy has an item.
func (c *storeCopy) has(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.items[key]
	return ok
}

// replace replaces the copy by a full read of the store.
func (c *storeCopy) replace(items []store.Item, at store.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.items, c.at, c.size = map[string]store.Item{}, at, 0
	for _, i := range items {
		if needed(i.Key) {
			c.put(i)
		}
	}
}

// put adds or replaces an item. The caller holds the lock.
func (c *storeCopy) put(i store.Item) {
	c.remove(i.Key)
	c.items[i.Key] = i
	c.size += cost(i)
	c.readable = false
}

// remove removes the item of a key. The caller holds the lock.
func (c *storeCopy) remove(key string) {
	c.size -= c.costOf(key)
	delete(c.items, key)
}

// maxResolvedBytes bounds the values that the deltas of one update may produce, in bytes: some bytes of a
// delta can stand for a value of 1 MB.
const maxResolvedBytes = 2 << 20

// resolve applies the deltas of an update to the values in the copy. If a delta can't be applied,
// it is removed from the update with all later changes, which are left to a watch.
func (c *storeCopy) resolve(u *relay.Update) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := 0
	for _, d := range u.Deltas {
		before := c.items[d.Key]
		if before.Revision >= d.Revision {
			continue // The change is already applied.
		}
		value, err := delta.Apply(before.Value, d.Bytes)
		if size += len(value); err == nil && size > maxResolvedBytes {
			err = memory.TooLarge("values of an update", int64(size), maxResolvedBytes)
		}
		if err != nil {
			u.Changes = slices.DeleteFunc(u.Changes, func(e store.Event) bool { return e.Revision >= d.Revision })
			u.To, u.Truncated = d.Revision-1, true
			return &ErrDelta{Key: d.Key, Revision: d.Revision, Base: d.Base, Have: before.Revision, Err: err}
		}
		u.Changes = append(u.Changes, store.Event{Item: store.Item{Key: d.Key, Value: value, Revision: d.Revision}})
	}
	slices.SortStableFunc(u.Changes, func(a, b store.Event) int { return cmp.Compare(a.Revision, b.Revision) })
	return nil
}

// changes returns the differences between the copy at revision from and a full read at revision to.
// The read is not atomic: items with later revisions are left to the watch that follows.
func (c *storeCopy) changes(items []store.Item, from, to store.Revision) []store.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []store.Event
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
		if needed(i.Key) && i.Revision > from && i.Revision <= to {
			out = append(out, store.Event{Item: i})
		}
	}
	slices.SortFunc(out, func(a, b store.Event) int { return cmp.Compare(a.Revision, b.Revision) })
	for key := range c.items {
		if !present[key] {
			out = append(out, store.Event{Item: store.Item{Key: key, Revision: to}, Removed: true})
		}
	}
	return out
}

// changesAfterRestore returns the difference between the copy and a full read in a later era. It
// compares values, since the store reuses revision numbers. Removals come first, with revision
// number 0 of the new era, since no watch of that era reports a revision for them.
func (c *storeCopy) changesAfterRestore(items []store.Item, to store.Revision) ([]store.Event, error) {
	start, err := store.RevisionOf(to.Era(), 0)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var missing, changed []store.Event
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
		if have, known := c.items[i.Key]; needed(i.Key) && i.Revision <= to && !(known && sameValue(have, i)) {
			changed = append(changed, store.Event{Item: i})
		}
	}
	for key := range c.items {
		if !present[key] {
			missing = append(missing, store.Event{Item: store.Item{Key: key, Revision: start}, Removed: true})
		}
	}
	slices.SortFunc(missing, func(a, b store.Event) int { return cmp.Compare(a.Key, b.Key) })
	slices.SortStableFunc(changed, func(a, b store.Event) int { return cmp.Compare(a.Revision, b.Revision) })
	return append(missing, changed...), nil
}

// sameValue reports whether two items of a key have equal values, apart from the sequence number of a
// runner's entry.
func sameValue(a, b store.Item) bool {
	if bytes.Equal(a.Value, b.Value) {
		return true
	}
	if _, ok := platform.RunnerName(a.Key); !ok {
		return false
	}
	was, errWas := platform.DecodeRunner(a.Key, a.Value)
	is, errIs := platform.DecodeRunner(b.Key, b.Value)
	return errWas == nil && errIs == nil && was.Runner == is.Runner && was.ColdFor == is.ColdFor
}

func (c *storeCopy) get(key string) (store.Item, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, ok := c.items[key]
	return i, ok
}

// apply applies changes up to a revision.
func (c *storeCopy) apply(events []store.Event, at store.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = at
	for _, e := range events {
		if e.Removed {
			c.remove(e.Key)
		} else if needed(e.Key) {
			c.put(e.Item)
		}
	}
}

// setReachable records whether the store responds.
func (c *storeCopy) setReachable(reachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAt = time.Time{}
	if !reachable {
		c.lostAt = time.Now()
	}
}

// unreachable reports whether the store does not respond.
func (c *storeCopy) unreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lostAt.IsZero()
}

// emptyAndUnreachable reports whether the copy is empty and the store does not respond.
func (c *storeCopy) emptyAndUnreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.items) == 0 && !c.lostAt.IsZero()
}

// loaded reports whether the copy holds any items.
func (c *storeCopy) loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.items) > 0
}

// export returns the copy for another gateway, and false if it is empty.
func (c *storeCopy) export(now time.Time) (sharedState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := sharedState{At: c.at}
	if !c.lostAt.IsZero() {
		s.AgeMs = now.Sub(c.lostAt).Milliseconds()
	}
	for _, i := range c.items {
		s.Items = append(s.Items, i)
	}
	return s, len(s.Items) > 0
}
