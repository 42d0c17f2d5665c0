package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/upstream"
)

const (
	// maxBuffered bounds the answers that are held back until they are whole, in
	// bytes; longer ones are passed on as they come, and others while memory is short.
	maxBuffered = 256 << 10
	// maxRefused bounds the sends of a request that runners turned away.
	maxRefused = 3
	// minPlainRetryAfter is when a client may come back whom no plain runner took.
	minPlainRetryAfter = 300 * time.Millisecond
)

// sendResult is what became of one send.
type sendResult int

const (
	// responded: the client has its answer, or has a part of one.
	responded sendResult = iota
	// notRun: the runner has not run the request.
	notRun
	// mayHaveRun: it has, or it may have.
	mayHaveRun
)

// forward serves a request by a plain service.
func (x *exchange) forward() {
	life := request.NewLife(x.call.ID, x.route.Repeatable())
	x.life = life
	budget := x.g.budget(x.service)
	budget.Request(x.arrived)
	avoid := map[string]bool{}
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
		runner, err := x.claimPlain(avoid)
		if err != nil {
			if last == nil || roomAfter(err) > 0 {
				last = err
			}
			break
		}
		if x.sends > 0 && !budget.Spend(time.Now()) {
			runner.Release(x.call.ID)
			last = &ErrRetryBudget{Service: x.service}
			break
		}
		final := runs+1 >= x.route.MaxAttempts || !x.route.Repeatable()
		var v sendResult
		v, err = x.sendPlain(life, n, runner, final)
		if v == responded {
			return
		}
		avoid[runner.ID] = true
		last = err
		if notAllowed(err) {
			break
		}
		if v == notRun {
			refusals++
			continue
		}
		runs++
	}
	x.giveUp(life, firstError(x.endReason(), last), plainRetryAfter(last))
}

// plainRetryAfter returns the Retry-After for a request that no plain runner accepted.
func plainRetryAfter(last error) time.Duration { return max(roomAfter(last), minPlainRetryAfter) }

// firstError returns the first error that is one.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// sendPlain makes one try. A failure that the runner itself responded goes back
// if the try is the final one.
func (x *exchange) sendPlain(life *request.Life, n int, runner *runners.State, final bool) (sendResult, error) {
	began := time.Now()
	defer runner.Release(x.call.ID)
	if err := x.reconfirm(); err != nil {
		return notRun, err
	}
	if err := life.Send(n); err != nil {
		return mayHaveRun, err
	}
	runner.Enter()
	defer runner.Leave()
	x.sends++
	x.logRunnerLimit(runner)
	runner.Sent(x.call.ID, time.Now())
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	answer, err := x.g.options.Engines.Send(ctx, runner, x.call, x.order())
	if err != nil {
		return x.sendFailed(life, n, runner, err)
	}
	defer answer.Body.Close()
	if answer.NotRun || answer.Elsewhere {
		life.Withdraw(n)
		x.declined(runner, answer)
		return notRun, &ErrDeclined{Runner: runner.ID, Status: answer.Status, Elsewhere: answer.Elsewhere}
	}
	if answer.Status >= http.StatusInternalServerError {
		runner.Failed(time.Now())
		if !final {
			discard(answer)
			x.logFailedStep("answer_failed", runner.ID, &ErrAnswer{Runner: runner.ID, Status: answer.Status, Why: "runner failed"})
			return mayHaveRun, &ErrAnswer{Runner: runner.ID, Status: answer.Status, Why: "runner failed"}
		}
	}
	if answer.OK() && !answer.Whole {
		runner.Failed(time.Now())
		return mayHaveRun, &ErrAnswer{Runner: runner.ID, Status: answer.Status, Why: "not signed, or encoded"}
	}
	v, err := x.forwardResponse(life, n, answer, runner)
	if err == nil && answer.Status < http.StatusInternalServerError {
		runner.Answered(time.Since(began))
	}
	return v, err
}

// logRunnerLimit records that the request is sent to a runner that names a limit.
func (x *exchange) logRunnerLimit(runner *runners.State) {
	if limit, ok := runner.Limit(time.Now()); ok {
		x.logStep("sent_within_limit", decisionlog.F("runner", runner.ID), decisionlog.F("limit", limit.PerSecond), decisionlog.F("named_ago", limit.NamedAgo),
			decisionlog.F("told_by", limit.From), decisionlog.F("left", limit.Level), decisionlog.F("users", limit.Users), decisionlog.F("heard", limit.Heard))
	}
}

// maxDiscarded bounds what is read of an answer that nobody gets, in bytes, so that its
// connection can be used again.
const maxDiscarded = 16 << 10

// discard reads an answer that nobody gets. What of it is not there yet ends with its
// connection.
func discard(a *Answer) { _, _ = io.CopyN(io.Discard, a.Body, maxDiscarded) }

// sendFailed records a send without an answer.
func (x *exchange) sendFailed(life *request.Life, n int, runner *runners.State, err error) (sendResult, error) {
	if gone := x.endReason(); gone != nil {
		return mayHaveRun, gone
	}
	if notAdmitted(err) {
		life.Withdraw(n)
		x.sends--
		x.logStep("not_sent", decisionlog.F("runner", runner.ID), decisionlog.F("error", err))
		return notRun, err
	}
	x.logFailedStep("send_failed", runner.ID, err, decisionlog.F("address", runner.Address), decisionlog.F("asked", x.digest()))
	var dial *upstream.ErrDial
	if errors.As(err, &dial) {
		life.Withdraw(n)
		runner.Unreachable(time.Now())
		x.sends--
		return notRun, err
	}
	runner.Failed(time.Now())
	if noResponse(err) {
		x.reportBrokenRun(runner, true, err)
	}
	return mayHaveRun, err
}

// declined records a runner's refusal.
func (x *exchange) declined(runner *runners.State, a *Answer) {
	if a.Elsewhere {
		runner.MarkUnusable(time.Now())
	} else {
		runner.Declined(time.Now())
	}
	x.g.metrics.declined(a.Status)
	x.logStep("declined", decisionlog.F("runner", runner.ID), decisionlog.F("status", a.Status), decisionlog.F("elsewhere", a.Elsewhere))
}

// forwardResponse gives an answer to the client: whole if it is short, as it comes if it
// is long.
func (x *exchange) forwardResponse(life *request.Life, n int, a *Answer, runner *runners.State) (sendResult, error) {
	held, whole, err := x.bufferBody(a.Body)
	if err != nil {
		runner.Failed(time.Now())
		x.logFailedStep("answer_broken", runner.ID, err)
		x.reportBrokenRun(runner, false, err)
		return mayHaveRun, firstError(x.endReason(), &ErrAnswer{Runner: runner.ID, Status: a.Status, Why: "broken off: " + err.Error()})
	}
	x.copyHeader(a)
	if whole {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(held)))
	}
	x.w.WriteHeader(a.Status)
	_, err = x.w.Write(held)
	if err == nil && !whole {
		_, err = io.CopyBuffer(x.w, a.Body, x.copyBuffer(held))
	}
	if err != nil {
		x.finish(a.Status, &ErrBroken{Runner: runner.ID, Err: err})
		panic(http.ErrAbortHandler)
	}
	x.recordEnd(life, n)
	x.recordCompleted()
	x.finish(a.Status, nil, decisionlog.F("runner", runner.ID))
	return responded, nil
}

// end records the request's whole answer.
func (x *exchange) recordEnd(life *request.Life, n int) {
	_ = life.End(n, 0)
}
