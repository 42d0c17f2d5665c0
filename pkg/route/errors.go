package route

import (
	"fmt"
	"time"
)

// ErrNoRunner reports that no candidate may serve the request.
type ErrNoRunner struct {
	// Role is "prefill", "decode" or "serve".
	Role string
}

// Error implements error.
func (e *ErrNoRunner) Error() string { return fmt.Sprintf("no runner: role=%s", e.Role) }

// ErrLate reports that no pair of runners comes within shedFactor times the target
// for the first token, or times the first-token time of an idle pair if that is longer.
type ErrLate struct {
	// Estimate is the estimated time to the first token with the best pair and
	// Target the requested one, in seconds.
	Estimate, Target float64
}

// Error implements error.
func (e *ErrLate) Error() string {
	return fmt.Sprintf("no pair meets the target: estimate=%.3fs target=%.3fs", e.Estimate, e.Target)
}

// RetryAfter returns a guess of the delay after which a retry may succeed: the time
// by which the estimate exceeds the target.
func (e *ErrLate) RetryAfter() time.Duration {
	return time.Duration(max(e.Estimate-e.Target, 0) * float64(time.Second))
}

// ErrPolicy reports an unknown policy name.
type ErrPolicy struct {
	Name string
}

// Error implements error.
func (e *ErrPolicy) Error() string {
	return fmt.Sprintf("unknown policy: name=%q expected=%q", e.Name, Names)
}
