package relay

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/store"
)

const (
	// maxHistoryBytes bounds the keys and values of the retained changes, in bytes: some 700 runner
	// entries. A gateway that lacks more reads the store itself.
	maxHistoryBytes = 256 << 10
	// maxUpdateBytes bounds the changes of one update, in bytes, so that it fits a datagram of
	// 16 KB.
	maxUpdateBytes = 14 << 10
)

// History retains the latest changes of the store without gaps. It keeps only the last change of
// each key: when configurations change rapidly, only the newest is sent. It is safe for concurrent
// use.
type History struct {
	mu sync.Mutex
	// base and reached bound the history: changes holds the last change of each key after base up to
	// reached, ordered by revision.
	base, reached store.Revision
	// freshAt is the latest time at which the store reported no change after reached. It is a time
	// of time.Now: the arrival of a response of the store, or that of an update minus its Age.
	freshAt time.Time
	// confirmed is a time by boottime at which the store certainly had no change after reached: the
	// time of a request, see Confirm. Times before confirmFrom are rejected: a restored store may
	// lack acknowledged changes.
	confirmed, confirmFrom time.Time
	// readFrom is such a time for readings of this gateway, see DelayReads.
	readFrom time.Time
	// restored is the value of Update.Restored.
	restored store.Revision
	changes  []store.Event
	bytes    int
	// newest maps each key to the revision of its retained change, so that changes need not be
	// scanned for an earlier change of the key. Thousands of runners write their entries, and most
	// changes are of keys without a retained change.
	newest map[string]store.Revision
	// large holds the newest large values by key.
	large map[string]*largeItem
}

// Restart discards the history and starts at a revision, after a full read of the store.
func (h *History) Restart(at store.Revision, freshAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.base, h.reached, h.restored, h.freshAt, h.changes, h.bytes = at, at, 0, freshAt, nil, 0
	h.newest, h.large = map[string]store.Revision{}, map[string]*largeItem{}
}

// Advance adds the changes after the revision reached, in their order, up to the given revision.
// freshAt is a time at which the store had no change after that revision, zero if none is known.
func (h *History) Advance(to store.Revision, changes []store.Event, freshAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(to, changes, freshAt)
}

// advance implements Advance. The caller holds the lock.
func (h *History) advance(to store.Revision, changes []store.Event, freshAt time.Time) {
	if to < h.reached {
		return
	}
	h.reached = to
	if freshAt.After(h.freshAt) {
		h.freshAt = freshAt
	}
	for _, c := range changes {
		h.replace(c)
	}
	h.trim()
}

// Restore adds an update that leads to a later era. Subscribers at the revision reached before it
// can resume from here, all others need a full read of the store. Times before confirmFrom are no
// longer accepted by Confirm.
func (h *History) Restore(u Update, freshAt, confirmFrom time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.base, h.changes, h.bytes, h.newest = h.reached, nil, 0, map[string]store.Revision{}
	h.restored, h.confirmFrom = u.Restored, confirmFrom
	h.advance(u.To, u.Changes, freshAt)
}

// Confirm records that the history has all changes that the store had at the time `asked`. This is
// when the request was sent to the store or a relay, not when the response arrived, so it holds
// however long the response or this process was delayed.
func (h *History) Confirm(asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !asked.Before(h.confirmFrom) {
		h.confirmed = later(h.confirmed, asked)
	}
}

// DelayReads makes ConfirmRead reject times before from. It is for the first read of a store that was restored
// once: that may have been just now, which only gateways know that read the store before.
func (h *History) DelayReads(from time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readFrom = from
}

// ConfirmRead is Confirm for a request to the store.
func (h *History) ConfirmRead(asked time.Time) {
	h.mu.Lock()
	early := asked.Before(h.readFrom)
	h.mu.Unlock()
	if !early {
		h.Confirm(asked)
	}
}

// ConfirmationPending reports whether no time has been confirmed since a restore, and how long it
// takes until one can be.
func (h *History) ConfirmationPending(now time.Time) (pending bool, left time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	from := later(h.confirmFrom, h.readFrom)
	return h.confirmed.Before(from), max(0, from.Sub(now))
}

// Confirmed returns the latest confirmed time, zero for none.
func (h *History) Confirmed() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed
}

// replace adds a change and removes an earlier change of the same key.
func (h *History) replace(c store.Event) {
	h.updateLarge(c)
	if at, known := h.newest[c.Key]; known {
		i := h.firstAfter(at - 1)
		for h.changes[i].Key != c.Key {
			i++
		}
		h.bytes -= size(h.changes[i])
		h.changes = slices.Delete(h.changes, i, i+1)
	}
	if h.newest == nil {
		h.newest = map[string]store.Revision{}
	}
	h.changes, h.newest[c.Key] = append(h.changes, c), c.Revision
	h.bytes += size(c)
}

// trim drops the oldest changes beyond maxHistoryBytes, all of one revision together.
func (h *History) trim() {
	drop := 0
	for drop < len(h.changes) && h.bytes > maxHistoryBytes {
		h.base = h.changes[drop].Revision
		for drop < len(h.changes) && h.changes[drop].Revision == h.base {
			h.bytes -= size(h.changes[drop])
			delete(h.newest, h.changes[drop].Key)
			drop++
		}
	}
	h.changes = slices.Delete(h.changes, 0, drop)
}

// Reached returns the revision up to which all changes are known, 0 for none, and the latest time
// at which the store reported no later one.
func (h *History) Reached() (store.Revision, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reached, h.freshAt
}

// Since returns the updates, at least one, that bring a gateway from a revision to the one reached.
// Each fits a datagram; a change that is too large is left out with all later ones, and Truncated is
// set. Large values are sent as deltas if encodings.Deltas is set.
func (h *History) Since(at store.Revision, encodings Encodings, now time.Time) []Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	age := max(0, now.Sub(h.freshAt))
	if !h.canResume(at, encodings) {
		return []Update{{From: at, To: at, Age: age, Truncated: true}}
	}
	out := []Update{{From: min(at, h.reached), Age: age, Restored: h.restoredAfter(at)}}
	bytes := 0
	for i := h.firstAfter(at); i < len(h.changes); {
		next := h.revisionEnd(i)
		part := h.encodeFor(h.changes[i:next], at, encodings.Deltas)
		n := part.Bytes()
		if n > maxUpdateBytes {
			last := &out[len(out)-1]
			last.To, last.Truncated = previousRevision(h.changes[i].Revision, at), true
			return out
		}
		if bytes += n; bytes > maxUpdateBytes {
			end := h.changes[i-1].Revision
			out[len(out)-1].To, out[len(out)-1].Age = end, Unconfirmed
			out = append(out, Update{From: end, Age: age, Restored: h.restoredAfter(end)})
			bytes = n
		}
		last := &out[len(out)-1]
		last.Changes, last.Deltas = append(last.Changes, part.Changes...), append(last.Deltas, part.Deltas...)
		i = next
	}
	out[len(out)-1].To, out[len(out)-1].Confirmed = h.reached, h.confirmed
	return out
}

// canResume reports whether the history holds all changes after a revision. A revision of an
// earlier era qualifies only if it is the last one reached before the restore. The caller holds the
// lock.
func (h *History) canResume(at store.Revision, encodings Encodings) bool {
	if h.reached.Era() > 0 && !encodings.Eras {
		return false
	}
	return at == h.base || at > h.base && at.Era() >= h.reached.Era()
}

// restoredAfter returns Update.Restored for the changes after a revision. The caller holds the lock.
func (h *History) restoredAfter(at store.Revision) store.Revision {
	if at >= h.restored {
		return 0
	}
	return h.restored
}

// encodeFor encodes the changes of one revision for a gateway that has all changes up to at. The
// caller holds the lock.
func (h *History) encodeFor(changes []store.Event, at store.Revision, deltas bool) Update {
	var out Update
	for _, c := range changes {
		if deltas && len(c.Value) >= largeValueBytes {
			if d, ok := h.deltaFor(c, at); ok {
				out.Deltas = append(out.Deltas, d)
				continue
			}
		}
		out.Changes = append(out.Changes, c)
	}
	return out
}

// firstAfter returns the index of the first change after a revision.
func (h *History) firstAfter(at store.Revision) int {
	return sort.Search(len(h.changes), func(i int) bool { return h.changes[i].Revision > at })
}

// revisionEnd returns the index after the last change that has the revision of change i: one
// transaction may change several keys.
func (h *History) revisionEnd(i int) int {
	next := i
	for next < len(h.changes) && h.changes[next].Revision == h.changes[i].Revision {
		next++
	}
	return next
}

// previousRevision returns the revision before r, or at if r starts an era.
func previousRevision(r, at store.Revision) store.Revision {
	if r.Number() == 0 {
		return at
	}
	return r - 1
}

func size(e store.Event) int { return len(e.Key) + len(e.Value) }

// Bytes returns the approximate size of the changes of an update, in bytes.
func (u *Update) Bytes() int {
	n := 0
	for _, c := range u.Changes {
		n += size(c)
	}
	for _, d := range u.Deltas {
		n += d.bytes()
	}
	return n
}
