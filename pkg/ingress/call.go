package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/upstream"
)

// Call is one request of a client: the parameters read from its headers, and the parts that are
// forwarded to a runner unchanged.
type Call struct {
	// ID identifies this request. A client that retries uses a new ID for each try.
	ID string
	// Timeout is how long the client waits for its response, counted from the arrival of the
	// request; 0 if the client does not specify it.
	Timeout time.Duration
	// Method, Target and Host are forwarded as received. Path is the target without the query.
	Method, Target, Host, Path string
	// Header holds the headers to forward: without hop-by-hop headers, and without those that
	// hopwell sets itself.
	Header http.Header
	Body   []byte
	// Prompt is the length of the prompt, MaxOut the limit on the output and Hint the client's
	// estimate of the output, all in tokens; 0 if not given.
	Prompt, MaxOut, Hint int
	// SharedParts are the parts of the prompt before its last, which other requests may share.
	SharedParts quarantine.Parts
	// PromptID identifies the last part of the prompt, which follows the parts that other requests
	// share. It is the same in all tries of a client; empty if not given.
	PromptID string
	// Credentials are the request's credentials as received, such as API keys.
	Credentials []string
	// After is the ID of the last event that the client received, set when it resumes a stream.
	After string
	// OriginID is the ID of the request that brought the first event of a resumed stream; empty if
	// the client did not name it. Clients choose it freely.
	OriginID string
}

// CallOptions holds the parameters of one call to a runner.
type CallOptions struct {
	// TimeLeft is the time left for the runner to respond.
	TimeLeft time.Duration
	// Source is the name, from RunnerClient.CacheName, of the KV cache from which a decode continues; empty
	// for none.
	Source string
	// CacheFrom is a runner that has the prompt in its KV cache, from which the decode runner
	// fetches it; nil for none.
	CacheFrom *runners.State
	// Hold is the ID of the hold that the call uses; empty for none.
	Hold string
	// After is the event ID after which a stream is resumed; if empty, that of the request is used.
	After string
	// Priority is the priority of the request at the runner, from 0 (highest) to 9.
	Priority int
	// KeysRequired is set if clients authenticate by keys. Keys are then not forwarded: the runner
	// receives the Workspace instead, which is empty on routes that need no key.
	KeysRequired bool
	Workspace    string
}

// Response is a runner's response to a call. The caller must close the body.
type Response struct {
	Status int
	// Header holds the headers to forward to the client.
	Header http.Header
	Body   io.ReadCloser
	// NotRun is set if the runner guarantees that it has not run the request and will not run it.
	NotRun bool
	// WrongRunner is set if another runner has the address now, or if the runner is in the wrong
	// stage.
	WrongRunner bool
	// CloseDelimited is set if the body has neither a length nor chunks and ends with the connection. Its end
	// does not show that it is complete. LastData then returns, after the end of the body, when its last data
	// arrived, by the clock of package boottime.
	CloseDelimited bool
	// Chunked is set if the body has chunks.
	Chunked  bool
	LastData func() (time.Time, error)
	// Peer is the process that sends the response. It is identified by the ID of its incarnation.
	Peer *upstream.Peer
	// Verified is set if the response carries the runner's signature and its body is not encoded.
	// Successful responses are forwarded only if it is set. It does not mean that the body is
	// complete.
	Verified bool
}

// OK reports whether the status is 2xx.
func (a *Response) OK() bool { return a.Status >= 200 && a.Status < 300 }

// PrefilledCache is a prompt's KV cache on a prefill runner.
type PrefilledCache struct {
	Handle string
	Tokens int
}

// RunnerClient makes the calls to runners, engines as well as plain ones. Calls fail with
// *upstream.ErrDial, *notice.ErrLeaving or *notice.ErrPaused if nothing was sent, with
// *upstream.ErrExchange if the call may have run, and with *ErrDeclined if the runner refused. Send
// does not fail if the runner refused; it sets Response.NotRun or Response.WrongRunner.
type RunnerClient interface {
	// Send sends a client's request to a runner, which runs it.
	Send(ctx context.Context, r *runners.State, c *Call, o CallOptions) (*Response, error)
	// Prefill has a runner compute the KV cache of a request's prompt and keep it.
	Prefill(ctx context.Context, r *runners.State, c *Call, o CallOptions) (PrefilledCache, error)
	// ReleaseCache releases a KV cache that no runner will fetch.
	ReleaseCache(ctx context.Context, r *runners.State, s PrefilledCache) error
	// Hold reserves a slot, and memory for a number of tokens, on a runner.
	Hold(ctx context.Context, r *runners.State, tokens int, ttl time.Duration) (string, error)
	// Drop releases a hold.
	Drop(ctx context.Context, r *runners.State, hold string) error
	// CachedPrompts returns the prompts in a runner's KV cache: the number of tokens by Call.PromptID.
	CachedPrompts(ctx context.Context, r *runners.State) (map[string]int, error)
	// Alive reports whether the same incarnation of a runner still responds, with whatever status. It fails
	// with *ErrUnidentified if a runner responds under the ID but doesn't tell which incarnation it is, with
	// *ErrClosed if its connection was reset without a response, and with *ErrSilent if nothing is known.
	Alive(ctx context.Context, r *runners.State) (bool, error)
	// Identified reports whether the next call to a runner goes to a process which Alive found to be the
	// incarnation of the runner's entry.
	Identified(r *runners.State) bool
	// Reachable returns nil if a process accepts a new connection at the runner's address and keeps it open. It
	// sends nothing, so that it may be called during the runner's pause.
	Reachable(ctx context.Context, r *runners.State) error
	// CacheName returns the name by which another runner can fetch a KV cache.
	CacheName(r *runners.State, s PrefilledCache) string
}

// RequestParser parses the headers of a request into a Call. It does not read the body.
type RequestParser interface {
	Read(r *http.Request) (*Call, error)
}
