package admission

import (
	"fmt"
	"time"
)

// ErrLate reports that a prefill would miss its deadline.
type ErrLate struct {
	ID string
	// RetryAfter is how late the first late prefill would be. The client may
	// retry after it.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrLate) Error() string {
	return fmt.Sprintf("prefill would be late: id=%s retry_after=%s", e.ID, e.RetryAfter)
}

// ErrFull reports that an engine has no room for a stream.
type ErrFull struct {
	ID string
	// RetryAfter is the estimated time until the first running stream ends.
	RetryAfter time.Duration
	// If Never is true, the stream needs more memory than the engine has.
	Never bool
}

// Error implements error.
func (e *ErrFull) Error() string {
	return fmt.Sprintf("no room for the stream: id=%s retry_after=%s never=%t", e.ID, e.RetryAfter, e.Never)
}
