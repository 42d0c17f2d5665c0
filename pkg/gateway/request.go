package gateway

import (
	"time"

	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/workspace"
)

// Request is one generation request of a client.
type Request struct {
	// ID is unique. The gateway generates it.
	ID string
	// Workspace is the tenant, Kind the kind of request, Model the model.
	Workspace, Kind, Model string
	// Prompt is the text, MaxTokens limits the tokens of the response.
	Prompt    string
	MaxTokens int
	// Key is the client's idempotency key, or empty.
	Key string
	// NotRepeatable is set by the client. A selector can set it too.
	NotRepeatable bool

	// charged is the workspace whose limit was charged for the request. cost is the amount charged,
	// in the unit of that limit.
	charged *workspace.Workspace
	cost    float64
}

// Sink receives the response to a request. It is called from one goroutine.
type Sink interface {
	// Text receives the next tokens. An error means that the client disconnected.
	Text(text string, tokens int) error
}

// Result describes how a request ended.
type Result struct {
	Outcome request.Outcome
	// Err is nil if Outcome is done. Otherwise it is an error of this package, or of package
	// request, claim, quota or workspace.
	Err error
	// Reason is the finish reason, in the terms of the OpenAI API.
	Reason string
	// PromptTokens and Tokens are the lengths of the prompt and the response.
	PromptTokens, Tokens int
	// FirstToken is the time to the first token, PerToken the mean time between the later ones.
	FirstToken, PerToken time.Duration
	// TargetFirst and TargetPer are the targets that applied.
	TargetFirst, TargetPer time.Duration
	// Prefilled counts the prompt tokens computed for the request. Wasted counts those that did not
	// contribute to the response: all if the response is incomplete, otherwise those computed after
	// the first prefill.
	Prefilled, Wasted int
	// Attempts is the number of attempts started.
	Attempts int
	// RetryAfter is the time after which the client may retry a request that did not run.
	RetryAfter time.Duration
}

// Good reports whether the response is complete and met both targets.
func (r *Result) Good() bool {
	return r.Outcome == request.Done && r.FirstToken <= r.TargetFirst && r.PerToken <= r.TargetPer
}
