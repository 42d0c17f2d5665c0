package ingress

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/runners"
)

// runnerStartTime is less than the time that a runner takes to start again.
const runnerStartTime = 900 * time.Millisecond

// ErrEndUnknown reports that a response which ended with its connection may be incomplete: its runner ended
// too, or did not respond.
type ErrEndUnknown struct {
	Runner string
	// Err is why the runner did not respond; nil if it has ended.
	Err error
}

// Error implements error.
func (e *ErrEndUnknown) Error() string {
	text := "response may be incomplete: runner=" + e.Runner
	if e.Err == nil {
		return text + " cause=ended"
	}
	return text + " cause=" + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ErrEndUnknown) Unwrap() error { return e.Err }

// ErrLateCheck reports that a runner was checked so long after its last data that another process may serve at
// its address. Err is why the runner itself did not respond.
type ErrLateCheck struct {
	After time.Duration
	Err   error
}

// Error implements error.
func (e *ErrLateCheck) Error() string {
	return fmt.Sprintf("checked too late: after=%s cause=%v", e.After.Round(time.Millisecond), e.Err)
}

// Unwrap returns the cause.
func (e *ErrLateCheck) Unwrap() error { return e.Err }

// ErrNoBody reports a success without a length and without a byte of its body.
type ErrNoBody struct {
	Runner string
}

// Error implements error.
func (e *ErrNoBody) Error() string {
	return "success without a length and without a body: runner=" + e.Runner
}

// responseEnd is what marks the end of a response, as logged.
type responseEnd string

const (
	// endLength and endChunks are the ends that responses show themselves.
	endLength responseEnd = "length"
	endChunks responseEnd = "chunks"
	// endRunnerThere and endRunnerReachable are those of responses that ended with their connection: their runner
	// is there with the same start time, or a process is reachable at its address too early for another one.
	endRunnerThere     responseEnd = "runner_there"
	endRunnerReachable responseEnd = "runner_reachable"
	// endNoEvents is that of a stream after whose end its runner had no further event. endDoubtful is an end that
	// counts although the runner has broken off others lately.
	endNoEvents responseEnd = "no_further_events"
	endDoubtful responseEnd = "doubtful"
)

// confirmBody returns an error if a plain response with the given size of its body is not known to be complete.
// *ErrNoBody means that the response of a runner that stopped after its head looks the same: a server that has
// nothing to send states a length of 0.
func (x *exchange) confirmBody(runner *runners.State, a *Response, size int) error {
	if a.CloseDelimited && a.OK() && size == 0 {
		return &ErrNoBody{Runner: runner.ID}
	}
	return x.confirmComplete(runner, a)
}

// confirmComplete returns *ErrEndUnknown if a response that ended with its connection may be incomplete. A
// runner closes that connection at the end of the response, or it ended itself before. So the response is
// complete if the runner is still there after it. A runner that is leaving is checked too: it may end with
// responses unfinished.
func (x *exchange) confirmComplete(runner *runners.State, a *Response) error {
	if !a.CloseDelimited {
		if x.end = endLength; a.Chunked {
			x.end = endChunks
		}
		return nil
	}
	current, err := x.isCurrent(x.ctx, runner)
	switch {
	case current:
		x.end = endRunnerThere
		return nil
	case err == nil || isClosed(err):
		return &ErrEndUnknown{Runner: runner.ID}
	}
	// What serves at the runner's address now is not known to be the same process, unless no other one can have
	// started since the last data.
	var unidentified *ErrUnidentified
	if !errors.As(err, &unidentified) {
		if unreachable := x.reachable(runner); unreachable != nil {
			return &ErrEndUnknown{Runner: runner.ID, Err: errors.Join(err, unreachable)}
		}
	}
	lastData, unknown := a.LastData()
	if unknown != nil {
		return &ErrEndUnknown{Runner: runner.ID, Err: errors.Join(err, unknown)}
	}
	if late := boottime.Since(lastData); late > runnerStartTime {
		return &ErrEndUnknown{Runner: runner.ID, Err: &ErrLateCheck{After: late, Err: err}}
	}
	x.logFailedStep("end_confirmed_by_connection", runner.ID, err)
	x.end = endRunnerReachable
	return nil
}

// reachable returns nil if a process accepts a connection at a runner's address. It is used if the runner is
// paused or does not respond in time.
func (x *exchange) reachable(runner *runners.State) error {
	ctx, cancel := context.WithTimeout(x.ctx, aliveTimeout)
	defer cancel()
	return x.g.options.Runners.Reachable(ctx, runner)
}
