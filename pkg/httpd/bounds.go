package httpd

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/unsent"
)

const (
	// MaxHead is the largest head of a request, in bytes: four times what operators usually allow.
	MaxHead = 64 << 10
	// OrdinaryHead and OrdinaryLines are the size in bytes, and the number of lines, up to which a head is
	// part of what its connection takes. Only larger ones need a reservation, so that ordinary requests
	// don't fail because other heads are large.
	OrdinaryHead  = 2 << 10
	OrdinaryLines = 32
	// ConnectionCost is the memory that a connection takes with a request whose head is of ordinary size,
	// in bytes: buffers and goroutines of 24 KiB, and three maps of the head.
	ConnectionCost = 40 << 10
)

// rejectTimeout limits the time to send a response to a client whose head is rejected.
const rejectTimeout = time.Second

const (
	// noMemoryRetryAfter is the Retry-After of a request that found no memory, in seconds.
	noMemoryRetryAfter = "0.05"
	// tooLargeResponse is sent to a client whose head exceeds a bound.
	tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// noMemoryResponse is sent to a client whose head is allowed but finds no memory. Its request has not run,
	// and another gateway may have memory.
	noMemoryResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + noMemoryRetryAfter + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Bounds limits the memory that the connections of a server take. The bodies of requests are left to
// the handler.
type Bounds struct {
	// Connections is the largest number of open connections. New ones beyond it are closed unread, so
	// that their clients connect to another gateway.
	Connections int64
	// Heads bounds the memory of arriving heads that are larger than usual; nil for no bound.
	Heads *memory.Account
	// Rejected is called with *memory.ErrTooLarge or *memory.ErrFull for each connection that was
	// closed for a bound.
	Rejected func(remote net.Addr, err error)
	// Failed is called with *unsent.ErrLimit or *unread.ErrLimit once if the bytes that the kernel keeps for
	// connections can't be bounded.
	Failed func(err error)
	// Windows bounds the receive buffers of connections that are larger than usual, see Admit.
	Windows *memory.Account
}

// Server returns a server for a handler whose connections stay within the bounds, if it serves on the
// result of Listener.
func (b *Bounds) Server(h http.Handler) *http.Server {
	return &http.Server{Handler: trackRequests(h), MaxHeaderBytes: MaxHead, ConnState: connState, ConnContext: withConn}
}

// Listener wraps the listener of a server. Its connections have small receive buffers if unread.Limit was called.
func (b *Bounds) Listener(l net.Listener) net.Listener {
	return &boundedListener{Listener: l, bounds: b}
}

type boundedListener struct {
	net.Listener
	bounds *Bounds
	open   atomic.Int64
	failed sync.Once
	// lingering is the number of connections that are read although their requests are over.
	lingering atomic.Int32
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.open.Add(1)
		if open <= l.bounds.Connections {
			if err := unsent.Limit(c); err != nil {
				l.reportFailure(err)
			}
			return &boundedConn{Conn: c, listener: l, arriving: true, head: memory.Usage{Account: l.bounds.Heads}}, nil
		}
		l.open.Add(-1)
		l.bounds.Rejected(c.RemoteAddr(), memory.TooLarge("open connections", open, l.bounds.Connections))
		_ = c.Close()
	}
}

// reportFailure reports the first failure to bound what the kernel keeps.
func (l *boundedListener) reportFailure(err error) {
	l.failed.Do(func() {
		if l.bounds.Failed != nil {
			l.bounds.Failed(err)
		}
	})
}

// boundedConn bounds the heads of the requests that arrive on a connection.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
	rejected atomic.Bool

	mu sync.Mutex
	// arriving is set while a head arrives. size and lines are what has arrived of it, and head the
	// memory that is charged for it. begun is set after its first line that is not empty, inLine if the
	// current line is not empty.
	arriving, begun, inLine bool
	size, lines             int
	head                    memory.Usage
	// arrived is set while a request is served that has arrived whole.
	arrived bool
	// window is the memory that is charged for a receive buffer that is larger than usual.
	window memory.Usage
	closed bool
}

// connState prepares a connection for the head of its next request.
func connState(c net.Conn, s http.ConnState) {
	if b, ok := c.(*boundedConn); ok && s == http.StateIdle {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.arriving, b.begun, b.inLine, b.size, b.lines = true, false, false, 0, 0
		b.arrived = false
		b.head.Release()
	}
}

// Read implements net.Conn. It ends the connection if the head of a request exceeds a bound.
func (b *boundedConn) Read(p []byte) (int, error) {
	if b.rejected.Load() {
		return 0, io.EOF
	}
	n, err := b.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if rejected := b.charge(p[:n]); rejected != nil {
		b.rejected.Store(true)
		b.listener.bounds.Rejected(b.RemoteAddr(), rejected)
		_ = b.SetWriteDeadline(time.Now().Add(rejectTimeout))
		_, _ = io.WriteString(b.Conn, responseTo(rejected))
		return 0, io.EOF
	}
	return n, err
}

// responseTo returns the response to a request whose head is rejected.
func responseTo(rejected error) string {
	var full *memory.ErrFull
	if errors.As(rejected, &full) {
		return noMemoryResponse
	}
	return tooLargeResponse
}

// charge charges arrived bytes to the head that they belong to.
func (b *boundedConn) charge(p []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.arriving {
		return nil
	}
	for len(p) > 0 && b.arriving {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			b.size += len(p)
			b.inLine = b.inLine || !isCR(p)
			break
		}
		b.lines++
		b.size += end + 1
		empty := !b.inLine && (end == 0 || isCR(p[:end]))
		// Empty lines before a request don't end its head.
		b.arriving = !empty || !b.begun
		b.begun, b.inLine = b.begun || !empty, false
		p = p[end+1:]
	}
	return b.reserve()
}

// isCR reports whether a part of a line is only the end of a line without its line feed.
func isCR(p []byte) bool { return len(p) == 1 && p[0] == '\r' }

// reserve checks the bounds of the head that arrives. The caller holds the lock.
func (b *boundedConn) reserve() error {
	switch {
	case b.size > MaxHead:
		return memory.TooLarge("head of a request", int64(b.size), MaxHead)
	case b.size <= OrdinaryHead && b.lines <= OrdinaryLines:
		return nil
	}
	// The text is held twice while a long line grows.
	return b.head.Resize(int64(2*b.size + b.lines*memory.HeadLineCost))
}

// Close implements net.Conn.
func (b *boundedConn) Close() error {
	b.once.Do(func() {
		b.listener.open.Add(-1)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.arriving, b.closed = false, true
		b.head.Release()
		b.window.Release()
	})
	return b.Conn.Close()
}
