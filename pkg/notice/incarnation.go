package notice

import "time"

// entryLag bounds the time from the start of an incarnation until the list of runners shows it.
const entryLag = 2 * time.Second

// Incarnation is one start of a runner.
type Incarnation struct {
	ID string
	// Began is the start time on the runner's clock.
	Began time.Time
}

// Replace records that the incarnation runner was replaced by the incarnation by. Until the new entry is
// read, responses of the new incarnation are attributed to the old one, so a pause that the new incarnation
// may have asked for is moved to the new one, and so is the announcement that it leaves.
func (t *Table) Replace(runner string, by Incarnation, now time.Time) {
	var changes []Change
	t.mu.Lock()
	if len(t.successors) >= maxLeaving {
		clear(t.successors)
	}
	// A restored store may list an older incarnation again.
	delete(t.successors, by.ID)
	t.successors[runner] = by
	if p := t.pauses[runner]; p != nil {
		delete(t.pauses, runner)
		if p.active(now) && (!p.lastAsked.Before(by.Began) || now.Sub(p.lastAsked) <= entryLag) {
			t.pauses[by.ID] = p
		}
	}
	if t.inheritLeaving(runner, by, now) {
		changes = append(changes, Change{Runner: by.ID, What: Leaving})
	}
	t.updateNonEmpty()
	t.mu.Unlock()
	t.notify(changes)
}

// inheritLeaving records that the new incarnation is leaving if it responded to the latest call whose response
// announced it, and reports whether that is new. An announcement is permanent, unlike a pause, so one that the
// old incarnation may have made is not moved. The caller holds the lock.
func (t *Table) inheritLeaving(runner string, by Incarnation, now time.Time) bool {
	a, leaves := t.leaving[runner]
	if !leaves || a.sent.IsZero() || a.sent.Before(by.Began) {
		return false
	}
	return t.addLeaving(by.ID, announcement{at: now, sent: a.sent})
}

// respondent returns the incarnation that responded to a call: the newest one that had started when the call
// was sent. The caller holds the lock.
func (t *Table) respondent(runner string, sent time.Time) string {
	for {
		by, replaced := t.successors[runner]
		if !replaced || sent.Before(by.Began) {
			return runner
		}
		runner = by.ID
	}
}
