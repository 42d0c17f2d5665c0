package gossip

import "fmt"

// ErrFork reports that two different documents carry one revision.
type ErrFork struct {
	Revision     uint64
	Mine, Theirs uint64
}

// Error implements error.
func (e *ErrFork) Error() string {
	return fmt.Sprintf("two documents of one revision: revision=%d mine=%x theirs=%x", e.Revision, e.Mine, e.Theirs)
}

// ErrUnsettled reports that a change may or may not have been accepted, since the
// key-value service gave no answer. Repeating it with the same ID is safe.
type ErrUnsettled struct {
	ID  string
	Err error
}

// Error implements error.
func (e *ErrUnsettled) Error() string {
	return fmt.Sprintf("change not settled: id=%s cause=%v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *ErrUnsettled) Unwrap() error { return e.Err }
