package platform

import (
	"fmt"
	"time"
)

// ErrUnavailable reports that the platform sent no valid response to a call. A
// write may have taken effect nevertheless.
type ErrUnavailable struct {
	// Service is "kv", "instances" or "weights"; Op names the operation.
	Service, Op string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ErrUnavailable) Error() string {
	return fmt.Sprintf("platform unavailable: service=%s op=%s cause=%v", e.Service, e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Err }

// ErrConflict reports that a compare-and-swap expected version Want and found
// version Have.
type ErrConflict struct {
	Key        string
	Want, Have uint64
}

// Error implements error.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("version conflict: key=%s want=%d have=%d", e.Key, e.Want, e.Have)
}

// ErrTooLarge reports that a value is larger than MaxValue.
type ErrTooLarge struct {
	Key  string
	Size int
}

// Error implements error.
func (e *ErrTooLarge) Error() string {
	return fmt.Sprintf("value too large: key=%s size=%d limit=%d", e.Key, e.Size, MaxValue)
}

// ErrThrottled reports that the rate limit of the weight store is exhausted.
type ErrThrottled struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrThrottled) Error() string {
	return fmt.Sprintf("weight store throttled: retry_after=%s", e.RetryAfter)
}
