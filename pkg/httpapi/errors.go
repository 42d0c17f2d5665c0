package httpapi

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hopwell/hopwell/pkg/claim"
	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/openai"
	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/workspace"
)

// errRequest reports what is wrong with a request itself.
type errRequest struct {
	Status               int
	Code, Param, Message string
}

// Error implements error.
func (e *errRequest) Error() string {
	return fmt.Sprintf("bad request: code=%s param=%s message=%q", e.Code, e.Param, e.Message)
}

func badRequest(param, message string) error {
	return &errRequest{Status: http.StatusBadRequest, Code: "invalid_value", Param: param, Message: message}
}

// answer is an error as a caller sees it.
type answer struct {
	status int
	retry  time.Duration
	body   openai.Error
}

// describe turns an error and an outcome into what the caller sees.
func describe(id string, err error, outcome request.Outcome) answer {
	a := answer{status: http.StatusBadGateway, body: openai.Error{
		Message: err.Error(), Type: "server_error", Code: "runner_failed",
		Outcome: string(outcome), Request: id,
	}}
	var bad *errRequest
	var unknown *gateway.ErrUnknownModel
	var long *gateway.ErrPromptTooLong
	var limit *gateway.ErrLimit
	var shed *gateway.ErrShed
	var held *claim.ErrHeld
	var stale *gateway.ErrStale
	var key *workspace.ErrCredential
	var used *quota.ErrQuota
	switch {
	case errors.As(err, &key):
		a.set(http.StatusUnauthorized, "invalid_request_error", "invalid_api_key")
	case errors.As(err, &used):
		a.set(http.StatusTooManyRequests, string(used.Limit.Unit), "rate_limit_exceeded")
		a.retry = max(used.After, time.Millisecond)
	case errors.As(err, &bad):
		a.set(bad.Status, "invalid_request_error", bad.Code)
		a.body.Message = bad.Message
		if bad.Param != "" {
			a.body.Param = &bad.Param
		}
	case errors.As(err, &unknown):
		a.set(http.StatusNotFound, "invalid_request_error", "model_not_found")
	case errors.As(err, &long):
		a.set(http.StatusBadRequest, "invalid_request_error", "context_length_exceeded")
	case errors.As(err, &limit):
		a.set(http.StatusTooManyRequests, "rate_limit_error", "too_many_open_requests")
		a.retry = time.Second
	case errors.As(err, &held):
		// The caller's key was used before: whether that request ran is that
		// request's outcome, so this answer must not say that nothing ran.
		a.set(http.StatusConflict, "invalid_request_error", "key_in_use")
		a.body.Outcome = string(request.Unknown)
	case outcome == request.NotRun && (errors.As(err, &shed) || errors.As(err, &stale)):
		a.set(http.StatusServiceUnavailable, "overloaded_error", "no_capacity")
		a.retry = time.Second
		if shed != nil {
			a.retry = shed.RetryAfter
		}
	case outcome == request.NotRun:
		a.set(http.StatusServiceUnavailable, "server_error", "no_runner")
		a.retry = time.Second
	}
	return a
}

func (a *answer) set(status int, kind, code string) {
	a.status, a.body.Type, a.body.Code = status, kind, code
}

// writeError answers a request that was not run.
func writeError(w http.ResponseWriter, id string, err error) {
	writeAnswer(w, describe(id, err, request.NotRun))
}

// writeAnswer answers with an error. It says in the header, too, whether the
// request ran and when to come back.
func writeAnswer(w http.ResponseWriter, a answer) {
	h := w.Header()
	h.Set(HeaderOutcome, a.body.Outcome)
	if a.body.Request != "" {
		h.Set(HeaderRequest, a.body.Request)
	}
	if a.retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.retry.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(a.retry.Milliseconds(), 10))
	}
	writeJSON(w, a.status, openai.ErrorBody{Error: a.body})
}
