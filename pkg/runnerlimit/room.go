package runnerlimit

import "time"

// Room reports whether this gateway may send a runner one more request now, which takes some calls.
func (t *Table) Room(runner string, calls int, now time.Time) bool {
	if !t.some.Load() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.room(runner, calls, now) {
		return true
	}
	t.limits[runner].withheld++
	return false
}

func (t *Table) room(runner string, calls int, now time.Time) bool {
	l := t.limits[runner]
	if l == nil || l.over {
		return true
	}
	l.fill(now, t.share(runner, l, now))
	u := t.usersOf(runner, l)
	return u.own && l.room(calls, len(u.names))
}

// Claim keeps calls for a request until they are made, and reports whether there is room for them.
func (t *Table) Claim(runner, request string, calls int, now time.Time) bool {
	if !t.some.Load() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.room(runner, calls, now) {
		return false
	}
	if l := t.limits[runner]; l != nil && !l.over {
		l.claims[request] = claim{calls: calls, at: now}
	}
	return true
}

// Release gives up what was kept for a request.
func (t *Table) Release(runner, request string) {
	if !t.some.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[runner]; l != nil {
		delete(l.claims, request)
	}
}

// Sent counts a call that is made to a runner now, of a request or, for an empty one, of none.
func (t *Table) Sent(runner, request string, now time.Time) {
	if !t.some.Load() || !t.sent(runner, request, now) {
		return
	}
	t.counted()
}

func (t *Table) sent(runner, request string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[runner]
	if l == nil || l.over {
		return false
	}
	l.fill(now, t.share(runner, l, now))
	l.take(1)
	l.recent = append(l.recent, now)
	l.sent++
	if c, ok := l.claims[request]; ok {
		c.calls--
		l.claims[request] = c
	}
	t.revision++
	l.sentAt = t.revision
	return true
}

// After returns in what time a runner has room for a request of some calls; 0 for now.
func (t *Table) After(runner string, calls int, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.room(runner, calls, now) {
		return 0
	}
	l := t.limits[runner]
	part := t.share(runner, l, now)
	if part == 0 {
		// Another gateway may have room; by now it has what one that used nothing would have.
		part = 1
	}
	return l.after(calls, part)
}
