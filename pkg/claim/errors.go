package claim

import "fmt"

// ErrUnsettled reports that the key-value service gave no answer, so that the
// claim may or may not have been made.
type ErrUnsettled struct {
	Shard int
	Err   error
}

// Error implements error.
func (e *ErrUnsettled) Error() string {
	return fmt.Sprintf("claim not settled: shard=%d cause=%v", e.Shard, e.Err)
}

// Unwrap returns the cause.
func (e *ErrUnsettled) Unwrap() error { return e.Err }

// ErrHeld reports that another request has the key.
type ErrHeld struct {
	Holder string
}

// Error implements error.
func (e *ErrHeld) Error() string {
	return fmt.Sprintf("key belongs to another request: holder=%s", e.Holder)
}
