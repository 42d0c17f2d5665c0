package runners

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// evacuations holds the failure domains whose runners get no new work until an operator restores
// the domain. An evacuation belongs to the domain, not to its runners: it also covers a runner that
// registers there later or whose entry is rewritten.
type evacuations struct {
	mu      sync.RWMutex
	domains map[string]bool
	// restored is when each domain was last restored.
	restored map[string]time.Time
}

// covers reports whether a domain is evacuated. A nil set covers none.
func (e *evacuations) covers(domain string) bool {
	if e == nil {
		return false
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.domains[domain]
}

// restoredAt returns when a domain was last restored; zero is never.
func (e *evacuations) restoredAt(domain string) time.Time {
	if e == nil {
		return time.Time{}
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.restored[domain]
}

// set records whether a domain is evacuated, and reports whether that changed.
func (e *evacuations) set(domain string, evacuated bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.domains[domain] == evacuated {
		return false
	}
	if evacuated {
		e.domains[domain] = true
		return true
	}
	delete(e.domains, domain)
	e.restored[domain] = now
	return true
}

// list returns the evacuated domains, sorted.
func (e *evacuations) list() []string {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return slices.Sorted(maps.Keys(e.domains))
}

// Evacuate records that the runners of a domain get no new work: no prefill, no decode, no retry
// and no order to change the stage. Running requests go on, and prompts that were prefilled there
// may still be fetched. It reports whether the domain was not evacuated before.
func (d *Directory) Evacuate(domain string, now time.Time) bool {
	if !d.evacuated.set(domain, true, now) {
		return false
	}
	d.invalidate()
	return true
}

// Restore records that the evacuation of a domain ended, and reports whether the domain was
// evacuated.
func (d *Directory) Restore(domain string, now time.Time) bool {
	if !d.evacuated.set(domain, false, now) {
		return false
	}
	d.invalidate()
	return true
}

// SyncEvacuated applies a full reading of the store: evacuated domains that are not among the given
// domains are restored. It returns the restored domains.
func (d *Directory) SyncEvacuated(domains map[string]bool, now time.Time) []string {
	var restored []string
	for _, domain := range d.evacuated.list() {
		if !domains[domain] && d.Restore(domain, now) {
			restored = append(restored, domain)
		}
	}
	return restored
}

// RestoredSince reports whether a domain was last restored after the time since.
func (d *Directory) RestoredSince(domain string, since time.Time) bool {
	return d.evacuated.restoredAt(domain).After(since)
}

// Evacuated returns the evacuated domains, sorted.
func (d *Directory) Evacuated() []string { return d.evacuated.list() }

// invalidate marks the lists that are derived from the runners as out of date.
func (d *Directory) invalidate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.invalidateLocked()
}
