package admission

import (
	"fmt"
	"time"
)

// ErrLate reports that a prefill could not be ready in time.
type ErrLate struct {
	ID string
	// RetryAfter is by how much it would be late.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrLate) Error() string {
	return fmt.Sprintf("prefill would be late: id=%s retry_after=%s", e.ID, e.RetryAfter)
}

// ErrFull reports that a stream finds no room.
type ErrFull struct {
	ID string
	// RetryAfter is when the next stream ends.
	RetryAfter time.Duration
	// Never is set for a stream that is larger than the engine.
	Never bool
}

// Error implements error.
func (e *ErrFull) Error() string {
	return fmt.Sprintf("no room for the stream: id=%s retry_after=%s never=%t", e.ID, e.RetryAfter, e.Never)
}
