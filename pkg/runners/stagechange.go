package runners

import "time"

// StageChange is a pending change of an engine's stage. From the order until its entry shows the
// new stage, the engine finishes its running requests and refuses all others, so it gets no new
// work.
type StageChange struct {
	// Runner is the engine's ID.
	Runner string
	To     Stage
	// Remaining is how much longer the change may take. After that the order counts as lost, and the
	// engine gets work of its old stage again.
	Remaining time.Duration
}

// pendingChange is a StageChange as it is recorded for one runner; the zero value is none.
type pendingChange struct {
	to    Stage
	until time.Time
}

func (c pendingChange) active(now time.Time) bool { return now.Before(c.until) }

// BeginStageChange records that the engine was ordered to change to another stage. It completes the
// change within the limit or not at all.
func (s *State) BeginStageChange(to Stage, limit time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change = pendingChange{to: to, until: now.Add(limit)}
}

// EndStageChange records that the engine refused the order, or took too long.
func (s *State) EndStageChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change = pendingChange{}
}

// Changing returns the stage that the engine is changing to, false for none.
func (s *State) Changing(now time.Time) (Stage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change.to, s.change.active(now)
}

// ReceiveStageChanges records the stage changes that another gateway reported. A change that is
// already recorded keeps its deadline, so that gateways can't extend it for each other.
func (d *Directory) ReceiveStageChanges(changes []StageChange, now time.Time) {
	var begun []Runner
	d.mu.RLock()
	for _, c := range changes {
		if s := d.all[c.Runner]; s != nil && s.receiveChange(c, now) {
			begun = append(begun, s.Runner)
		}
	}
	d.mu.RUnlock()
	for _, r := range begun {
		d.notify(Change{r, "stage_change"})
	}
}

// receiveChange records a reported change. It returns false if the change is already recorded,
// completed or expired.
func (s *State) receiveChange(c StageChange, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	recorded := s.change.active(now) && s.change.to == c.To
	if recorded || s.Stage == c.To || c.Remaining <= 0 {
		return false
	}
	s.change = pendingChange{to: c.To, until: now.Add(c.Remaining)}
	return true
}
