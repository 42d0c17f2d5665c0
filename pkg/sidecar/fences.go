package sidecar

import (
	"fmt"
	"sync"
	"time"
)

// fenceKeep is the least time that begun and fenced attempts are remembered.
// No order can be on its way for that long.
const fenceKeep = 10 * time.Minute

// fences remembers which attempts began here and which must not begin any more.
// Two generations bound its size by time.
type fences struct {
	mu         sync.Mutex
	turned     time.Time
	young, old map[string]bool
}

func newFences() fences {
	return fences{turned: time.Now(), young: map[string]bool{}, old: map[string]bool{}}
}

// attemptKey names the part that a runner has in an attempt of a request.
func attemptKey(request string, attempt uint32, role string) string {
	return fmt.Sprintf("%s/%d/%s", request, attempt, role)
}

// turn forgets what is older than two generations. The caller holds the lock.
func (f *fences) turn() {
	if time.Since(f.turned) < fenceKeep {
		return
	}
	f.turned = time.Now()
	f.old, f.young = f.young, map[string]bool{}
}

// lookup returns whether the attempt is known and whether it began.
func (f *fences) lookup(key string) (began, known bool) {
	if v, ok := f.young[key]; ok {
		return v, true
	}
	v, ok := f.old[key]
	return v, ok
}

// begin records that an attempt is about to begin, and reports whether it may: a
// fenced one may not, and neither may one that began before.
func (f *fences) begin(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn()
	if _, known := f.lookup(key); known {
		return false
	}
	f.young[key] = true
	return true
}

// fence makes sure that an attempt that has not begun never will, and reports
// whether it began.
func (f *fences) fence(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn()
	if began, known := f.lookup(key); known {
		return began
	}
	f.young[key] = false
	return false
}
