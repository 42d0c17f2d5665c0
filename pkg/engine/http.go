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
	"net/url"
)

// Paths of a model engine's HTTP API. Bodies are JSON; a decode answers with one
// Step for each line.
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

// Step is one line of a decode's answer.
type Step struct {
	// Imported is set on the line that tells that the KV cache is there.
	Imported bool `json:"imported,omitempty"`
	// Token is the next token.
	Token *Token `json:"token,omitempty"`
	// Err ends the answer early.
	Err *ErrEngine `json:"error,omitempty"`
}

// AssignOrder is the body of PathAssign.
type AssignOrder struct {
	Fence      Fence      `json:"fence"`
	Assignment Assignment `json:"assignment"`
}

// maxLine bounds one line of a decode's answer, in bytes.
const maxLine = 1 << 20

// Client speaks a model engine's HTTP API. It uses net/http, since nbhttp's
// client hands over an answer only when it is complete.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the engine at a base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport()}}
}

// idleConns is how many unused connections to its one runner a sidecar keeps.
const idleConns = 64

func transport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = idleConns
	return t
}

// post sends an order and returns its open answer.
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

// do sends a request. An answer that is no success is *ErrEngine where its body
// says so.
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLine)).Decode(refused); err != nil || refused.Code == "" {
		return nil, &ErrEngine{Code: CodeBroken, Detail: fmt.Sprintf("status %d", resp.StatusCode)}
	}
	return nil, refused
}

// exchange sends an order and reads its whole answer into a value.
func (c *Client) exchange(ctx context.Context, path string, body, into any) error {
	resp, err := c.post(ctx, path, body)
	if err != nil {
		return err
	}
	return c.read(resp, into)
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return &ErrUnreachable{Address: c.base, Err: err}
	}
	resp, err := c.do(r)
	if err != nil {
		return err
	}
	return c.read(resp, into)
}

func (c *Client) read(resp *http.Response, into any) error {
	defer resp.Body.Close()
	if into == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return &ErrUnreachable{Address: c.base, Sent: true, Err: err}
	}
	return nil
}

// Prefill implements Engine.
func (c *Client) Prefill(ctx context.Context, p Prefill) (Export, error) {
	var x Export
	return x, c.exchange(ctx, PathPrefill, p, &x)
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

// errStream reports that a decode's answer broke off or can't be read.
type errStream struct {
	Err error
}

// Error implements error.
func (e *errStream) Error() string { return fmt.Sprintf("bad engine stream: cause=%v", e.Err) }

// ReadSteps reads a decode's answer, line by line, until its final token.
func ReadSteps(r io.Reader, imported func(), token func(Token) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
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
	return x, c.exchange(ctx, PathHandover, id, &x)
}

// Release implements Engine.
func (c *Client) Release(ctx context.Context, handle string) error {
	return c.exchange(ctx, PathRelease, handle, nil)
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.exchange(ctx, PathCancel, id, nil)
}

// Held implements Engine.
func (c *Client) Held(ctx context.Context) ([]Holding, error) {
	var out []Holding
	return out, c.get(ctx, PathHeld, &out)
}

// Load implements Engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	return l, c.get(ctx, PathLoad, &l)
}

// Events implements Engine.
func (c *Client) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var out []CacheEvent
	return out, c.get(ctx, fmt.Sprintf("%s?after=%d", PathEvents, after), &out)
}

// Assign implements Engine.
func (c *Client) Assign(ctx context.Context, f Fence, a Assignment) error {
	return c.exchange(ctx, PathAssign, AssignOrder{f, a}, nil)
}

// ServiceClient calls a plain service.
type ServiceClient struct {
	base *url.URL
	http *http.Client
}

// NewServiceClient returns a client of the service at a base URL.
func NewServiceClient(base string) (*ServiceClient, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, &ErrUnreachable{Address: base, Err: err}
	}
	return &ServiceClient{base: u, http: &http.Client{Transport: serviceTransport(), CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}}, nil
}

// serviceTransport never sends a call a second time: net/http repeats a request
// whose reused connection broke, unless its connections are not reused.
func serviceTransport() *http.Transport {
	t := transport()
	t.DisableKeepAlives = true
	return t
}

// Call implements Service.
func (s *ServiceClient) Call(ctx context.Context, r *http.Request) (*http.Response, error) {
	out := r.Clone(ctx)
	out.URL.Scheme, out.URL.Host = s.base.Scheme, s.base.Host
	out.RequestURI, out.Host = "", ""
	resp, err := s.http.Do(out)
	if err != nil {
		return nil, &ErrUnreachable{Address: s.base.Host, Sent: !neverConnected(err), Err: err}
	}
	return resp, nil
}
