package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/hopwell/hopwell/pkg/memory"
)

// Paths of a model engine's HTTP API. Bodies are JSON. The response to a decode is
// a stream with one Step per line.
const (
	PathPrefill  = "/engine/prefill"
	PathDecode   = "/engine/decode"
	PathHandover = "/engine/handover"
	PathRelease  = "/engine/release"
	PathCancel   = "/engine/cancel"
	PathHeld     = "/engine/held"
	PathLoad     = "/engine/load"
	PathEvents   = "/engine/events"
	PathAssign   = "/engine/assign"
)

// Step is one line of the response to a decode. It is not a decode step of the
// engine's batch.
type Step struct {
	// Imported is set on the line that reports the import of the KV cache.
	Imported bool `json:"imported,omitempty"`
	// Token is the next token.
	Token *Token `json:"token,omitempty"`
	// Err is set if the engine ended the response with an error.
	Err *ErrEngine `json:"error,omitempty"`
}

// AssignOrder is the body of PathAssign.
type AssignOrder struct {
	Fence      Fence      `json:"fence"`
	Assignment Assignment `json:"assignment"`
}

const (
	// maxLineBytes is the maximum size of a line of a decode response, and of any other response.
	maxLineBytes = 1 << 20
	// maxHeadBytes is the maximum size of the head of a response.
	maxHeadBytes = 64 << 10
)

// Client implements Engine over a model engine's HTTP API. It uses net/http,
// because the client of package nbhttp, which the servers use, returns a response
// only when it is complete.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the engine at a base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport()}}
}

// maxIdleConns is the maximum number of idle connections that a sidecar keeps to
// its runner.
const maxIdleConns = 64

func transport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = maxIdleConns
	t.MaxResponseHeaderBytes = maxHeadBytes
	return t
}

// post sends body as JSON and returns the response with its body open.
func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, &ErrUnreachable{Address: c.base, Err: err}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, &ErrUnreachable{Address: c.base, Err: err}
	}
	r.Header.Set("Content-Type", "application/json")
	return c.do(r)
}

// do sends a request. It returns *ErrEngine for a response other than 200, with
// CodeBroken if the body contains no error code.
func (c *Client) do(r *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, &ErrUnreachable{Address: c.base, Sent: true, Err: err}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	refused := &ErrEngine{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLineBytes)).Decode(refused); err != nil || refused.Code == "" {
		return nil, &ErrEngine{Code: CodeBroken, Detail: fmt.Sprintf("status %d", resp.StatusCode)}
	}
	return nil, refused
}

// postJSON sends body as JSON and decodes the response into a value.
func (c *Client) postJSON(ctx context.Context, path string, body, into any) error {
	resp, err := c.post(ctx, path, body)
	if err != nil {
		return err
	}
	return c.decodeBody(resp, into)
}

func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return &ErrUnreachable{Address: c.base, Err: err}
	}
	resp, err := c.do(r)
	if err != nil {
		return err
	}
	return c.decodeBody(resp, into)
}

func (c *Client) decodeBody(resp *http.Response, into any) error {
	defer resp.Body.Close()
	if into == nil {
		// The rest of a longer body is dropped with its connection.
		_, _ = io.CopyN(io.Discard, resp.Body, maxLineBytes)
		return nil
	}
	if err := json.NewDecoder(memory.Limit(resp.Body, "response of an engine", maxLineBytes)).Decode(into); err != nil {
		return &ErrUnreachable{Address: c.base, Sent: true, Err: err}
	}
	return nil
}

// Prefill implements Engine.
func (c *Client) Prefill(ctx context.Context, p Prefill) (Export, error) {
	var x Export
	return x, c.postJSON(ctx, PathPrefill, p, &x)
}

// Decode implements Engine.
func (c *Client) Decode(ctx context.Context, d Decode, imported func(), token func(Token) error) error {
	resp, err := c.post(ctx, PathDecode, d)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	err = ReadSteps(resp.Body, imported, token)
	var broken *errStream
	if errors.As(err, &broken) {
		return &ErrUnreachable{Address: c.base, Sent: true, Err: err}
	}
	return err
}

// errStream reports that the response to a decode is truncated or malformed.
type errStream struct {
	Err error
}

// Error implements error.
func (e *errStream) Error() string { return fmt.Sprintf("bad engine stream: cause=%v", e.Err) }

// ReadSteps reads the response to a decode, line by line, up to its final token.
func ReadSteps(r io.Reader, imported func(), token func(Token) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var s Step
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return &errStream{Err: err}
		}
		switch {
		case s.Err != nil:
			return s.Err
		case s.Imported:
			imported()
		case s.Token != nil:
			if err := token(*s.Token); err != nil {
				return err
			}
			if s.Token.Final {
				return nil
			}
		}
	}
	if err := lines.Err(); err != nil {
		return &errStream{Err: err}
	}
	return &errStream{Err: io.ErrUnexpectedEOF}
}

// Handover implements Engine.
func (c *Client) Handover(ctx context.Context, id string) (Export, error) {
	var x Export
	return x, c.postJSON(ctx, PathHandover, id, &x)
}

// Release implements Engine.
func (c *Client) Release(ctx context.Context, handle string) error {
	return c.postJSON(ctx, PathRelease, handle, nil)
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.postJSON(ctx, PathCancel, id, nil)
}

// Held implements Engine.
func (c *Client) Held(ctx context.Context) ([]Holding, error) {
	var out []Holding
	return out, c.getJSON(ctx, PathHeld, &out)
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	return l, c.getJSON(ctx, PathLoad, &l)
}

// Events implements Engine.
func (c *Client) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var out []CacheEvent
	return out, c.getJSON(ctx, fmt.Sprintf("%s?after=%d", PathEvents, after), &out)
}

// Assign implements Engine.
func (c *Client) Assign(ctx context.Context, f Fence, a Assignment) error {
	return c.postJSON(ctx, PathAssign, AssignOrder{f, a}, nil)
}
