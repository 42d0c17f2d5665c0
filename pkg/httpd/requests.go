package httpd

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/unread"
)

const (
	// bodyBuffer is the receive buffer of a connection whose client sends a large body, in bytes. It carries 1 MB/s
	// over 100 ms.
	bodyBuffer = 64 << 10
	// maxUnwanted is the largest body, in bytes, that is read although its request is refused, so that the
	// connection can be kept.
	maxUnwanted = 64 << 10
	// unwantedTime is how long the response to a refused request waits for the rest of its body.
	unwantedTime = 50 * time.Millisecond
	// lingerTime is how long a connection is read after the response to a request whose body was not read: a
	// connection that is closed with unread data is reset, and its client may lose the response.
	lingerTime = 500 * time.Millisecond
	// maxLinger is the number of bytes that are discarded of a connection after its last response: what a client has
	// left to send of a body of usual size, also in small chunks.
	maxLinger = 8 << 20
	// maxLingering is the number of connections that are read after their last response at a time.
	maxLingering = 32
	// discardBuffer is the size of the buffer for discarding, in bytes.
	discardBuffer = 16 << 10
)

type connKey struct{}

// withConn implements http.Server.ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOfRequest returns the connection of a request; nil for a server without bounds.
func connOfRequest(r *http.Request) *boundedConn {
	b, _ := r.Context().Value(connKey{}).(*boundedConn)
	return b
}

// trackRequests wraps a handler and records on the connections which requests have arrived whole.
func trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, body := connOfRequest(r), r.Body
		if b == nil {
			h.ServeHTTP(w, r)
			return
		}
		if err := b.beginRequest(r); err != nil {
			b.listener.bounds.Rejected(b.RemoteAddr(), err)
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", noMemoryRetryAfter)
			w.WriteHeader(http.StatusServiceUnavailable)
		} else {
			h.ServeHTTP(w, r)
		}
		// net/http detects by its own body that a part of it was not read. While it waits for that part, nothing
		// needs the header.
		r.Body, r.Header = body, nil
		b.limitRest()
	})
}

// beginRequest records that the head of a request has arrived. Lines that arrived together with an earlier request
// are charged now; it fails with *memory.ErrFull if there is no memory for them.
func (b *boundedConn) beginRequest(r *http.Request) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rejected.Load() {
		panic(http.ErrAbortHandler) // The connection was evicted, and its client counts the request as unread.
	}
	b.arriving = false
	b.ahead = b.ahead || b.size == 0 || r.ContentLength >= 0 && int64(b.behind) > r.ContentLength
	if b.listener.bounds.Times != nil {
		_ = b.Conn.SetReadDeadline(time.Time{})
	}
	if b.arrived = r.Body == http.NoBody; !b.arrived {
		r.Body = &arrivingBody{ReadCloser: r.Body, conn: b}
	}
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	if lines <= max(b.lines, OrdinaryLines) {
		return nil
	}
	return b.head.Resize(b.head.Size() + int64(lines-b.lines)*memory.HeadLineCost)
}

// limitRest limits the time for the rest of a body that the handler did not read.
func (b *boundedConn) limitRest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.arrived {
		_ = b.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// arrivingBody records the end of a body.
type arrivingBody struct {
	io.ReadCloser
	conn *boundedConn
}

// Read implements io.Reader.
func (a *arrivingBody) Read(p []byte) (int, error) {
	n, err := a.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		a.conn.endBody()
	}
	return n, err
}

// endBody records that a request has arrived whole.
func (b *boundedConn) endBody() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived = true
	b.accepted = b.accepted || b.admitted
}

// AdmitHead reports that a handler has charged the head of a request to an account of its own.
func AdmitHead(r *http.Request) {
	if b := connOfRequest(r); b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.head.Release()
	}
}

// Admit reports that a handler admits a request if its body arrives. The connection of a large body gets a larger
// receive buffer, as long as there is memory for it. It fails with *ErrEvicted if the connection was evicted: the
// request must not run, since its client may send it again.
func Admit(r *http.Request) error {
	b := connOfRequest(r)
	if b == nil {
		return nil
	}
	larger, err := b.admit(r)
	if err != nil || !larger {
		return err
	}
	if err := unread.Raise(b.Conn, bodyBuffer); err != nil {
		b.listener.reportFailure(err)
	}
	return nil
}

// admit records that a request is admitted, and reports whether its connection is to get a larger receive buffer. It
// fails with *ErrEvicted.
func (b *boundedConn) admit(r *http.Request) (larger bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.evicted != nil {
		return false, b.evicted
	}
	b.admitted = true
	b.accepted = b.accepted || b.arrived
	windows := b.listener.bounds.Windows
	large := !b.arrived && (r.ContentLength < 0 || r.ContentLength > unread.Buffer)
	if !large || windows == nil || b.closed || b.window.Size() > 0 {
		return false, nil
	}
	b.window.Account = windows
	return b.window.Grow(unread.Size(bodyBuffer)) == nil, nil
}

// SentAhead reports whether a client sends requests on the connection before it has the responses to earlier ones.
func SentAhead(r *http.Request) bool {
	b := connOfRequest(r)
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ahead
}

// RefuseBody prepares the response to a request whose body the handler does not read. A short body that arrives soon
// is discarded. For any other one the connection ends with the response, which is not delayed by it.
func RefuseBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == http.NoBody {
		return
	}
	control := http.NewResponseController(w)
	arrived := false
	// A client that waits for 100 Continue sends its body only if something reads it.
	if r.ContentLength <= maxUnwanted && r.Header.Get("Expect") == "" {
		_ = control.SetReadDeadline(time.Now().Add(unwantedTime))
		_, err := io.CopyN(io.Discard, r.Body, maxUnwanted+1)
		arrived = errors.Is(err, io.EOF)
	}
	if arrived {
		_ = control.SetReadDeadline(time.Time{})
		return
	}
	// Without bounds, net/http would wait for a part of the rest.
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
	w.Header().Set("Connection", "close")
}

// CloseWrite closes the writing side, as net/http asks for before it closes a connection whose client may still be
// sending, and discards what arrives for a while. Only some connections at a time are read.
func (b *boundedConn) CloseWrite() error {
	c, ok := b.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	if err := c.CloseWrite(); err != nil {
		return err
	}
	if b.listener.lingering.Add(1) <= maxLingering {
		b.discard()
	}
	b.listener.lingering.Add(-1)
	return nil
}

// discard reads and discards what arrives within lingerTime.
func (b *boundedConn) discard() {
	_ = b.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	buffer := make([]byte, discardBuffer)
	for left := maxLinger; left > 0; {
		n, err := b.Conn.Read(buffer)
		if err != nil {
			return
		}
		left -= n
	}
}
