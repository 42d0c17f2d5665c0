package runnerlimit

import "time"

// Room reports whether this gateway may now send a runner one more request that takes the given number of
// calls.
func (t *Table) Room(runner string, calls int, now time.Time) bool {
	if !t.nonEmpty.Load() {
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
	if l == nil || l.ended {
		return true
	}
	l.refill(now, t.share(runner, l, now))
	u := t.usersOf(runner, l)
	return u.own && l.room(calls, len(u.names))
}

// Claim reserves calls for a request until they are made, and reports whether there is room for them.
func (t *Table) Claim(runner, request string, calls int, now time.Time) bool {
	if !t.nonEmpty.Load() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.room(runner, calls, now) {
		return false
	}
	if l := t.limits[runner]; l != nil && !l.ended {
		l.claims[request] = claim{calls: calls, at: now}
	}
	return true
}

// Release releases the calls reserved for a request.
func (t *Table) Release(runner, request string) {
	if !t.nonEmpty.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[runner]; l != nil {
		delete(l.claims, request)
	}
}

// Sent counts a call that is made to a runner now. request is the request that the call belongs to; empty for
// none.
func (t *Table) Sent(runner, request string, now time.Time) {
	if !t.nonEmpty.Load() || !t.sent(runner, request, now) {
		return
	}
	t.notifyCounted()
}

func (t *Table) sent(runner, request string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[runner]
	if l == nil || l.ended {
		return false
	}
	l.refill(now, t.share(runner, l, now))
	l.consume(1)
	l.recentCalls = append(l.recentCalls, now)
	l.sent++
	l.called = true
	if c, ok := l.claims[request]; ok {
		c.calls--
		l.claims[request] = c
	}
	t.revision++
	l.callRevision = t.revision
	return true
}

// After returns the time until a runner has room for a request that takes the given number of calls; 0 if it
// has room now.
func (t *Table) After(runner string, calls int, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.room(runner, calls, now) {
		return 0
	}
	l := t.limits[runner]
	fraction := t.share(runner, l, now)
	if fraction == 0 {
		// This gateway has no share, but another one may have room. The wait is estimated at the full rate,
		// as if no calls were made until then.
		fraction = 1
	}
	return l.after(calls, fraction)
}
