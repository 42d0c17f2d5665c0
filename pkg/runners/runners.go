// Package runners keeps what a process knows of the runners: where they are, what
// they serve, and whether they still take work. It learns from the platform's store,
// from the answers of the runners themselves, and from other gateways.
package runners

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Stage is the part that a model engine plays.
type Stage string

// The stages. A plain runner has none.
const (
	Prefill Stage = "prefill"
	Decode  Stage = "decode"
)

// Runner is one incarnation of a runner. It does not change.
type Runner struct {
	// ID is unique among all incarnations.
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Domain  string
	Stage   Stage
	// Slots is the number of requests that it works on at once.
	Slots int
	// Leaving says that it takes no more work.
	Leaving bool
}

// goneGrace is how long a runner whose entry has gone may still be chosen. An
// entry goes also when its runner could not renew it.
const goneGrace = 1200 * time.Millisecond

// State is a runner with what this process knows of it.
type State struct {
	Runner
	*knowledge
}

// knowledge is what stays when a runner's entry changes.
type knowledge struct {
	mu sync.Mutex
	// goneAt is when its entry went; zero while it is there.
	goneAt time.Time
	// refusal is the runner's answer that it is another one, or has another stage.
	refusal refusal
	// leaving is set when its entry says that it takes no more work, also in
	// states that were handed out before.
	leaving bool
	// change is the stage change that the engine was ordered to make.
	change pendingChange
	health health
	// own counts this gateway's outcomes, others those that other gateways
	// reported, by gateway.
	own    tally
	others map[string]report
	// outstanding counts this process's requests at it.
	outstanding int
}

// unusableFor is how long a runner gets no work that answered that it is another one, or
// has another stage, than its entry says. The entry of one that is gone lapses within
// three heartbeats, and that of one that changes its stage shows it within one.
const unusableFor = 10 * time.Second

// refusal is a runner's answer that it is not what was meant; the zero value is none.
type refusal struct {
	// stage is the one that was meant: the answer says nothing against another.
	stage Stage
	at    time.Time
	// own says that this gateway had the answer; others reported it otherwise.
	own bool
}

func (r refusal) active(stage Stage, now time.Time) bool {
	return !r.at.IsZero() && r.stage == stage && now.Sub(r.at) < unusableFor
}

// Usable reports whether new work may be sent to the runner.
func (s *State) Usable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usable(now)
}

func (s *State) usable(now time.Time) bool {
	return !s.change.active(now) && s.present(now)
}

// present reports whether the runner is there and stays. The caller holds the lock.
func (s *State) present(now time.Time) bool {
	if s.leaving || s.refusal.active(s.Stage, now) {
		return false
	}
	return s.goneAt.IsZero() || now.Sub(s.goneAt) < goneGrace
}

// MarkUnusable records that the runner itself refused, as the one or in the stage that
// this state says. A later state of it may have another stage.
func (s *State) MarkUnusable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusal = refusal{stage: s.Stage, at: now, own: true}
}

// Enter records a request that is sent to the runner, Leave its end.
func (s *State) Enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding++
}

// Leave records the end of a request.
func (s *State) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
}

// Outstanding returns this process's requests at the runner.
func (s *State) Outstanding() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outstanding
}

// stageKey names the runners of one service and stage.
type stageKey struct {
	service string
	stage   Stage
}

// Directory is the set of all known runners.
type Directory struct {
	mu  sync.RWMutex
	all map[string]*State
	// services lists the runners of each service, stages those of each service and
	// stage; in no order. Lists are replaced, not changed.
	services map[string][]*State
	stages   map[stageKey][]*State
	// generation counts the changes of the lists.
	generation atomic.Uint64
	// Changed is called, without locks, after a change; nil for none.
	Changed func(what Change)
}

// Change says what was learned about a runner.
type Change struct {
	Runner Runner
	// What is "new", "changed", "leaving" or "gone"; "unusable" when another gateway
	// reported that the runner refused as another one or in another stage;
	// "stage_change" when another gateway reported that it was ordered to one.
	What string
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{all: map[string]*State{}, services: map[string][]*State{}}
}

// Put records an entry as it stands in the store. A runner that was leaving stays
// so.
func (d *Directory) Put(r Runner) {
	d.mu.Lock()
	old := d.all[r.ID]
	s := &State{Runner: r, knowledge: &knowledge{leaving: r.Leaving}}
	what := "new"
	if old != nil {
		r.Leaving = r.Leaving || old.Leaving
		old.back()
		if old.Runner == r {
			d.mu.Unlock()
			return
		}
		s = &State{Runner: r, knowledge: old.knowledge}
		s.update(old.Runner, r)
		what = "changed"
		if r.Leaving && !old.Leaving {
			what = "leaving"
		}
	}
	d.all[r.ID] = s
	d.index()
	d.mu.Unlock()
	d.notify(Change{r, what})
}

// back records that a runner's entry is there again.
func (s *knowledge) back() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.goneAt = time.Time{}
}

// update records what a new entry says. With another stage the change to it is over.
func (s *knowledge) update(old, now Runner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = now.Leaving
	if old.Stage != now.Stage {
		s.change = pendingChange{}
	}
}

// Gone records that an entry is no longer in the store.
func (d *Directory) Gone(id string, now time.Time) {
	d.mu.RLock()
	s := d.all[id]
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

// Keep records a whole reading of the store: what is not among the IDs has gone.
func (d *Directory) Keep(ids map[string]bool, now time.Time) {
	d.mu.RLock()
	var missing []string
	for id := range d.all {
		if !ids[id] {
			missing = append(missing, id)
		}
	}
	d.mu.RUnlock()
	for _, id := range missing {
		d.Gone(id, now)
	}
}

// forgetAfter is how long a runner whose entry has gone is remembered.
const forgetAfter = 30 * time.Second

// Sweep forgets runners that have been gone for long, and what other gateways reported
// of the rest and is no longer believed.
func (d *Directory) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for id, s := range d.all {
		s.mu.Lock()
		old := !s.goneAt.IsZero() && now.Sub(s.goneAt) > forgetAfter
		maps.DeleteFunc(s.others, func(_ string, h report) bool { return now.Sub(h.at) > reportTTL })
		s.mu.Unlock()
		if old {
			delete(d.all, id)
			changed = true
		}
	}
	if changed {
		d.index()
	}
}

// index makes the lists of the services anew. The caller holds the lock.
func (d *Directory) index() {
	services, stages := map[string][]*State{}, map[stageKey][]*State{}
	for _, s := range d.all {
		services[s.Service] = append(services[s.Service], s)
		key := stageKey{s.Service, s.Stage}
		stages[key] = append(stages[key], s)
	}
	d.services, d.stages = services, stages
	d.generation.Add(1)
}

func (d *Directory) notify(c Change) {
	if d.Changed != nil {
		d.Changed(c)
	}
}

// Usable returns the runners of a service and stage that may get new work.
func (d *Directory) Usable(service string, stage Stage, now time.Time) []*State {
	d.mu.RLock()
	list := d.stages[stageKey{service, stage}]
	d.mu.RUnlock()
	out := make([]*State, 0, len(list))
	for _, s := range list {
		if s.Usable(now) {
			out = append(out, s)
		}
	}
	return out
}

// Stage returns all runners of a service and stage, those that take no work too. The
// list must not be changed.
func (d *Directory) Stage(service string, stage Stage) []*State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.stages[stageKey{service, stage}]
}

// Generation returns a number that rises when a runner comes, changes or goes.
func (d *Directory) Generation() uint64 { return d.generation.Load() }

// Find returns the runner with an ID, nil for none.
func (d *Directory) Find(id string) *State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.all[id]
}

// Present returns the runners of a service that are there and stay, those on their
// way to another stage too.
func (d *Directory) Present(service string, now time.Time) []*State {
	d.mu.RLock()
	list := d.services[service]
	d.mu.RUnlock()
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

// All returns all runners of a service, those that take no work too.
func (d *Directory) All(service string) []*State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.services[service]
}

// Len returns the number of known runners.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.all)
}
