package sidecar

import (
	"fmt"
	"sync"
	"time"
)

// fenceRetention is the minimum time for which started and fenced attempts are
// recorded. No order stays in flight for that long.
const fenceRetention = 10 * time.Minute

// fences records which attempts started here and which must never start. It
// keeps two generations of records, which bounds its size by time.
type fences struct {
	mu                sync.Mutex
	rotated           time.Time
	current, previous map[string]bool
}

func newFences() fences {
	return fences{rotated: time.Now(), current: map[string]bool{}, previous: map[string]bool{}}
}

// attemptKey identifies a role in an attempt of a request.
func attemptKey(request string, attempt uint32, role string) string {
	return fmt.Sprintf("%s/%d/%s", request, attempt, role)
}

// rotate drops the previous generation once the current one is older than
// fenceRetention. The caller holds f.mu.
func (f *fences) rotate() {
	if time.Since(f.rotated) < fenceRetention {
		return
	}
	f.rotated = time.Now()
	f.previous, f.current = f.current, map[string]bool{}
}

// lookup returns whether the attempt started and whether it is recorded.
func (f *fences) lookup(key string) (started, recorded bool) {
	if v, ok := f.current[key]; ok {
		return v, true
	}
	v, ok := f.previous[key]
	return v, ok
}

// tryStart records that an attempt is about to start and reports whether it
// may. A fenced attempt may not, and neither may one that has started before.
func (f *fences) tryStart(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotate()
	if _, recorded := f.lookup(key); recorded {
		return false
	}
	f.current[key] = true
	return true
}

// fence reports whether the attempt has started. If it has not, fence prevents
// a later start.
func (f *fences) fence(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rotate()
	if started, recorded := f.lookup(key); recorded {
		return started
	}
	f.current[key] = false
	return false
}
