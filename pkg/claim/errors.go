package claim

import "fmt"

// ErrUnsettled reports that the outcome of a claim or release is unknown, because
// no response of the key-value service arrived.
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

// ErrHeld reports that another request holds the key.
type ErrHeld struct {
	Holder string
}

// Error implements error.
func (e *ErrHeld) Error() string {
	return fmt.Sprintf("key belongs to another request: holder=%s", e.Holder)
}
