package quarantine

import "time"

// term is the time for which a quarantine lasts, and the state of its publication to the store.
type term struct {
	// until is the end of the latest quarantine; zero if there was none.
	until time.Time
	// endKnown reports whether until is exact. It is an upper bound for a quarantine that was only read
	// from the store.
	endKnown bool
	// published reports whether the quarantine is in the store. If it is not, publishAt is the next time
	// to write it, and publishBackoff the delay after that write.
	published      bool
	publishAt      time.Time
	publishBackoff time.Duration
}

// over reports whether no quarantine lasts.
func (t *term) over(now time.Time) bool { return !now.Before(t.until) }

// start starts a quarantine and schedules its first write to the store.
func (t *term) start(until, publishAt time.Time) {
	*t = term{until: until, endKnown: true, publishAt: publishAt, publishBackoff: publishDelay}
}

// recordRead records that the quarantine is in the store. It reports whether the quarantine is new.
func (t *term) recordRead(now time.Time) bool {
	isNew := t.over(now)
	if isNew {
		*t = term{until: now.Add(Duration), publishBackoff: publishDelay}
	}
	t.published = true
	return isNew
}

// rewrite schedules the quarantine to be written to the store again.
func (t *term) rewrite(at time.Time) {
	t.published, t.publishAt, t.publishBackoff = false, at, publishDelay
}

// due reports whether the quarantine is due to be written to the store, and schedules the next write
// after a backoff, in case this one fails.
func (t *term) due(now time.Time, jitter func(time.Duration) time.Duration) bool {
	if t.over(now) || t.published || now.Before(t.publishAt) {
		return false
	}
	t.publishAt = now.Add(jitter(t.publishBackoff))
	t.publishBackoff = min(2*t.publishBackoff, maxPublishDelay)
	return true
}
