package boottime

import "fmt"

// ErrClock reports that a clock of the machine can't be read.
type ErrClock struct {
	ID  int32
	Err error
}

// Error implements error.
func (e *ErrClock) Error() string {
	return fmt.Sprintf("can't read a clock: id=%d cause=%v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *ErrClock) Unwrap() error { return e.Err }
