package ingress

import (
	"errors"
	"fmt"
	"time"

	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/runnerlimit"
)

// ErrDeclined reports that a runner refused a call.
type ErrDeclined struct {
	Runner string
	Status int
	// WrongRunner is set if the call reached another runner than the intended one, or one in the
	// wrong stage.
	WrongRunner bool
}

// Error implements error.
func (e *ErrDeclined) Error() string {
	return fmt.Sprintf("declined: runner=%s status=%d elsewhere=%t", e.Runner, e.Status, e.WrongRunner)
}

// ErrBadCall reports that a required field of a request is missing or malformed.
type ErrBadCall struct {
	Field, Expected string
}

// Error implements error.
func (e *ErrBadCall) Error() string {
	return fmt.Sprintf("bad request: field=%s expected=%q", e.Field, e.Expected)
}

// ErrNoRoute reports that no route matches a request.
type ErrNoRoute struct {
	Host, Path string
	Version    uint64
}

// Error implements error.
func (e *ErrNoRoute) Error() string {
	return fmt.Sprintf("no route: host=%s path=%s version=%d", e.Host, e.Path, e.Version)
}

// ErrNotReady reports that the process can't serve requests: it has no routes or runners yet, or it
// is draining.
type ErrNotReady struct {
	Why string
}

// Error implements error.
func (e *ErrNotReady) Error() string { return "not ready: why=" + e.Why }

// ErrBody reports that the body of a request could not be read completely, or exceeds the limit in
// bytes.
type ErrBody struct {
	Limit int64
	// TooLarge is set if the body exceeds the limit.
	TooLarge bool
	Err      error
}

// Error implements error.
func (e *ErrBody) Error() string {
	return fmt.Sprintf("bad body: limit=%d too_large=%t cause=%v", e.Limit, e.TooLarge, e.Err)
}

// ErrBusy reports that a request was refused because the process reached one of its limits.
type ErrBusy struct {
	What string
	// Size is what the request would have brought the use to.
	Size, Limit int64
}

// Error implements error.
func (e *ErrBusy) Error() string {
	return fmt.Sprintf("busy: what=%q size=%d limit=%d", e.What, e.Size, e.Limit)
}

// ErrTimeout reports that the time limit of a request has expired.
type ErrTimeout struct {
	After time.Duration
	// SetBy is what set the limit: "client", "route" or "drain".
	SetBy string
}

// Error implements error.
func (e *ErrTimeout) Error() string {
	return fmt.Sprintf("out of time: after=%s whose=%s", e.After, e.SetBy)
}

// ErrGivenUp reports that a request ended without a response that could be forwarded.
type ErrGivenUp struct {
	Outcome request.Outcome
	Sends   int
	// Last is the error of the last attempt.
	Last error
}

// Error implements error.
func (e *ErrGivenUp) Error() string {
	return fmt.Sprintf("given up: outcome=%s sends=%d last=%v", e.Outcome, e.Sends, e.Last)
}

// Unwrap returns the error of the last attempt.
func (e *ErrGivenUp) Unwrap() error { return e.Last }

// ErrAnswer reports that a runner's response can't be forwarded.
type ErrAnswer struct {
	Runner string
	Status int
	Why    string
}

// Error implements error.
func (e *ErrAnswer) Error() string {
	return fmt.Sprintf("unusable answer: runner=%s status=%d why=%s", e.Runner, e.Status, e.Why)
}

// ErrRetryBudget reports that the retry budget allows no further send now.
type ErrRetryBudget struct {
	Service string
}

// Error implements error.
func (e *ErrRetryBudget) Error() string { return "retry budget spent: service=" + e.Service }

// ErrLimited reports that all runners that could serve a request have reached their rate limits.
type ErrLimited struct {
	Service string
	// Runner is the one that accepts a request first, Limit its rate limit, and After the time
	// until then.
	Runner string
	Limit  runnerlimit.Status
	After  time.Duration
}

// Error implements error.
func (e *ErrLimited) Error() string {
	return fmt.Sprintf("runners take no more: service=%s first=%s after=%s %s", e.Service, e.Runner, e.After.Round(time.Millisecond), e.Limit)
}

// ErrBroken reports that a response ended early, possibly after a part of it had been forwarded.
type ErrBroken struct {
	Runner string
	// After is the ID of the last event forwarded; empty for none.
	After string
	Err   error
}

// Error implements error.
func (e *ErrBroken) Error() string {
	return fmt.Sprintf("broken off: runner=%s after=%s cause=%v", e.Runner, e.After, e.Err)
}

// Unwrap returns the cause.
func (e *ErrBroken) Unwrap() error { return e.Err }

// ErrSilent reports that a runner did not respond in time.
type ErrSilent struct {
	Runner string
	Err    error
}

// Error implements error.
func (e *ErrSilent) Error() string {
	return fmt.Sprintf("silent: runner=%s cause=%v", e.Runner, e.Err)
}

// Unwrap returns the cause.
func (e *ErrSilent) Unwrap() error { return e.Err }

// ErrClosed reports that a runner reset a connection without a response. It may have ended, or take no more
// connections.
type ErrClosed struct {
	Runner string
	Err    error
}

// Error implements error.
func (e *ErrClosed) Error() string {
	return fmt.Sprintf("closed without a response: runner=%s cause=%v", e.Runner, e.Err)
}

// Unwrap returns the cause.
func (e *ErrClosed) Unwrap() error { return e.Err }

// isClosed reports whether an error is an *ErrClosed.
func isClosed(err error) bool {
	var closed *ErrClosed
	return errors.As(err, &closed)
}

// ErrUnidentified reports that a runner responded under its ID, but not which incarnation it is: it may have
// restarted. Err is its response.
type ErrUnidentified struct {
	Runner string
	Err    error
}

// Error implements error.
func (e *ErrUnidentified) Error() string {
	return fmt.Sprintf("incarnation not known: runner=%s cause=%v", e.Runner, e.Err)
}

// Unwrap returns the cause.
func (e *ErrUnidentified) Unwrap() error { return e.Err }

// ErrRunnerLeft reports that a runner stopped accepting work after room was reserved on it.
type ErrRunnerLeft struct {
	Runner string
}

// Error implements error.
func (e *ErrRunnerLeft) Error() string { return "runner takes no more work: runner=" + e.Runner }

// notAdmitted reports whether a call was not made because its runner is leaving or paused.
func notAdmitted(err error) bool {
	var leaving *notice.ErrLeaving
	var paused *notice.ErrPaused
	return errors.As(err, &leaving) || errors.As(err, &paused)
}

// errClientGone reports that the client disconnected.
type errClientGone struct{}

// Error implements error.
func (errClientGone) Error() string { return "client gone" }
