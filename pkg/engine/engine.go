// Package engine defines the interfaces of a runner, which is a model engine or a
// plain service. Only the sidecar of a runner calls it.
//
// The HTTP clients in this package call real runners. Package fake contains the
// test doubles.
package engine

import (
	"context"
	"net/http"
	"time"
)

// Prefill is a call to compute the KV cache of a prompt.
type Prefill struct {
	// ID identifies the work on the engine: request ID, attempt and role.
	ID string `json:"id"`
	// Model, Version and Adapter select the model to run.
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the whole prompt, followed by the text generated so far.
	Prompt string `json:"prompt"`
	// Tokens is the length of Prompt in tokens.
	Tokens int `json:"tokens"`
	// Priority orders work on the engine; higher values run first.
	Priority int `json:"priority"`
}

// Export identifies a KV cache that an engine holds for another one to import.
type Export struct {
	// Handle is the engine's ID of the export.
	Handle string `json:"handle"`
	// Address is the address from which the importing engine fetches it.
	Address string `json:"address"`
	// Bytes is the size of the KV cache.
	Bytes int64 `json:"bytes"`
	// Tokens is the number of tokens that the KV cache covers. Cached is the
	// number of those that the engine took from its prefix cache.
	Tokens int `json:"tokens"`
	Cached int `json:"cached"`
	// Generated is the text decoded so far and Offset its length in tokens. Both
	// are empty after a prefill and set after a handover.
	Generated string `json:"generated,omitempty"`
	Offset    int    `json:"offset,omitempty"`
}

// Decode is a call to generate tokens.
type Decode struct {
	// ID identifies the work on the engine: request ID, attempt and role.
	ID string `json:"id"`
	// Model, Version and Adapter select the model to run.
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the prompt of the request, without generated text.
	Prompt string `json:"prompt"`
	// PromptTokens is the length of Prompt in tokens.
	PromptTokens int `json:"prompt_tokens"`
	// Source is the KV cache to import. If nil, the engine runs the prefill itself.
	Source *Export `json:"source,omitempty"`
	// Generated is the response so far and Offset its length in tokens. The first
	// new token follows Generated.
	Generated string `json:"generated,omitempty"`
	Offset    int    `json:"offset,omitempty"`
	// MaxTokens limits the length of the whole response, including Offset.
	MaxTokens int `json:"max_tokens"`
	// Seed makes sampling deterministic, so that a resumed response continues
	// the original one.
	Seed uint64 `json:"seed"`
	// Priority orders work on the engine; higher values run first.
	Priority int `json:"priority"`
}

// Token is one token of a response.
type Token struct {
	// Offset is the number of tokens before this one.
	Offset int `json:"offset"`
	// Text is the text that the token adds to the response.
	Text string `json:"text"`
	// Final is set on the last token, with Reason in the terms of the OpenAI API
	// ("stop", "length").
	Final  bool   `json:"final,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Holding is an allocation of KV memory for a request.
type Holding struct {
	// ID is the work's ID as given in its Prefill or Decode.
	ID string `json:"id"`
	// What is "prefill", "export", or "decode".
	What string `json:"what"`
	// Bytes is the size of the allocation.
	Bytes int64 `json:"bytes"`
}

// Load is the load that an engine reports. It lags behind the actual load.
type Load struct {
	Running      int   `json:"running"`
	BatchLimit   int   `json:"batch_limit"`
	KVUsed       int64 `json:"kv_used"`
	KVTotal      int64 `json:"kv_total"`
	QueuedTokens int   `json:"queued_tokens"`
	KVPerToken   int64 `json:"kv_per_token"`
	// Fence is the highest fence of an assignment that the engine accepted.
	Fence Fence `json:"fence"`
	// Assigned is the present assignment.
	Assigned Assignment `json:"assigned"`
}

// Assignment is the role, model, version and adapter that an engine runs.
type Assignment struct {
	Role    string `json:"role"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

// Fence is a fencing token that orders assignments by sidecar epoch, then by
// configuration revision.
type Fence struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Less reports whether f is older than g.
func (f Fence) Less(g Fence) bool {
	if f.Epoch != g.Epoch {
		return f.Epoch < g.Epoch
	}
	return f.Revision < g.Revision
}

// CacheEvent reports that a prefix block was added to or evicted from an engine's
// prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted"`
}

// Engine is a model engine. A call whose context ends is cancelled, and the engine
// then frees all memory that it held for the call.
//
// Errors are *ErrEngine if the engine responded with an error, and
// *ErrUnreachable if no complete response arrived.
type Engine interface {
	// Prefill computes and holds a KV cache. The engine frees it after a few
	// seconds unless it is imported or released earlier.
	Prefill(ctx context.Context, p Prefill) (Export, error)
	// Decode imports the KV cache given by Source, calls imported when that is
	// complete, and then calls token for each token in order. It returns after
	// the final token.
	Decode(ctx context.Context, d Decode, imported func(), token func(Token) error) error
	// Handover stops a running decode and exports its KV cache.
	Handover(ctx context.Context, id string) (Export, error)
	// Release frees an export. A missing export is not an error.
	Release(ctx context.Context, handle string) error
	// Cancel ends the work with the given ID and frees its memory. Missing work
	// is not an error.
	Cancel(ctx context.Context, id string) error
	// Held lists all memory held for requests.
	Held(ctx context.Context) ([]Holding, error)
	// Load reports the engine's load, with a lag.
	Load(ctx context.Context) (Load, error)
	// Events returns the cache events after a sequence number. Some may be missing.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Assign sets the role, model, version and adapter of the engine. An engine
	// that checks fences refuses an older fence with *ErrEngine and CodeFenced.
	Assign(ctx context.Context, f Fence, a Assignment) error
}

// Service is a plain service: any HTTP server.
type Service interface {
	// Call sends a request and returns the response. The caller must close the
	// response body.
	Call(ctx context.Context, r *http.Request) (*http.Response, error)
}

// PrefillTime is the time after which an engine frees an export that was not
// imported. The users' requirements state only that an export is "kept for only a
// few seconds".
const PrefillTime = 5 * time.Second
