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
// may have asked for is moved to the new one.
func (t *Table) Replace(runner string, by Incarnation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
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
	t.updateNonEmpty()
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
