// Package runners holds what a process knows about the runners: their addresses, which services
// they serve, and whether they take new work. The sources are the platform's store, the responses
// of the runners, and other gateways.
package runners

import (
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/runnerlimit"
)

// Stage is the part that a model engine plays.
type Stage string

// The stages. A plain runner has none.
const (
	Prefill Stage = "prefill"
	Decode  Stage = "decode"
)

// Runner is one incarnation of a runner. It is immutable.
type Runner struct {
	// ID is unique among all incarnations: state, reservations and reports that are kept under an
	// ID end with its incarnation.
	ID string
	// Name is the name that the runner gives itself. A later incarnation may have the same name. If
	// it is empty, ID is the name.
	Name    string
	Service string
	// Address is IP:PORT.
	Address string
	Domain  string
	Stage   Stage
	// Version is the version of the runner's software, empty if unknown. A stream continues only at
	// the version that began it.
	Version string
	// Slots is the number of requests that the runner processes concurrently.
	Slots int
	// Leaving is set if the runner takes no new work.
	Leaving bool
	// Born is when the incarnation started, in Unix milliseconds by its own clock; 0 is unknown.
	Born int64
}

// Entry is what a runner publishes about itself: its identity, and what changes during an
// incarnation.
type Entry struct {
	Runner
	// ColdFor is how much longer the runner has less than its full capacity; 0 for a warm runner.
	ColdFor time.Duration
	// Sequence counts the runner's writes since its start.
	Sequence float64
}

// Before reports whether the entry was written before another one of the same name.
func (e *Entry) Before(other Entry) bool {
	return e.Born < other.Born || e.Born == other.Born && e.Sequence < other.Sequence
}

// goneGrace is how long a runner may still be chosen after its entry was removed. The removal does
// not prove that the runner ended: an entry also expires when its runner could not renew it.
const goneGrace = 1200 * time.Millisecond

// State is a runner with what this process knows about it.
type State struct {
	Runner
	*sharedState
}

// sharedState is the state of an incarnation that is kept when its entry changes. All States of the
// incarnation share it.
type sharedState struct {
	// listHash determines the place of the runner in lists; see Directory.listHash.
	listHash uint64

	mu sync.Mutex
	// goneAt is when the entry was removed; zero while the entry is in the store.
	goneAt time.Time
	// mismatch is the last response in which the runner reported that the call was meant for a
	// different runner or a different stage.
	mismatch mismatch
	// leaving is set when the entry reports that the runner takes no new work. States that callers
	// obtained before the entry changed share this field. Leaving notices in responses are kept in
	// notices, not here. replaced is set when the entry is that of a later incarnation: this one
	// has ended.
	leaving, replaced bool
	// change is the stage change that the engine was ordered to make.
	change pendingChange
	health health
	// own counts the outcomes at this gateway, others those that other gateways reported, by
	// gateway.
	own    tally
	others map[string]report
	// outstanding counts this process's open requests at the runner.
	outstanding int
	// evacuated holds the failure domains whose runners get no new work.
	evacuated *evacuations
	cold      coldState
	// coldShare is Directory.ColdShare, limits Directory.Limits, notices Directory.Notices.
	coldShare func(Runner) (share int, bounded bool)
	limits    *runnerlimit.Table
	notices   *notice.Table
}

// unusableFor is how long a runner gets no work after it responded that its ID or its stage differs
// from its entry. Corrected entries arrive sooner: the entry of a runner that ended expires within
// three heartbeats of 1.2 s, and the entry of an engine that changed its stage shows the new stage
// within one.
const unusableFor = 10 * time.Second

// mismatch is a response of a runner that refuses a call because the call was meant for a different
// runner or a different stage; the zero value is none.
type mismatch struct {
	// stage is the stage that the call was meant for. The mismatch does not apply to another stage.
	stage Stage
	at    time.Time
	// own is set if this gateway received the response, unset if another gateway reported it.
	own bool
}

func (r mismatch) active(stage Stage, now time.Time) bool {
	return !r.at.IsZero() && r.stage == stage && now.Sub(r.at) < unusableFor
}

// Gone reports whether the store no longer lists the runner.
func (s *State) Gone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.goneAt.IsZero()
}

// Leaves reports whether the runner is about to end as planned: it said so, or its entry was removed.
func (s *State) Leaves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving || !s.goneAt.IsZero() || s.notices.Leaves(s.ID)
}

// EndIsPlanned reports whether the runner said that it leaves, or its entry was removed and no other
// incarnation took its place. A runner that crashes keeps its entry for some time, or is replaced.
func (s *State) EndIsPlanned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving || s.notices.Leaves(s.ID) || !s.goneAt.IsZero() && !s.replaced
}

// Serving reports whether the runner certainly serves: it is registered, takes work, and isn't ejected for
// its failures. A runner may be usable without, see goneGrace.
func (s *State) Serving(now time.Time) bool {
	return !s.Leaves() && s.Usable(now) && !s.Ejected(now)
}

// Usable reports whether new work may be sent to the runner.
func (s *State) Usable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usable(now)
}

func (s *State) usable(now time.Time) bool {
	return !s.change.active(now) && s.present(now) && s.notices.PausedFor(s.ID, now) == 0
}

// present reports whether the runner is registered and not leaving, replaced, evacuated or refusing
// calls. The caller holds the lock.
func (s *State) present(now time.Time) bool {
	if s.leaving || s.replaced || s.notices.Leaves(s.ID) || s.evacuated.covers(s.Domain) || s.mismatch.active(s.Stage, now) {
		return false
	}
	return s.goneAt.IsZero() || now.Sub(s.goneAt) < goneGrace
}

// Admits returns why the runner must get no call for a purpose now, nil if it may get one. It is
// checked right before each call, because the state of the runner may have changed since it was
// chosen.
func (s *State) Admits(purpose notice.Purpose, now time.Time) error {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving && purpose == notice.Work {
		return &notice.ErrLeaving{Runner: s.ID}
	}
	return s.notices.Admits(s.ID, purpose, now)
}

// MarkUnusable records that the runner itself refused a call that was meant for the ID and stage of
// s. A later State of the runner may have another stage.
func (s *State) MarkUnusable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mismatch = mismatch{stage: s.Stage, at: now, own: true}
}

// BeginRequest records a request that is sent to the runner, EndRequest the end of the request.
func (s *State) BeginRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding++
}

// EndRequest records the end of a request. It does not mean that the runner is leaving.
func (s *State) EndRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
}

// Outstanding returns the number of this process's open requests at the runner.
func (s *State) Outstanding() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outstanding
}
