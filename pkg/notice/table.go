package notice

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leavingRetention is how long a leaving incarnation is remembered: longer than a store outage, because
	// its entry may disappear in an outage and reappear without the notice.
	leavingRetention = time.Hour
	// maxLeaving bounds the number of leaving incarnations that are remembered. The oldest are dropped.
	maxLeaving = 4096
	// maxUnknownHeaders bounds the number of unknown header names that are reported to Changed.
	maxUnknownHeaders = 16
	// maxHeaderName bounds the length of such a name in bytes.
	maxHeaderName = 64
)

// announcement records that an incarnation is leaving.
type announcement struct {
	at time.Time
	// sent is when the latest call was sent whose response announced it; zero if another gateway reported it.
	sent time.Time
	// from is the gateway that reported it; empty if this gateway received the response.
	from string
}

// Table holds the notices of all runners. It is safe for concurrent use.
type Table struct {
	// Changed is called after each change, without locks held. It must be set before the table is used; nil
	// disables it.
	Changed func(Change)

	// nonEmpty is set while leaving or pauses has entries. Most of the time neither has, and methods return
	// without locking.
	nonEmpty atomic.Bool

	mu      sync.RWMutex
	leaving map[string]announcement
	pauses  map[string]*pause
	unknown map[string]bool
	// successors maps the ID of an incarnation to the next incarnation of the same runner.
	successors map[string]Incarnation
}

// New returns an empty table.
func New() *Table {
	return &Table{leaving: map[string]announcement{}, pauses: map[string]*pause{}, unknown: map[string]bool{}, successors: map[string]Incarnation{}}
}

// Observe records the notice in a response to a call that was sent to the incarnation with the ID runner.
func (t *Table) Observe(runner string, n Notice, now time.Time) {
	leaves, length := n.leaves(), n.pause()
	if !leaves && length <= 0 && len(n.Unknown) == 0 && !(n.Accepted && t.nonEmpty.Load()) {
		return
	}
	var changes []Change
	t.mu.Lock()
	runner = t.respondent(runner, n.Sent)
	if leaves && t.addLeaving(runner, announcement{at: now, sent: n.Sent}) {
		changes = append(changes, Change{Runner: runner, What: Leaving})
	}
	if length > 0 {
		changes = append(changes, t.recordPause(runner, length, now)...)
	} else if p := t.pauses[runner]; p != nil && n.Accepted && p.accepted(n.Sent) {
		changes = append(changes, t.endChange(runner, p)...)
		delete(t.pauses, runner)
	}
	changes = append(changes, t.unknownHeaders(runner, n.Unknown)...)
	t.updateNonEmpty()
	t.mu.Unlock()
	t.notify(changes)
}

// addLeaving records that an incarnation is leaving, and reports whether that is new. The caller holds the
// lock.
func (t *Table) addLeaving(runner string, a announcement) bool {
	if known, found := t.leaving[runner]; found {
		if a.sent.After(known.sent) {
			known.sent = a.sent
			t.leaving[runner] = known
		}
		return false
	}
	if len(t.leaving) >= maxLeaving {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(t.leaving)), func(a, b string) int {
			return t.leaving[a].at.Compare(t.leaving[b].at)
		})
		delete(t.leaving, oldest)
	}
	t.leaving[runner] = a
	return true
}

// recordPause records that a runner asked for a pause. The caller holds the lock.
func (t *Table) recordPause(runner string, length time.Duration, now time.Time) []Change {
	before := t.pauses[runner]
	if before != nil && before.active(now) {
		before.extend(length, now)
		return nil
	}
	var changes []Change
	p := newPause(now)
	if before != nil {
		changes = t.endChange(runner, before)
		p.inherit(before)
	}
	p.extend(length, now)
	t.pauses[runner] = p
	return append(changes, Change{Runner: runner, What: PauseBegins, For: length, Asked: p.asked})
}

// endChange returns the change for a pause that is over, or nil if it was returned before.
func (t *Table) endChange(runner string, p *pause) []Change {
	if p.endReported {
		return nil
	}
	p.endReported = true
	return []Change{{Runner: runner, What: PauseEnds, For: p.until.Sub(p.since), Asked: p.asked}}
}

// unknownHeaders returns the changes for header names that were not reported before. The caller holds the
// lock.
func (t *Table) unknownHeaders(runner string, names []string) []Change {
	var changes []Change
	for _, name := range names {
		name = name[:min(len(name), maxHeaderName)]
		if len(t.unknown) < maxUnknownHeaders && !t.unknown[name] {
			t.unknown[name] = true
			changes = append(changes, Change{Runner: runner, What: Unknown, Header: name})
		}
	}
	return changes
}

// updateNonEmpty updates nonEmpty after a change of leaving or pauses. The caller holds the lock.
func (t *Table) updateNonEmpty() { t.nonEmpty.Store(len(t.leaving)+len(t.pauses) > 0) }

// Any reports whether any runner is leaving, paused or in a slow start.
func (t *Table) Any() bool { return t.nonEmpty.Load() }

// Admits returns nil if an incarnation may be sent a call for a purpose now, else *ErrLeaving or *ErrPaused.
// Calls for Upkeep are sent to leaving runners too.
func (t *Table) Admits(runner string, purpose Purpose, now time.Time) error {
	if !t.nonEmpty.Load() {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	if a, leaves := t.leaving[runner]; leaves && purpose == Work {
		return &ErrLeaving{Runner: runner, From: a.from, KnownFor: now.Sub(a.at)}
	}
	if p := t.pauses[runner]; p != nil && p.active(now) {
		return &ErrPaused{Runner: runner, Left: p.until.Sub(now)}
	}
	return nil
}

// Leaves reports whether an incarnation is known to be leaving.
func (t *Table) Leaves(runner string) bool {
	if !t.nonEmpty.Load() {
		return false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, leaves := t.leaving[runner]
	return leaves
}

// PausedFor returns the remaining time of a runner's pause; 0 for none.
func (t *Table) PausedFor(runner string, now time.Time) time.Duration {
	if !t.nonEmpty.Load() {
		return 0
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	if p := t.pauses[runner]; p != nil && p.active(now) {
		return p.until.Sub(now)
	}
	return 0
}

// Room reports whether this gateway may send one more request to a runner, which may be paused or in a slow
// start.
func (t *Table) Room(runner string, now time.Time) bool {
	if !t.nonEmpty.Load() {
		return true
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	p := t.pauses[runner]
	return p == nil || p.room(now)
}

// RoomAfter returns the time after which to call Room again for a runner; 0 if there is room now.
func (t *Table) RoomAfter(runner string, now time.Time) time.Duration {
	if t.Room(runner, now) {
		return 0
	}
	return max(t.PausedFor(runner, now), responseTime)
}

// Claim reserves a place for a request in the slow start window of a runner, and reports whether one was
// free.
func (t *Table) Claim(runner, request string, now time.Time) bool {
	if !t.nonEmpty.Load() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pauses[runner]
	if p == nil {
		return true
	}
	if !p.room(now) {
		return false
	}
	p.claims[request] = now
	return true
}

// Release releases the place of a request.
func (t *Table) Release(runner, request string) {
	if !t.nonEmpty.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pauses[runner]; p != nil {
		delete(p.claims, request)
	}
}

// Receive records the leaving incarnations that another gateway reported, including incarnations that are not
// in this gateway's list of runners yet.
func (t *Table) Receive(gateway string, leaving []string, now time.Time) {
	var changes []Change
	t.mu.Lock()
	for _, runner := range leaving {
		if runner != "" && t.addLeaving(runner, announcement{at: now, from: gateway}) {
			changes = append(changes, Change{Runner: runner, What: Leaving, From: gateway})
		}
	}
	t.updateNonEmpty()
	t.mu.Unlock()
	t.notify(changes)
}

// Leaving returns the leaving incarnations that this gateway learned of within the given time, latest first.
func (t *Table) Leaving(within time.Duration, now time.Time) []string {
	if !t.nonEmpty.Load() {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []string
	for runner, a := range t.leaving {
		if now.Sub(a.at) <= within {
			out = append(out, runner)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(t.leaving[b].at.Compare(t.leaving[a].at), cmp.Compare(a, b))
	})
	return out
}

// Withheld returns the runners that are paused or leaving, sorted by ID. Leaving runners are included for the
// time within after this gateway learned of their notice.
func (t *Table) Withheld(within time.Duration, now time.Time) []Withheld {
	if !t.nonEmpty.Load() {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Withheld
	for runner, a := range t.leaving {
		if now.Sub(a.at) > within {
			continue
		}
		out = append(out, Withheld{Runner: runner, Leaving: true, From: a.from, KnownFor: now.Sub(a.at)})
	}
	for runner, p := range t.pauses {
		if p.active(now) {
			out = append(out, Withheld{Runner: runner, KnownFor: now.Sub(p.since), Left: p.until.Sub(now)})
		}
	}
	slices.SortFunc(out, func(a, b Withheld) int { return cmp.Or(cmp.Compare(a.Runner, b.Runner), cmp.Compare(a.Left, b.Left)) })
	return out
}

// Sweep reports pauses that are over, and removes expired notices.
func (t *Table) Sweep(now time.Time) {
	if !t.nonEmpty.Load() {
		return
	}
	var changes []Change
	t.mu.Lock()
	maps.DeleteFunc(t.leaving, func(_ string, a announcement) bool { return now.Sub(a.at) > leavingRetention })
	for runner, p := range t.pauses {
		if p.active(now) {
			continue
		}
		changes = append(changes, t.endChange(runner, p)...)
		if now.Sub(p.until) > slowStartTimeout {
			delete(t.pauses, runner)
		}
	}
	t.updateNonEmpty()
	t.mu.Unlock()
	t.notify(changes)
}

func (t *Table) notify(changes []Change) {
	if t.Changed == nil {
		return
	}
	for _, c := range changes {
		t.Changed(c)
	}
}
