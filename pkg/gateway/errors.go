package gateway

import (
	"fmt"
	"time"
)

// ErrLimit reports that the limit of open requests is reached.
type ErrLimit struct {
	// What is the scope of the limit: "gateway" or "workspace".
	What  string
	Limit int
}

// Error implements error.
func (e *ErrLimit) Error() string {
	return fmt.Sprintf("too many open requests: of=%s limit=%d", e.What, e.Limit)
}

// ErrUnknownModel reports that no selector offers the model or plain service.
type ErrUnknownModel struct {
	Model, Kind string
}

// Error implements error.
func (e *ErrUnknownModel) Error() string {
	return fmt.Sprintf("no selector offers it: model=%q kind=%q", e.Model, e.Kind)
}

// ErrPromptTooLong reports that a prompt exceeds the limit, in tokens.
type ErrPromptTooLong struct {
	Tokens, Limit int
}

// Error implements error.
func (e *ErrPromptTooLong) Error() string {
	return fmt.Sprintf("prompt too long: tokens=%d limit=%d", e.Tokens, e.Limit)
}

// ErrShed reports that there is not enough capacity now. The request did not run.
type ErrShed struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrShed) Error() string {
	return fmt.Sprintf("no capacity in time: reason=%s retry_after=%s", e.Reason, e.RetryAfter)
}

// ErrRefused reports that a sidecar refused an attempt. The attempt will never run.
type ErrRefused struct {
	Instance, Reason string
	RetryAfter       time.Duration
}

// Error implements error.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("refused: instance=%s reason=%s", e.Instance, e.Reason)
}

// ErrBroken reports that an attempt failed at its sidecar, or that the stream to the sidecar broke
// or carried no reports for too long.
type ErrBroken struct {
	Instance string
	// Code is the sidecar's failure code, "lost" if the stream broke, or "silent" if the sidecar
	// stopped sending reports.
	Code string
	// If Never is true, the attempt certainly did not start.
	Never bool
	Err   error
}

// Error implements error.
func (e *ErrBroken) Error() string {
	return fmt.Sprintf("runner failed: instance=%s code=%s never=%t cause=%v", e.Instance, e.Code, e.Never, e.Err)
}

// Unwrap returns the cause.
func (e *ErrBroken) Unwrap() error { return e.Err }

// ErrCallerGone reports that the client disconnected.
type ErrCallerGone struct {
	Err error
}

// Error implements error.
func (e *ErrCallerGone) Error() string { return fmt.Sprintf("caller is gone: cause=%v", e.Err) }

// Unwrap returns the cause.
func (e *ErrCallerGone) Unwrap() error { return e.Err }

// ErrExhausted reports that all attempts failed.
type ErrExhausted struct {
	Tries int
	Err   error
}

// Error implements error.
func (e *ErrExhausted) Error() string {
	return fmt.Sprintf("all tries failed: tries=%d last=%v", e.Tries, e.Err)
}

// Unwrap returns the cause.
func (e *ErrExhausted) Unwrap() error { return e.Err }

// ErrStale reports that no peer confirmed the gateway's configuration.
type ErrStale struct{}

// Error implements error.
func (e *ErrStale) Error() string { return "configuration not confirmed: no peer answers" }
