package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/memory"
)

// HeaderVersion carries a value's version.
const HeaderVersion = "Version"

// Query parameters of the platform's HTTP API.
const (
	ParamVersion = "version"
	ParamTTL     = "ttl"
	ParamAfter   = "after"
	ParamWait    = "wait"
)

// Client is an HTTP client of the platform. It implements KV, List and Weights.
type Client struct {
	base string
	http *http.Client

	mu         sync.Mutex
	etag       string
	cachedList []Instance
}

// NewClient returns a client of the platform at a base URL. It uses net/http
// because the client of package nbhttp, which the servers use, can't cancel a watch
// that is waiting for a change.
func NewClient(base string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// errStatus reports a response that the client can't handle.
type errStatus struct {
	Status int
	Body   string
}

// Error implements error.
func (e *errStatus) Error() string {
	return "unexpected answer: status=" + strconv.Itoa(e.Status) + " body=" + strconv.Quote(e.Body)
}

// errNoEnd reports a value whose response has neither a length nor chunks: nothing shows that it is whole.
type errNoEnd struct {
	Bytes int
}

// Error implements error.
func (e *errNoEnd) Error() string {
	return "value without a length may be cut off: bytes=" + strconv.Itoa(e.Bytes)
}

// call builds and sends one request and returns the response and its body.
func (c *Client) call(ctx context.Context, service, op, method, path string, query url.Values, body []byte) (*http.Response, []byte, error) {
	u := c.base + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, nil, &ErrUnavailable{Service: service, Op: op, Err: err}
	}
	return c.send(r, service, op)
}

const (
	// maxResponseBytes limits a response, in bytes: a value, or the list of some thousand instances.
	maxResponseBytes = 4 * MaxValue
	// maxHeadBytes limits the head of a response, in bytes.
	maxHeadBytes = 64 << 10
)

// send sends a request and returns the response and its body. It fails with *memory.ErrTooLarge as the
// cause if the body exceeds maxResponseBytes.
func (c *Client) send(r *http.Request, service, op string) (*http.Response, []byte, error) {
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, nil, &ErrUnavailable{Service: service, Op: op, Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(memory.Limit(resp.Body, "response of the platform", maxResponseBytes))
	if err != nil {
		return nil, nil, &ErrUnavailable{Service: service, Op: op, Err: err}
	}
	return resp, data, nil
}

// unexpectedStatus returns the error for a response with an unexpected status.
func unexpectedStatus(service, op string, resp *http.Response, data []byte) error {
	return &ErrUnavailable{Service: service, Op: op, Err: &errStatus{Status: resp.StatusCode, Body: string(data)}}
}

func toValue(resp *http.Response, data []byte) (Value, error) {
	version, err := strconv.ParseUint(resp.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return Value{}, &ErrUnavailable{Service: "kv", Op: "get", Err: err}
	}
	return Value{Version: version, Data: data}, nil
}

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	return c.read(ctx, "get", "/kv/"+key, nil)
}

func (c *Client) read(ctx context.Context, op, path string, query url.Values) (Value, error) {
	resp, data, err := c.call(ctx, "kv", op, http.MethodGet, path, query, nil)
	if err != nil {
		return Value{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Value{}, unexpectedStatus("kv", op, resp, data)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		return Value{}, &ErrUnavailable{Service: "kv", Op: op, Err: &errNoEnd{Bytes: len(data)}}
	}
	return toValue(resp, data)
}

// Swap implements KV.
func (c *Client) Swap(ctx context.Context, key string, version uint64, data []byte, ttl time.Duration) (uint64, error) {
	if len(data) > MaxValue {
		return 0, &ErrTooLarge{Key: key, Size: len(data)}
	}
	query := url.Values{ParamVersion: {strconv.FormatUint(version, 10)}}
	if ttl > 0 {
		query.Set(ParamTTL, ttl.String())
	}
	resp, body, err := c.call(ctx, "kv", "swap", http.MethodPut, "/kv/"+key, query, data)
	if err != nil {
		return 0, err
	}
	v, verr := toValue(resp, nil)
	switch {
	case resp.StatusCode == http.StatusOK && verr == nil:
		return v.Version, nil
	case resp.StatusCode == http.StatusConflict && verr == nil:
		return 0, &ErrConflict{Key: key, Want: version, Have: v.Version}
	}
	return 0, unexpectedStatus("kv", "swap", resp, body)
}

// Watch implements KV.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	query := url.Values{ParamAfter: {strconv.FormatUint(after, 10)}, ParamWait: {wait.String()}}
	return c.read(ctx, "watch", "/watch/"+key, query)
}

// Instances implements List. It sends the entity tag of the last list in
// If-None-Match (RFC 9110, 13.1.2), so that an unchanged list of a large fleet
// costs a few bytes.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.mu.Lock()
	tag := c.etag
	c.mu.Unlock()
	resp, data, err := c.fetchList(ctx, tag)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return slices.Clone(c.cachedList), nil
	case http.StatusOK:
	default:
		return nil, unexpectedStatus("instances", "list", resp, data)
	}
	var out []Instance
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, &ErrUnavailable{Service: "instances", Op: "list", Err: err}
	}
	c.etag, c.cachedList = resp.Header.Get("ETag"), out
	return slices.Clone(out), nil
}

// fetchList requests the instance list unless its entity tag is still tag.
func (c *Client) fetchList(ctx context.Context, tag string) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/instances", nil)
	if err != nil {
		return nil, nil, &ErrUnavailable{Service: "instances", Op: "list", Err: err}
	}
	if tag != "" {
		r.Header.Set("If-None-Match", tag)
	}
	return c.send(r, "instances", "list")
}

// Fetch implements Weights.
func (c *Client) Fetch(ctx context.Context, model, version, adapter string) error {
	query := url.Values{"model": {model}, "version": {version}, "adapter": {adapter}}
	resp, data, err := c.call(ctx, "weights", "fetch", http.MethodPost, "/weights", query, nil)
	if err != nil {
		return err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil {
			return unexpectedStatus("weights", "fetch", resp, data)
		}
		return &ErrThrottled{RetryAfter: time.Duration(wait * float64(time.Second))}
	}
	return unexpectedStatus("weights", "fetch", resp, data)
}

// IsConflict reports whether err is an *ErrConflict, from a compare-and-swap that
// found another version.
func IsConflict(err error) bool {
	var c *ErrConflict
	return errors.As(err, &c)
}
