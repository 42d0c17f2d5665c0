// Package engine says what hopwell needs of a runner: a model engine or a plain
// service. The sidecar beside a runner is the only process that calls it.
//
// The HTTP clients in this package speak to real runners; package fake holds
// the stand-ins.
package engine

import (
	"context"
	"net/http"
	"time"
)

// Prefill is one order to compute the KV cache of a prompt.
type Prefill struct {
	// ID names the work on the engine: request ID, attempt and role.
	ID string `json:"id"`
	// Model, Version and Adapter name what computes it.
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the whole text, with any tokens generated already at its end.
	Prompt string `json:"prompt"`
	// Tokens is the length of Prompt in tokens.
	Tokens int `json:"tokens"`
	// Priority orders work on the engine; larger runs first.
	Priority int `json:"priority"`
}

// Export names a KV cache that an engine holds for another one to import.
type Export struct {
	// Handle is the engine's name of it.
	Handle string `json:"handle"`
	// Address is where the importing engine fetches it.
	Address string `json:"address"`
	// Bytes is its size.
	Bytes int64 `json:"bytes"`
	// Tokens is how many tokens it covers, Cached how many of them were not
	// computed now because the engine still had them.
	Tokens int `json:"tokens"`
	Cached int `json:"cached"`
	// Generated is the text decoded so far and Offset its tokens. Both are
	// empty after a prefill and set after a handover.
	Generated string `json:"generated,omitempty"`
	Offset    int    `json:"offset,omitempty"`
}

// Decode is one order to generate tokens.
type Decode struct {
	// ID names the work on the engine: request ID, attempt and role.
	ID string `json:"id"`
	// Model, Version and Adapter name what computes it.
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the text of the request without what was generated.
	Prompt string `json:"prompt"`
	// PromptTokens is its length.
	PromptTokens int `json:"prompt_tokens"`
	// Source is the KV cache to import; nil makes the engine prefill by itself.
	Source *Export `json:"source,omitempty"`
	// Generated is the answer so far and Offset its tokens; the first token
	// that comes back follows them.
	Generated string `json:"generated,omitempty"`
	Offset    int    `json:"offset,omitempty"`
	// MaxTokens bounds the whole answer, Offset included.
	MaxTokens int `json:"max_tokens"`
	// Seed makes sampling repeatable, so that a resumed answer continues the
	// same one.
	Seed uint64 `json:"seed"`
	// Priority orders work on the engine; larger runs first.
	Priority int `json:"priority"`
}

// Token is one step of an answer.
type Token struct {
	// Offset counts the tokens before this one, from 0.
	Offset int `json:"offset"`
	// Text is what it adds to the answer.
	Text string `json:"text"`
	// Final is set on the last one, with the reason in OpenAI's words
	// ("stop", "length").
	Final  bool   `json:"final,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Holding is one piece of engine memory held for a request.
type Holding struct {
	// ID is the work's name as its order gave it.
	ID string `json:"id"`
	// What is "prefill", "export", or "decode".
	What string `json:"what"`
	// Bytes is the KV cache it takes.
	Bytes int64 `json:"bytes"`
}

// Load is an engine's own report. It lags behind.
type Load struct {
	Running      int   `json:"running"`
	BatchLimit   int   `json:"batch_limit"`
	KVUsed       int64 `json:"kv_used"`
	KVTotal      int64 `json:"kv_total"`
	QueuedTokens int   `json:"queued_tokens"`
	KVPerToken   int64 `json:"kv_per_token"`
	// Fence is the highest fence whose order the engine accepted.
	Fence Fence `json:"fence"`
	// Assigned is what the engine now runs.
	Assigned Assignment `json:"assigned"`
}

// Assignment is what an engine should run.
type Assignment struct {
	Role    string `json:"role"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

// Fence orders assignments: by sidecar epoch, then by configuration revision.
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

// CacheEvent tells that a prefix block entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted"`
}

// Engine is a model engine. All calls end early when their context does, and
// the engine then keeps nothing for them.
//
// Errors are *ErrEngine for an answer the engine gave and *ErrUnreachable when
// none came.
type Engine interface {
	// Prefill computes and holds a KV cache. The engine drops it by itself
	// after a few seconds unless it is imported or released.
	Prefill(ctx context.Context, p Prefill) (Export, error)
	// Decode imports what Source names, calls imported once that is done, and
	// then token for every token in order. It returns after the final one.
	Decode(ctx context.Context, d Decode, imported func(), token func(Token) error) error
	// Handover stops a running decode and exports its KV cache.
	Handover(ctx context.Context, id string) (Export, error)
	// Release drops an export; a missing one is no error.
	Release(ctx context.Context, handle string) error
	// Cancel ends the work with that ID and frees its memory; missing work is
	// no error.
	Cancel(ctx context.Context, id string) error
	// Held lists all memory held for requests.
	Held(ctx context.Context) ([]Holding, error)
	// Load reports the engine's load, with a lag.
	Load(ctx context.Context) (Load, error)
	// Events returns cache events after a sequence number; some may be missing.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Assign orders a role, model, version and adapter. An engine that checks
	// fences refuses an older one with ErrEngine and code "fenced".
	Assign(ctx context.Context, f Fence, a Assignment) error
}

// Service is a plain service: anything that answers HTTP.
type Service interface {
	// Call sends one request and returns its answer, whose body the caller
	// closes.
	Call(ctx context.Context, r *http.Request) (*http.Response, error)
}

// PrefillTime is the time after which an engine drops an export that nobody
// imported, as the brief's "kept for only a few seconds".
const PrefillTime = 5 * time.Second
