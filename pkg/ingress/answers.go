package ingress

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/workspace"
)

const (
	// shortRetryAfter is the Retry-After of a request that another gateway can serve.
	shortRetryAfter = 50 * time.Millisecond
	// startupRetryAfter is the Retry-After while this process has no route table or no runners
	// yet.
	startupRetryAfter = 1200 * time.Millisecond
	// restartTime is the time from the end of a process until its successor serves requests.
	restartTime = time.Second
)

// statusNotRun is the status of a request that has not run and will not run.
const statusNotRun = http.StatusServiceUnavailable

// retryAfterSpread is the factor by which the random part lengthens a Retry-After at most.
const retryAfterSpread = 1.25

// refuse responds with 503 and Retry-After to a request that has not run and will not run.
func (x *exchange) refuse(err error, after time.Duration) { x.refuseFor(err, spread(after)) }

// refuseFor responds with 503 and exactly the given Retry-After.
func (x *exchange) refuseFor(err error, after time.Duration) {
	x.respond(http.StatusServiceUnavailable, err, decisionlog.F("retry_after", x.setRetryAfter(after)))
}

// spread returns a time plus a random part, so that refused clients do not all retry at once.
func spread(after time.Duration) time.Duration {
	return after + time.Duration(rand.Int64N(int64(float64(after)*(retryAfterSpread-1))+1))
}

// setRetryAfter sets Retry-After to the given time and returns it.
func (x *exchange) setRetryAfter(after time.Duration) time.Duration {
	x.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	return after
}

// fail responds with 502 or 504 to a request that failed and may have run.
func (x *exchange) fail(err error) {
	status := http.StatusBadGateway
	var timed *ErrTimeout
	if errors.As(err, &timed) {
		status = http.StatusGatewayTimeout
	}
	x.respond(status, err)
}

// respond writes a response that hopwell itself generates.
func (x *exchange) respond(status int, err error, more ...decisionlog.Field) {
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if x.g.drain.begun() {
		h.Set("Connection", "close")
	}
	x.w.WriteHeader(status)
	_, _ = fmt.Fprintln(x.w, err)
	x.finish(status, err, more...)
}

// reject responds to a request that was not accepted, with the status that fits the error.
func (x *exchange) reject(err error) {
	var noRoute *ErrNoRoute
	var bad *ErrBadCall
	var body *ErrBody
	var large *memory.ErrTooLarge
	var notReady *ErrNotReady
	var credential *workspace.ErrCredential
	var unconfirmed *ErrUnconfirmed
	var overQuota *quota.ErrQuota
	left, quarantined := quarantineLeft(err)
	if x.life == nil && x.route != nil && x.route.Kind == routetable.Stream {
		x.fields = append(x.fields, decisionlog.F("prompt", x.call.Prompt))
	}
	switch {
	case errors.As(err, &large):
		x.respond(http.StatusRequestHeaderFieldsTooLarge, err)
	case errors.As(err, &overQuota):
		x.respondOverQuota(overQuota)
	case errors.As(err, &credential):
		x.unauthorized(err)
	case errors.As(err, &unconfirmed):
		x.refuse(err, unconfirmedRetryAfter)
	case quarantined:
		x.refuse(err, left)
	case errors.As(err, &notReady) && !x.g.drain.begun():
		x.refuse(err, startupRetryAfter)
	case errors.As(err, &noRoute):
		x.respond(http.StatusNotFound, err)
	case errors.As(err, &bad):
		x.respond(http.StatusBadRequest, err)
	case errors.As(err, &body) && body.TooLarge:
		x.w.Header().Set("Connection", "close")
		x.respond(http.StatusRequestEntityTooLarge, err)
	case errors.As(err, &body):
		x.w.Header().Set("Connection", "close")
		x.respond(http.StatusRequestTimeout, err)
	case errors.As(err, &notReady):
		x.refuse(err, x.drainRetryAfter())
	default:
		x.refuse(err, shortRetryAfter)
	}
}

// unauthorized responds with 401 to a request without a valid key.
func (x *exchange) unauthorized(err error) {
	x.w.Header().Set("WWW-Authenticate", "Bearer")
	x.respond(http.StatusUnauthorized, err)
}

// drainRetryAfter returns the Retry-After of a request refused during the drain of this process:
// short if another gateway can serve the client, otherwise the time until this gateway has
// restarted.
func (x *exchange) drainRetryAfter() time.Duration {
	neighbours := x.g.options.Neighbours
	if neighbours == nil || neighbours() > 0 {
		return shortRetryAfter
	}
	up := x.g.drain.left(x.arrived) + restartTime
	return max(shortRetryAfter, min(up, time.Duration(float64(x.call.Timeout)*retryAfterShare)))
}

// giveUp ends a request whose attempts have all failed. Only if no attempt can have run does the
// response promise that the request has not run.
func (x *exchange) giveUp(life *request.Life, last error, after func() time.Duration) {
	outcome := life.GiveUp()
	if gone, ok := last.(errClientGone); ok {
		x.finish(0, gone)
		return
	}
	err := &ErrGivenUp{Outcome: outcome, Sends: x.sends, Last: last}
	if outcome == request.NotRun && notAllowed(last) {
		x.reject(last)
		return
	}
	if outcome == request.NotRun && notResumable(last) {
		x.refuseResumed(last)
		return
	}
	if outcome == request.NotRun {
		x.refuseFor(err, after())
		return
	}
	x.fail(err)
}

// finish records the end of the request in the metrics and in the decision log.
func (x *exchange) finish(status int, err error, more ...decisionlog.Field) {
	took := time.Since(x.arrived)
	route, kind := "none", decisionlog.KindDone
	if x.route != nil {
		route = x.route.Name
	}
	if err != nil {
		kind = decisionlog.KindFailed
	}
	x.g.metrics.ended(x, status, took)
	fields := []decisionlog.Field{decisionlog.F("request", x.id()), decisionlog.F("route", route), decisionlog.F("service", x.service),
		decisionlog.F("version", x.version), decisionlog.F("status", status), decisionlog.F("outcome", outcome(status, err)),
		decisionlog.F("took", took), decisionlog.F("sends", x.sends), decisionlog.F("returning", x.rank == enginepool.Returning)}
	if x.route != nil {
		fields = append(fields, decisionlog.F("target", x.route.LatencyTarget))
	}
	fields = append(append(fields, x.fields...), more...)
	if err != nil {
		fields = append(fields, decisionlog.F("cause", cause(err)), decisionlog.F("error", err))
	}
	x.g.options.Log.Write(kind, "request_end", fields...)
}

// outcome returns the log value for how the request ended for its client.
func outcome(status int, err error) string {
	if _, gone := err.(errClientGone); gone {
		return "client_gone"
	}
	var broken *ErrBroken
	switch {
	case errors.As(err, &broken):
		return "broken_off"
	case status == http.StatusServiceUnavailable && err != nil:
		return "not_run"
	case status >= http.StatusInternalServerError:
		return "unknown"
	case status >= http.StatusBadRequest:
		return "rejected"
	}
	return "done"
}

// cause returns the log value for the reason of a failed request, for tools that parse the log.
func cause(err error) string {
	var (
		timeout     *ErrTimeout
		broken      *ErrBroken
		noRoom      *enginepool.ErrNoRoom
		budget      *ErrRetryBudget
		givenUp     *ErrGivenUp
		overQuota   *quota.ErrQuota
		credential  *workspace.ErrCredential
		unconfirmed *ErrUnconfirmed
		suspected   *quarantine.ErrSuspectedParts
		noRegion    *ErrNoRegion
		evacuated   *ErrEvacuated
		limited     *ErrLimited
		unavailable *runners.ErrUnavailable
		full        *ErrFull
		unknown     *resume.ErrUnknown
		noVersion   *resume.ErrNoRunner
	)
	var closed *ErrNotResumable
	_, quarantined := quarantineLeft(err)
	switch {
	case errors.As(err, &closed):
		return "not_resumable"
	case errors.As(err, &unknown):
		return "software_unknown"
	case errors.As(err, &noVersion):
		return "software_gone"
	case errors.As(err, &full):
		return "runners_full"
	case errors.As(err, &unavailable):
		return "runners_unavailable"
	case errors.As(err, &limited):
		return "runner_limit"
	case errors.As(err, &noRegion):
		return "no_region"
	case errors.As(err, &evacuated):
		return "evacuated"
	case quarantined:
		return "quarantined"
	case errors.As(err, &suspected):
		return "suspected_parts"
	case errors.As(err, &overQuota):
		return "over_limit"
	case errors.As(err, &credential):
		return "no_key"
	case errors.As(err, &unconfirmed):
		return "key_unconfirmed"
	case errors.Is(err, errClientGone{}):
		return "client_gone"
	case errors.As(err, &broken):
		return "broken"
	case errors.As(err, &timeout):
		return "timeout"
	case errors.As(err, &givenUp) && givenUp.Outcome == request.NotRun && !errors.As(err, &noRoom):
		return "refused"
	case errors.As(err, &budget):
		return "retry_budget"
	case errors.As(err, &noRoom):
		return "no_room"
	case errors.As(err, &givenUp) && givenUp.Outcome != request.NotRun:
		return "answer_lost"
	}
	return "refused"
}

func (x *exchange) id() string {
	if x.call == nil {
		return ""
	}
	return x.call.ID
}

// maxLoggedID is the number of bytes of a client's ID that are logged, since clients may send IDs of
// any length.
const maxLoggedID = 64

// shorten returns an ID of a client for the log.
func shorten(id string) string { return id[:min(len(id), maxLoggedID)] }

// logStep logs a step of the request.
func (x *exchange) logStep(event string, fields ...decisionlog.Field) {
	x.g.options.Log.Write(decisionlog.KindStep, event, append([]decisionlog.Field{
		decisionlog.F("request", x.id()), decisionlog.F("at", time.Since(x.arrived))}, fields...)...)
}

// logFailedStep logs a failed step of the request.
func (x *exchange) logFailedStep(event string, runner string, err error, fields ...decisionlog.Field) {
	x.g.options.Log.Write(decisionlog.KindFailed, event, append([]decisionlog.Field{
		decisionlog.F("request", x.id()), decisionlog.F("at", time.Since(x.arrived)), decisionlog.F("runner", runner), decisionlog.F("error", err)}, fields...)...)
}

// copyHeader copies the headers of a runner's response to the client's response.
func (x *exchange) copyHeader(a *Response) {
	h := x.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if x.g.drain.begun() {
		h.Set("Connection", "close")
	}
}
