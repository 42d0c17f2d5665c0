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

// errRequest reports an invalid request.
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

// errorResponse is an error response to a client.
type errorResponse struct {
	status     int
	retryAfter time.Duration
	body       openai.Error
}

// describe returns the error response for the error and the outcome of a request.
func describe(id string, err error, outcome request.Outcome) errorResponse {
	a := errorResponse{status: http.StatusBadGateway, body: openai.Error{
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
	var credential *workspace.ErrCredential
	var quotaErr *quota.ErrQuota
	switch {
	case errors.As(err, &credential):
		a.set(http.StatusUnauthorized, "invalid_request_error", "invalid_api_key")
	case errors.As(err, &quotaErr):
		// The error type names the exceeded unit, as in the OpenAI API.
		a.set(http.StatusTooManyRequests, string(quotaErr.Limit.Unit), "rate_limit_exceeded")
		a.retryAfter = max(quotaErr.After, time.Millisecond)
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
		a.retryAfter = time.Second
	case errors.As(err, &held):
		// An earlier request used the same idempotency key. Whether it ran is not
		// known here, so this response must not report that nothing ran.
		a.set(http.StatusConflict, "invalid_request_error", "key_in_use")
		a.body.Outcome = string(request.Unknown)
	case outcome == request.NotRun && (errors.As(err, &shed) || errors.As(err, &stale)):
		a.set(http.StatusServiceUnavailable, "overloaded_error", "no_capacity")
		a.retryAfter = time.Second
		if shed != nil {
			a.retryAfter = shed.RetryAfter
		}
	case outcome == request.NotRun:
		a.set(http.StatusServiceUnavailable, "server_error", "no_runner")
		a.retryAfter = time.Second
	}
	return a
}

func (a *errorResponse) set(status int, kind, code string) {
	a.status, a.body.Type, a.body.Code = status, kind, code
}

// writeError writes the error response for a request that was not run.
func writeError(w http.ResponseWriter, id string, err error) {
	writeErrorResponse(w, describe(id, err, request.NotRun))
}

// writeErrorResponse writes an error response. Its headers repeat the outcome and
// carry the time after which the client may retry.
func writeErrorResponse(w http.ResponseWriter, a errorResponse) {
	h := w.Header()
	h.Set(HeaderOutcome, a.body.Outcome)
	if a.body.Request != "" {
		h.Set(HeaderRequest, a.body.Request)
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.retryAfter.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(a.retryAfter.Milliseconds(), 10))
	}
	writeJSON(w, a.status, openai.ErrorBody{Error: a.body})
}
