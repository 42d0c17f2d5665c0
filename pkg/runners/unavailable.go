package runners

import (
	"fmt"
	"time"

	"github.com/hopwell/hopwell/pkg/notice"
)

// ErrUnavailable reports that no runner of a service and stage is usable, and that at least one of
// them is leaving or paused.
type ErrUnavailable struct {
	Service string
	Stage   Stage
	// Leaving and Paused are the numbers of runners that are leaving and paused.
	Leaving, Paused int
	// After is the time until the first pause ends; 0 if no runner is paused.
	After time.Duration
}

// Error implements error.
func (e *ErrUnavailable) Error() string {
	return fmt.Sprintf("no runner admits requests: service=%s stage=%q leaving=%d paused=%d first_after=%s",
		e.Service, e.Stage, e.Leaving, e.Paused, e.After.Round(time.Millisecond))
}

// Unavailable returns *ErrUnavailable if no runner of a service and stage is usable for a request
// and at least one is leaving or paused, otherwise nil. allows reports whether a runner may serve the
// request; nil allows all.
func (d *Directory) Unavailable(service string, stage Stage, allows func(*State) bool, now time.Time) error {
	if !d.Notices.Any() {
		return nil
	}
	e := &ErrUnavailable{Service: service, Stage: stage}
	for _, s := range d.Stage(service, stage) {
		if allows != nil && !allows(s) {
			continue
		}
		if s.Usable(now) {
			return nil
		}
		e.count(s, now)
	}
	if e.Leaving+e.Paused == 0 {
		return nil
	}
	return e
}

// count adds a runner that isn't usable to the number of leaving or paused runners.
func (e *ErrUnavailable) count(s *State, now time.Time) {
	switch err := s.Admits(notice.Work, now).(type) {
	case *notice.ErrLeaving:
		e.Leaving++
	case *notice.ErrPaused:
		if e.Paused++; e.After == 0 || err.Left < e.After {
			e.After = err.Left
		}
	}
}
