package gossip

import "fmt"

// ErrFork reports two different documents with the same revision. Mine and Theirs
// are their hashes.
type ErrFork struct {
	Revision     uint64
	Mine, Theirs uint64
}

// Error implements error.
func (e *ErrFork) Error() string {
	return fmt.Sprintf("two documents of one revision: revision=%d mine=%x theirs=%x", e.Revision, e.Mine, e.Theirs)
}

// ErrUnsettled reports that it is unknown whether a change was committed, because
// no response of the key-value service arrived. A retry with the same ID is safe.
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
