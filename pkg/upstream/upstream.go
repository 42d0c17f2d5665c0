// Package upstream sends single HTTP/1.1 requests to runners and returns their
// responses as they arrive. It parses with net/http and exposes what that package's
// own client hides: whether bytes of a request were sent, responses that belong to
// an earlier request, and how long a runner keeps an idle connection. It never
// sends a request twice.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/memory"
)

const (
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4096
	// maxSurplus is how many responses to earlier requests are skipped per request.
	maxSurplus = 2
	// maxSurplusBytes is how much of the body of such a response is skipped, in bytes. A body may have no
	// end, while the request that follows it waits.
	maxSurplusBytes = 256 << 10
	// maxInterim is how many 1xx responses are accepted before the final one.
	maxInterim = 5
	// inlineBody is the longest body, in bytes, that is written before the response is
	// read. Longer bodies are written in chunks of this size while the response is read.
	inlineBody = 32 << 10
	// writeTimeout limits each write to a runner: the head, or one chunk of the body. It is
	// several times longer than the retransmission of a lost packet takes. Without the limit,
	// a body that the runner doesn't read would occupy the gateway's memory, and the client
	// that sent it would wait without a response.
	writeTimeout = 3 * time.Second
	// idleMargin is how long before the runner's keep-alive timeout the gateway stops
	// using an idle connection.
	idleMargin = time.Second
)

// ErrDial reports that no connection could be opened: nothing was sent.
type ErrDial struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ErrDial) Error() string {
	return fmt.Sprintf("can't connect: address=%s cause=%v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ErrDial) Unwrap() error { return e.Err }

// ErrExchange reports that a request was sent, at least in part, and that no complete
// response to it was received. Err is *memory.ErrTooLarge or *memory.ErrFull if the head of the
// response did not fit.
type ErrExchange struct {
	Address string
	// Reused is whether the connection had served other requests before.
	Reused bool
	Err    error
}

// Error implements error.
func (e *ErrExchange) Error() string {
	return fmt.Sprintf("no answer: address=%s reused=%t cause=%v", e.Address, e.Reused, e.Err)
}

// Unwrap returns the cause.
func (e *ErrExchange) Unwrap() error { return e.Err }

// ErrStalled reports that a write to a runner did not finish within writeTimeout.
type ErrStalled struct {
	Address string
	After   time.Duration
}

// Error implements error.
func (e *ErrStalled) Error() string {
	return fmt.Sprintf("runner reads nothing: address=%s after=%s", e.Address, e.After)
}

// ErrSurplus reports that too many responses arrived that are not the final response to the
// request: responses to other requests, or 1xx responses.
type ErrSurplus struct {
	Responses int
}

// Error implements error.
func (e *ErrSurplus) Error() string {
	return fmt.Sprintf("answers of other requests: count=%d", e.Responses)
}

// Request is one HTTP request to a runner.
type Request struct {
	Method string
	// Target is the path and query, sent as it is.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response belongs to this request; nil accepts any response. On a reused
	// connection it may be a late response to an earlier request.
	Matches func(res *http.Response, reused bool) bool
}

// Options are a client's settings.
type Options struct {
	// ConnectTimeout limits the time to open a connection.
	ConnectTimeout time.Duration
	// DefaultKeepAlive is the keep-alive timeout assumed for runners that send none.
	DefaultKeepAlive time.Duration
	// MaxIdle is the maximum number of idle connections per address.
	MaxIdle int
	// Dial opens connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnConnect is called for each new connection, if not nil.
	OnConnect func(address string)
	// Heads bounds the memory of all heads of responses that are larger than usual; nil for no bound.
	Heads *memory.Account
}

// Client sends requests over reused connections. It is safe for concurrent use.
type Client struct {
	options    Options
	mu         sync.Mutex
	idle       map[string][]*conn
	maxIdle    int
	idleLimits idleLimits
}

// New returns a client.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	return &Client{options: o, idle: map[string][]*conn{}, maxIdle: o.MaxIdle, idleLimits: idleLimits{}}
}

// Response is a response whose body is read by the caller. Close ends the
// exchange. If Close is called before the end of the body, it closes the connection, so that
// the runner detects that no client waits for the response any longer.
type Response struct {
	*http.Response
	// head is the memory that the head takes until Close.
	head memory.Usage
	// lastData is when the last data of a body arrived that ended with its connection. lastDataErr is why
	// that is not known.
	lastData    time.Time
	lastDataErr error
	peer        *Peer
	done        func(complete bool)
	once        sync.Once
}

// Do sends a request and returns the head of its response. It fails with *ErrDial
// when nothing was sent and with *ErrExchange otherwise. The end of the context
// closes the connection, also while the body is read.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	k, err := c.acquire(ctx, address)
	if err != nil {
		return nil, &ErrDial{Address: address, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = k.Close() })
	wrote, err := k.write(r)
	if err == nil {
		var res *http.Response
		var surplus int
		if res, surplus, err = k.read(r); err == nil {
			return c.respond(k, res, stop, wrote, surplus), nil
		}
		err = causeOf(err, wrote)
	}
	stop()
	_ = k.Close()
	k.releaseBuffer()
	k.head.Release()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if k.uses > 1 && !errors.Is(err, context.Canceled) {
		c.limitIdleTime(k)
	}
	return nil, &ErrExchange{Address: address, Reused: k.uses > 1, Err: err}
}

// causeOf returns why no response could be read: *ErrStalled if the connection was closed because the runner did
// not read the body, else the error of reading.
func causeOf(reading error, wrote <-chan error) error {
	var stalled *ErrStalled
	select {
	case writing := <-wrote:
		if errors.As(writing, &stalled) {
			return stalled
		}
	default:
	}
	return reading
}

// respond wraps a response, at whose end the connection is closed or kept for reuse.
func (c *Client) respond(k *conn, res *http.Response, stop func() bool, wrote <-chan error, surplus int) *Response {
	out := &Response{Response: res, head: k.head, peer: k.peer}
	k.head = memory.Usage{Account: c.options.Heads}
	out.done = func(complete bool) {
		if complete && out.CloseDelimited() {
			out.lastData, out.lastDataErr = k.lastData()
		}
		alive := stop()
		reusable := complete && alive && surplus == 0 && !res.Close && bodyWritten(wrote) && k.reader.Buffered() == 0
		k.releaseBuffer()
		if reusable {
			c.putIdle(k, keepAlive(res.Header))
			return
		}
		_ = k.Close()
	}
	return out
}

// bodyWritten reports whether the whole body has been written without an error.
func bodyWritten(wrote <-chan error) bool {
	select {
	case err := <-wrote:
		return err == nil
	default:
		return false
	}
}

// Read reads the body. At the end of the body the connection is closed or kept for reuse. Trailers are
// dropped, since nothing forwards them.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err != nil {
		r.Trailer = nil
		r.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// CloseDelimited reports whether the body has neither a length nor chunks and ends with the connection. The
// response to a HEAD has no body, whatever its headers.
func (r *Response) CloseDelimited() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// Peer returns the process that sends the response.
func (r *Response) Peer() *Peer { return r.peer }

// LastData returns when the last data of a body arrived that ended with its connection, by the clock of package
// boottime. It may be called after the end of the body.
func (r *Response) LastData() (time.Time, error) { return r.lastData, r.lastDataErr }

// Close ends the exchange. It must be called, since the head takes memory until then.
func (r *Response) Close() error {
	r.finish(false)
	r.head.Release()
	return nil
}

func (r *Response) finish(complete bool) {
	r.once.Do(func() { r.done(complete) })
}

// write sends a request. The channel receives the result of writing the body.
func (k *conn) write(r *Request) (<-chan error, error) {
	wrote := make(chan error, 1)
	head := appendHead(make([]byte, 0, 1024), r)
	if len(r.Body) <= inlineBody {
		err := k.send(append(head, r.Body...))
		wrote <- err
		return wrote, err
	}
	if err := k.send(head); err != nil {
		return nil, err
	}
	go func() {
		err := k.sendBody(r.Body)
		wrote <- err
		if err != nil && !k.responding.Load() {
			_ = k.Close()
		}
	}()
	return wrote, nil
}

// send writes bytes within writeTimeout.
func (k *conn) send(p []byte) error {
	_ = k.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := k.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &ErrStalled{Address: k.address, After: writeTimeout}
	}
	return err
}

// sendBody writes a long body in chunks of inlineBody bytes.
func (k *conn) sendBody(body []byte) error {
	for chunk := range slices.Chunk(body, inlineBody) {
		if err := k.send(chunk); err != nil {
			return err
		}
	}
	return nil
}

// appendHead appends the request line and the headers to b.
func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || takesBody(r.Method) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

func takesBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// read returns the response to r and the number of responses to earlier requests before it.
func (k *conn) read(r *Request) (*http.Response, int, error) {
	req := &http.Request{Method: r.Method}
	for surplus, interim := 0, 0; ; {
		if err := k.awaitHead(); err != nil {
			return nil, surplus, err
		}
		res, err := http.ReadResponse(k.reader, req)
		if err != nil {
			return nil, surplus, &ErrHead{Err: err}
		}
		if res.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim || res.StatusCode == http.StatusSwitchingProtocols {
				return nil, surplus, &ErrSurplus{Responses: interim}
			}
			continue
		}
		if r.Matches == nil || r.Matches(res, k.uses > 1) {
			k.responding.Store(true)
			return res, surplus, nil
		}
		if surplus++; surplus > maxSurplus || res.Close {
			return nil, surplus, &ErrSurplus{Responses: surplus}
		}
		if err := skipBody(res.Body); err != nil {
			return nil, surplus, err
		}
	}
}

// skipBody reads the body of a surplus response. It fails with *memory.ErrTooLarge if the body exceeds
// maxSurplusBytes.
func skipBody(body io.Reader) error {
	_, err := io.Copy(io.Discard, memory.Limit(body, "body of a surplus response", maxSurplusBytes))
	return err
}
