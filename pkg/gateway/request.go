package gateway

import (
	"time"

	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/workspace"
)

// Request is one generation that a caller asks for.
type Request struct {
	// ID is unique; the gateway made it.
	ID string
	// Workspace is the tenant, Kind the request kind, Model the model.
	Workspace, Kind, Model string
	// Prompt is the text and MaxTokens bounds the answer.
	Prompt    string
	MaxTokens int
	// Key is the caller's idempotency key, empty for none.
	Key string
	// NotRepeatable is the caller's own mark; a selector can set it too.
	NotRepeatable bool

	// charged is the workspace whose limit paid for the request, cost how much.
	charged *workspace.Workspace
	cost    float64
}

// Sink takes a request's answer. It is called from one goroutine.
type Sink interface {
	// Text takes the next tokens. An error means that the caller is gone.
	Text(text string, tokens int) error
}

// Result is what became of a request.
type Result struct {
	Outcome request.Outcome
	// Err is nil when Outcome is done, otherwise one of this package's errors.
	Err error
	// Reason is why the answer ended, in OpenAI's words.
	Reason string
	// PromptTokens and Tokens are the lengths of prompt and answer.
	PromptTokens, Tokens int
	// FirstToken is the time until the first token, PerToken the mean time
	// between later ones.
	FirstToken, PerToken time.Duration
	// TargetFirst and TargetPer are the targets that applied.
	TargetFirst, TargetPer time.Duration
	// Prefilled counts prompt tokens computed for the request, Wasted those
	// that were thrown away or repeated.
	Prefilled, Wasted int
	// Attempts counts the attempts begun.
	Attempts int
	// RetryAfter is when to ask again, for what was not run.
	RetryAfter time.Duration
}

// Good reports whether the answer met both targets.
func (r *Result) Good() bool {
	return r.Outcome == request.Done && r.FirstToken <= r.TargetFirst && r.PerToken <= r.TargetPer
}
