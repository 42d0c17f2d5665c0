package runners

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/runnerlimit"
)

// stageKey identifies the runners of one service and stage.
type stageKey struct {
	service string
	stage   Stage
}

// Directory is the set of all known runners.
type Directory struct {
	// gateway is the name of this gateway.
	gateway string

	mu  sync.RWMutex
	all map[string]*State
	// listed holds all runners in the order of compareStates.
	listed []*State
	// current maps the name of a runner to its newest incarnation.
	current map[string]*State
	// services holds the runners of each service, stages those of each service and stage, in the
	// same order. The slices are replaced, never modified.
	services map[string][]*State
	stages   map[stageKey][]*State
	// stale is set when services and stages are out of date.
	stale bool
	// generation counts how often services and stages were invalidated.
	generation atomic.Uint64
	evacuated  *evacuations
	// Changed is called after a change, without a lock held. It may be nil.
	Changed func(what Change)
	// ColdShare returns how many requests this gateway may send to a cold runner in any
	// coldstart.Window; bounded is false if there is no limit. It is set before the first entry is
	// put. If it is nil, there is no limit. It must take no lock: it is called with engine pools locked.
	ColdShare func(Runner) (share int, bounded bool)
	// Limits holds the rate limits that runners reported, Notices what else they reported in their
	// responses.
	Limits  *runnerlimit.Table
	Notices *notice.Table
}

// Change is a change of what is known about a runner.
type Change struct {
	Runner Runner
	// What is "new", "changed", "leaving", "gone" or Replaced. It is "unusable" when another
	// gateway reported that the runner refused a call that was meant for a different runner or a
	// different stage. It is "stage_change" when another gateway reported that the engine was
	// ordered to change its stage.
	What string
}

// Replaced is the Change.What of an incarnation whose runner started again under the same name.
const Replaced = "replaced"

// NewDirectory returns an empty directory for the named gateway. The name distinguishes gateways
// that share the rate limit of a runner, and gives each another order of the runners.
func NewDirectory(gateway string) *Directory {
	return &Directory{
		gateway: gateway, all: map[string]*State{}, current: map[string]*State{}, services: map[string][]*State{},
		evacuated: &evacuations{domains: map[string]bool{}, restored: map[string]time.Time{}},
		Limits:    runnerlimit.New(gateway), Notices: notice.New(),
	}
}

// name returns the name of the runner, or its ID if it has no name.
func (r *Runner) name() string {
	if r.Name == "" {
		return r.ID
	}
	return r.Name
}

// Put records an entry as it is in the store at the time now. A runner that was leaving stays
// leaving. A new incarnation replaces the current one of the same name in the order in which the
// store lists them. Their start times by their own clocks are not compared here; Entry.Before does
// that, to detect older entries in a restored store.
func (d *Directory) Put(r Runner, now time.Time) { d.PutEntry(Entry{Runner: r}, now) }

// PutEntry records an entry with the fields that change during an incarnation; see Put.
func (d *Directory) PutEntry(e Entry, now time.Time) {
	d.put(e.Runner, now)
	if s := d.Find(e.ID); s != nil {
		s.setEntryCold(e.ColdFor, now)
	}
}

func (d *Directory) put(r Runner, now time.Time) {
	if before := d.replace(r, now); before != nil {
		d.notify(Change{before.Runner, Replaced})
	}
	d.mu.Lock()
	old := d.all[r.ID]
	s := &State{Runner: r, sharedState: &sharedState{listHash: d.listHash(r.ID), leaving: r.Leaving, evacuated: d.evacuated, coldShare: d.ColdShare, limits: d.Limits, notices: d.Notices}}
	what := "new"
	if old != nil {
		r.Leaving = r.Leaving || old.Leaving
		old.markPresent()
		d.current[r.name()] = old
		if old.Runner == r {
			d.mu.Unlock()
			return
		}
		s = &State{Runner: r, sharedState: old.sharedState}
		s.update(old.Runner, r)
		what = "changed"
		if r.Leaving && !old.Leaving {
			what = "leaving"
		}
	}
	d.all[r.ID], d.current[r.name()] = s, s
	d.insertLocked(s)
	d.invalidateLocked()
	d.mu.Unlock()
	d.notify(Change{r, what})
}

// replace marks the current incarnation under the name of r as replaced, and returns it. It returns
// nil if there is no other incarnation.
func (d *Directory) replace(r Runner, now time.Time) *State {
	d.mu.RLock()
	before := d.current[r.name()]
	d.mu.RUnlock()
	if before == nil || before.ID == r.ID {
		return nil
	}
	before.mu.Lock()
	before.replaced, before.goneAt = true, now
	before.mu.Unlock()
	d.Notices.Replace(before.ID, notice.Incarnation{ID: r.ID, Began: time.UnixMilli(r.Born)}, now)
	return before
}

// markPresent records that the entry of a runner is in the store again.
func (s *sharedState) markPresent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.goneAt, s.replaced = time.Time{}, false
}

// update applies a changed entry. An entry with another stage ends the pending stage change.
func (s *sharedState) update(old, updated Runner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = updated.Leaving
	if old.Stage != updated.Stage {
		s.change = pendingChange{}
	}
}

// Remove marks the current runner with the given name as removed, because its entry is no longer in
// the store.
func (d *Directory) Remove(name string, now time.Time) {
	d.mu.RLock()
	s := d.current[name]
	d.mu.RUnlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	first := s.goneAt.IsZero()
	if first {
		s.goneAt = now
	}
	s.mu.Unlock()
	if first {
		d.notify(Change{s.Runner, "gone"})
	}
}

// SyncRunners applies a full reading of the store: the runners that are not among the names are marked as
// removed.
func (d *Directory) SyncRunners(names map[string]bool, now time.Time) {
	d.mu.RLock()
	var missing []string
	for name := range d.current {
		if !names[name] {
			missing = append(missing, name)
		}
	}
	d.mu.RUnlock()
	for _, name := range missing {
		d.Remove(name, now)
	}
}

// forgetAfter is how long a runner is remembered after its entry was removed.
const forgetAfter = 30 * time.Second

// Sweep deletes the runners whose entries were removed more than forgetAfter ago, and the expired
// reports of other gateways about the remaining runners.
func (d *Directory) Sweep(now time.Time) {
	d.Limits.Sweep(now)
	d.Notices.Sweep(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for id, s := range d.all {
		s.mu.Lock()
		expired := !s.goneAt.IsZero() && now.Sub(s.goneAt) > forgetAfter
		maps.DeleteFunc(s.others, func(_ string, r report) bool { return now.Sub(r.at) > reportTTL })
		s.mu.Unlock()
		if expired {
			delete(d.all, id)
			d.removeLocked(s)
			if d.current[s.name()] == s {
				delete(d.current, s.name())
			}
			changed = true
		}
	}
	if changed {
		d.invalidateLocked()
	}
}

// invalidateLocked marks services and stages as out of date. They are rebuilt when they are next
// read, so that many runners that register one after the other cost one rebuild. The caller holds
// the lock.
func (d *Directory) invalidateLocked() {
	d.stale = true
	d.generation.Add(1)
}

// lists returns services and stages, rebuilt if they are out of date.
func (d *Directory) lists() (map[string][]*State, map[stageKey][]*State) {
	d.mu.RLock()
	services, stages, stale := d.services, d.stages, d.stale
	d.mu.RUnlock()
	if !stale {
		return services, stages
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stale {
		d.index()
	}
	return d.services, d.stages
}

// index rebuilds services and stages. The caller holds the lock.
func (d *Directory) index() {
	services, stages := map[string][]*State{}, map[stageKey][]*State{}
	for _, s := range d.listed {
		services[s.Service] = append(services[s.Service], s)
		key := stageKey{s.Service, s.Stage}
		stages[key] = append(stages[key], s)
	}
	d.services, d.stages, d.stale = services, stages, false
}

func (d *Directory) notify(c Change) {
	if d.Changed != nil {
		d.Changed(c)
	}
}

// Usable returns the runners of a service and stage that may get new work.
func (d *Directory) Usable(service string, stage Stage, now time.Time) []*State {
	_, stages := d.lists()
	list := stages[stageKey{service, stage}]
	out := make([]*State, 0, len(list))
	for _, s := range list {
		if s.Usable(now) {
			out = append(out, s)
		}
	}
	return out
}

// Stage returns all runners of a service and stage, including those that take no work. The caller
// must not modify the slice.
func (d *Directory) Stage(service string, stage Stage) []*State {
	_, stages := d.lists()
	return stages[stageKey{service, stage}]
}

// Generation returns a number that increases when a runner is added, changed or forgotten
// (forgetAfter after its entry was removed), or when a failure domain is evacuated or restored.
func (d *Directory) Generation() uint64 { return d.generation.Load() }

// Find returns the runner with the given ID, or nil.
func (d *Directory) Find(id string) *State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.all[id]
}

// Current returns the current incarnation of the runner with the given name, or nil.
func (d *Directory) Current(name string) *State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.current[name]
}

// Present returns the runners of a service that are registered and not leaving, replaced, evacuated
// or refusing calls, including engines that are changing their stage and paused runners.
func (d *Directory) Present(service string, now time.Time) []*State {
	services, _ := d.lists()
	list := services[service]
	out := make([]*State, 0, len(list))
	for _, s := range list {
		s.mu.Lock()
		if s.present(now) {
			out = append(out, s)
		}
		s.mu.Unlock()
	}
	return out
}

// All returns all runners of a service, including those that take no work.
func (d *Directory) All(service string) []*State {
	services, _ := d.lists()
	return services[service]
}

// Len returns the number of known runners.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.all)
}
