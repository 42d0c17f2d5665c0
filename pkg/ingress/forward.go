package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/plainload"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/upstream"
)

const (
	// maxBuffered is the size in bytes up to which a response is buffered until it is complete.
	// Longer responses are streamed, and so are all while memory is short.
	maxBuffered = 256 << 10
	// maxRefused is the largest number of refusals by runners after which a request is still
	// retried.
	maxRefused = 3
	// minPlainRetryAfter is the shortest Retry-After of a request that no plain runner accepted.
	minPlainRetryAfter = 300 * time.Millisecond
)

// sendResult is the result of one send to a runner.
type sendResult int

const (
	// responded means that the whole response has been sent to the client.
	responded sendResult = iota
	// notRun means that the runner has not run the request.
	notRun
	// mayHaveRun means that the runner has run the request or may have run it.
	mayHaveRun
)

// forward serves a request by the plain runners of a service.
func (x *exchange) forward() {
	life := request.NewLife(x.call.ID, x.route.Repeatable())
	x.life = life
	budget := x.g.budget(x.service)
	budget.Request(x.arrived)
	avoid, full := map[string]bool{}, map[string]bool{}
	if x.g.returning(x.route.Name, x.service, x.call.Timeout, x.arrived) {
		x.rank = enginepool.Returning
	}
	var last error
	runs, refusals := 0, 0
	for runs < max(1, x.route.MaxAttempts) && refusals <= maxRefused {
		if last = firstError(x.endReason(), last); x.endReason() != nil {
			break
		}
		n, err := life.Begin()
		if err != nil {
			break
		}
		if err := x.continueStream(); err != nil {
			last = err
			break
		}
		runner, err := x.claimPlain(avoid, full)
		if err != nil {
			if last == nil || roomAfter(err) > 0 {
				last = err
			}
			break
		}
		if x.sends > 0 && !budget.Spend(time.Now()) {
			runner.Release(x.call.ID)
			x.endPlace(runner, notRun, nil, 0)
			last = &ErrRetryBudget{Service: x.service}
			break
		}
		final := runs+1 >= x.route.MaxAttempts || !x.route.Repeatable()
		var v sendResult
		v, err = x.sendToPlace(life, n, runner, final)
		if v == responded {
			return
		}
		if placeOutcome(v, err) == plainload.TurnedAway {
			full[runner.ID] = true
		} else {
			avoid[runner.ID] = true
		}
		last = err
		if notAllowed(err) || notResumable(err) {
			break
		}
		if v == notRun {
			refusals++
			continue
		}
		runs++
	}
	if x.plain.begun {
		x.breakOff(firstError(x.endReason(), last))
		return
	}
	x.giveUp(life, firstError(x.endReason(), last), func() time.Duration { return spread(plainRetryAfter(last)) })
}

// plainRetryAfter returns the Retry-After for a request that no plain runner accepted.
func plainRetryAfter(last error) time.Duration {
	if isFull(last) {
		return roomAfter(last)
	}
	return max(roomAfter(last), minPlainRetryAfter)
}

// firstError returns the first non-nil error.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// sendToPlace makes one attempt at a runner that the request has a place at, and gives the place back.
func (x *exchange) sendToPlace(life *request.Life, n int, runner *runners.State, final bool) (v sendResult, err error) {
	began := time.Now()
	defer func() { x.endPlace(runner, v, err, time.Since(began)) }()
	return x.sendPlain(life, n, runner, final)
}

// sendPlain makes one attempt to send the request to a runner. A 5xx response of the runner is
// forwarded to the client only in the final attempt.
func (x *exchange) sendPlain(life *request.Life, n int, runner *runners.State, final bool) (sendResult, error) {
	began := time.Now()
	defer runner.Release(x.call.ID)
	if err := x.reconfirm(); err != nil {
		return notRun, err
	}
	if err := life.Send(n); err != nil {
		return mayHaveRun, err
	}
	runner.BeginRequest()
	defer runner.EndRequest()
	order := x.order()
	if x.plain.begun {
		order.After = x.plain.last
	} else if x.route.Kind == routetable.Stream {
		x.beginStream(runner)
	}
	x.sends++
	x.logRunnerLimit(runner)
	runner.Sent(x.call.ID, time.Now())
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	response, err := x.g.options.Runners.Send(ctx, runner, x.call, order)
	if err != nil {
		return x.sendFailed(life, n, runner, err)
	}
	defer response.Body.Close()
	if response.NotRun || response.WrongRunner {
		life.Withdraw(n)
		x.declined(runner, response)
		return notRun, &ErrDeclined{Runner: runner.ID, Status: response.Status, WrongRunner: response.WrongRunner}
	}
	if x.plain.begun && !(x.streams(response) && response.Status == x.plain.status) {
		runner.Failed(time.Now())
		return mayHaveRun, &ErrAnswer{Runner: runner.ID, Status: response.Status, Why: "does not continue the stream: type=" + mediaType(response)}
	}
	if response.Status >= http.StatusInternalServerError {
		runner.Failed(time.Now())
		if !final {
			discard(response)
			x.logFailedStep("answer_failed", runner.ID, &ErrAnswer{Runner: runner.ID, Status: response.Status, Why: "runner failed"})
			return mayHaveRun, &ErrAnswer{Runner: runner.ID, Status: response.Status, Why: "runner failed"}
		}
	}
	if response.OK() && !response.Verified {
		runner.Failed(time.Now())
		return mayHaveRun, &ErrAnswer{Runner: runner.ID, Status: response.Status, Why: "not signed, or encoded"}
	}
	if response.OK() {
		if err := x.confirmVersion(runner, response, x.software); err != nil {
			return mayHaveRun, firstError(x.endReason(), err)
		}
	}
	forward := x.forwardResponse
	if x.streams(response) {
		forward = x.forwardStream
	}
	v, err := forward(life, n, response, runner)
	if err == nil && response.Status < http.StatusInternalServerError {
		now := time.Now()
		runner.Completed(now.Sub(began))
		x.g.durations.observe(x.route.Name, now.Sub(began), now)
	}
	return v, err
}

// logRunnerLimit logs a send to a runner that announces a rate limit.
func (x *exchange) logRunnerLimit(runner *runners.State) {
	if limit, ok := runner.Limit(time.Now()); ok {
		x.logStep("sent_within_limit", decisionlog.F("runner", runner.ID), decisionlog.F("limit", limit.PerSecond), decisionlog.F("named_ago", limit.NamedAgo),
			decisionlog.F("told_by", limit.From), decisionlog.F("left", limit.Level), decisionlog.F("users", limit.Users), decisionlog.F("heard", limit.Heard))
	}
}

// maxDiscarded is the number of bytes read of a response that is not forwarded, so that its
// connection can be reused.
const maxDiscarded = 16 << 10

// discard drains a response that is not forwarded, up to maxDiscarded. If the response is longer,
// its connection is closed.
func discard(a *Response) { _, _ = io.CopyN(io.Discard, a.Body, maxDiscarded) }

// sendFailed records a send that got no response.
func (x *exchange) sendFailed(life *request.Life, n int, runner *runners.State, err error) (sendResult, error) {
	if reason := x.endReason(); reason != nil {
		return mayHaveRun, reason
	}
	if notAdmitted(err) {
		life.Withdraw(n)
		x.sends--
		x.logStep("not_sent", decisionlog.F("runner", runner.ID), decisionlog.F("error", err))
		return notRun, err
	}
	x.logFailedStep("send_failed", runner.ID, err, decisionlog.F("address", runner.Address), decisionlog.F("asked", x.digest()),
		decisionlog.F("parts", x.call.SharedParts))
	var dial *upstream.ErrDial
	if errors.As(err, &dial) {
		life.Withdraw(n)
		runner.Unreachable(time.Now())
		x.sends--
		return notRun, err
	}
	runner.Failed(time.Now())
	if noResponse(err) {
		runner.Lost(time.Now())
		x.reportBrokenRun(runner, true, err)
	}
	return mayHaveRun, err
}

// declined records a refusal by a runner.
func (x *exchange) declined(runner *runners.State, a *Response) {
	if a.WrongRunner {
		runner.MarkUnusable(time.Now())
	} else {
		runner.Declined(time.Now())
	}
	x.g.metrics.declined(a.Status)
	x.logStep("declined", decisionlog.F("runner", runner.ID), decisionlog.F("status", a.Status), decisionlog.F("elsewhere", a.WrongRunner))
}

// forwardResponse forwards a response to the client: buffered and in one piece if it is short,
// streamed if it is long.
func (x *exchange) forwardResponse(life *request.Life, n int, a *Response, runner *runners.State) (sendResult, error) {
	buffered, whole, err := x.bufferBody(a.Body)
	if err == nil && whole {
		err = x.confirmBody(runner, a, len(buffered))
	}
	if err != nil {
		runner.Failed(time.Now())
		if x.endReason() == nil {
			runner.Lost(time.Now())
		}
		x.logFailedStep("answer_broken", runner.ID, err)
		x.reportBrokenRun(runner, false, err)
		return mayHaveRun, firstError(x.endReason(), &ErrAnswer{Runner: runner.ID, Status: a.Status, Why: "broken off: " + err.Error()})
	}
	x.copyHeader(a)
	if whole {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(buffered)))
	}
	x.w.WriteHeader(a.Status)
	_, err = x.w.Write(buffered)
	if err == nil && !whole {
		_, err = io.CopyBuffer(x.w, a.Body, x.copyBuffer(buffered))
		err = firstError(err, x.confirmComplete(runner, a))
	}
	if err != nil {
		x.finish(a.Status, &ErrBroken{Runner: runner.ID, Err: err})
		panic(http.ErrAbortHandler)
	}
	x.recordEnd(life, n)
	x.recordCompleted()
	x.recordSound()
	x.finish(a.Status, nil, decisionlog.F("runner", runner.ID), decisionlog.F("end", x.end))
	return responded, nil
}

// recordEnd records that the response is complete.
func (x *exchange) recordEnd(life *request.Life, n int) {
	_ = life.End(n, 0)
}
