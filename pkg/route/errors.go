package route

import (
	"fmt"
	"time"
)

// ErrNoRunner reports that no runner is left that may serve the request.
type ErrNoRunner struct {
	// Role is "prefill", "decode" or "serve".
	Role string
}

// Error implements error.
func (e *ErrNoRunner) Error() string { return fmt.Sprintf("no runner: role=%s", e.Role) }

// ErrLate reports that no pair of runners can meet the targets.
type ErrLate struct {
	// Estimate is the best first-token time, Target the wanted one, in seconds.
	Estimate, Target float64
}

// Error implements error.
func (e *ErrLate) Error() string {
	return fmt.Sprintf("no pair meets the target: estimate=%.3fs target=%.3fs", e.Estimate, e.Target)
}

// RetryAfter is when it is worth while to ask again.
func (e *ErrLate) RetryAfter() time.Duration {
	return time.Duration(max(e.Estimate-e.Target, 0) * float64(time.Second))
}

// ErrPolicy reports that no policy has that name.
type ErrPolicy struct {
	Name string
}

// Error implements error.
func (e *ErrPolicy) Error() string {
	return fmt.Sprintf("unknown policy: name=%q expected=%q", e.Name, Names)
}
