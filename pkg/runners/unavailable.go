package runners

import (
	"fmt"
	"time"

	"github.com/hopwell/hopwell/pkg/notice"
)

// ErrUnavailable reports that all runners of a service that are there leave, or asked for a pause.
type ErrUnavailable struct {
	Service string
	Stage   Stage
	// Leaving and Paused are how many do what.
	Leaving, Paused int
	// After is until the first of the pauses ends; 0 if there is none.
	After time.Duration
}

// Error implements error.
func (e *ErrUnavailable) Error() string {
	return fmt.Sprintf("no runner admits requests: service=%s stage=%q leaving=%d paused=%d first_after=%s",
		e.Service, e.Stage, e.Leaving, e.Paused, e.After.Round(time.Millisecond))
}

// Unavailable returns *ErrUnavailable if all runners of a service and stage that may serve a request
// leave or pause, nil if one is usable or there is none at all. allows reports whether the request may
// be served in a failure domain; nil for all.
func (d *Directory) Unavailable(service string, stage Stage, allows func(domain string) bool, now time.Time) error {
	if !d.Notices.Any() {
		return nil
	}
	e := &ErrUnavailable{Service: service, Stage: stage}
	for _, s := range d.Stage(service, stage) {
		if allows != nil && !allows(s.Domain) {
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

// count counts a runner that isn't usable.
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
