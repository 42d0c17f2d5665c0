package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// Call is one request of a client: what it says of itself, and what travels on
// to a runner unchanged.
type Call struct {
	// ID is the client's own; each of its tries has another.
	ID string
	// Patience is how long the client will wait, from its arrival; 0 if it does
	// not say.
	Patience time.Duration
	// Method, Target and Host are sent on as they came. Path is without query.
	Method, Target, Host, Path string
	// Header is what travels on: without the headers of one connection only,
	// and without those that are hopwell's to set.
	Header http.Header
	Body   []byte
	// Prompt, MaxOut and Hint are, in tokens, the length of the prompt, the
	// longest answer and the client's guess of its length; 0 if not given.
	Prompt, MaxOut, Hint int
	// PromptID names the prompt's own last part: the same in all tries of a client;
	// empty if not given.
	PromptID string
	// Credentials are what the request shows to prove whom it is for, as they came.
	Credentials []string
	// After is the last event that the client has, when it resumes a stream.
	After string
}

// Order says how a call is sent to a runner.
type Order struct {
	// Left is the time that the runner may take.
	Left time.Duration
	// Source names the KV cache that a decode goes on from; empty for none.
	Source string
	// CacheFrom is a runner that keeps the prompt in its KV cache, from which the
	// decode runner fetches it; nil for none.
	CacheFrom *runners.State
	// Hold names the reservation that the call uses; empty for none.
	Hold string
	// After resumes a stream behind an event; empty takes the call's own.
	After string
	// Priority is the call's rank at the runner, 0 to 9, 0 first.
	Priority int
	// Keyed says that requests prove by keys whom they are for: a runner gets none of
	// them, and is told the Workspace instead, empty where a route asks for no key.
	Keyed     bool
	Workspace string
}

// Answer is a runner's answer to a call. The body must be closed.
type Answer struct {
	Status int
	// Header is what goes back to the client.
	Header http.Header
	Body   io.ReadCloser
	// NotRun is the runner's word that it has not run the call and won't.
	NotRun bool
	// Elsewhere says that another runner has the address now, or that the
	// runner has the wrong stage.
	Elsewhere bool
	// Whole says that the answer carries the runner's signature and its body as
	// it is, without which no success is passed on.
	Whole bool
}

// OK reports whether the answer is a success.
func (a *Answer) OK() bool { return a.Status >= 200 && a.Status < 300 }

// Source is a prompt's KV cache at a prefill runner.
type Source struct {
	Handle string
	Tokens int
}

// Engines is how runners are called. Calls fail with *upstream.ErrDial, *notice.ErrLeaving or
// *notice.ErrPaused when nothing was sent, *upstream.ErrExchange when the call may have run, and
// *ErrDeclined when the runner refused.
type Engines interface {
	// Send sends a call to be run.
	Send(ctx context.Context, r *runners.State, c *Call, o Order) (*Answer, error)
	// Prefill has a call's prompt read and its KV cache kept.
	Prefill(ctx context.Context, r *runners.State, c *Call, o Order) (Source, error)
	// Free gives up a KV cache that nobody will fetch.
	Free(ctx context.Context, r *runners.State, s Source) error
	// Hold reserves a slot and memory.
	Hold(ctx context.Context, r *runners.State, tokens int, ttl time.Duration) (string, error)
	// Drop gives a reservation back.
	Drop(ctx context.Context, r *runners.State, hold string) error
	// Kept returns the prompts that a runner keeps in its KV cache: tokens by
	// Call.PromptID.
	Kept(ctx context.Context, r *runners.State) (map[string]int, error)
	// Alive reports whether this very start of a runner still answers, whatever it answers. It
	// fails with *ErrSilent where that can't be told.
	Alive(ctx context.Context, r *runners.State) (bool, error)
	// Fetch names a KV cache so that another runner can fetch it.
	Fetch(r *runners.State, s Source) string
}

// Reader takes what a request says of itself out of its headers. It does not
// read the body.
type Reader interface {
	Read(r *http.Request) (*Call, error)
}
