package httpd

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/memory"
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

// boundedConn bounds the heads of the requests that arrive on a connection, and records how far the current one is.
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
	// resting is set between two requests, until the first byte of the next one.
	resting bool
	// arrived is set while a request is served that has arrived whole, admitted once its handler has admitted it.
	// accepted is set once a request was both.
	arrived, admitted, accepted bool
	// ahead is set once a request had arrived, or begun to, before the response to the one before it was written.
	// behind is the number of bytes that arrived together with the end of the last head.
	ahead  bool
	behind int
	// since is when the connection came to rest or the request began to arrive, received the number of bytes that
	// arrived since then.
	since    time.Time
	received int64
	// window is the memory that is charged for a receive buffer that is larger than usual.
	window memory.Usage
	closed bool
	// evicted is why the connection was evicted; nil if it was not.
	evicted *ErrEvicted
}

// connState prepares a connection for the head of its next request.
func connState(c net.Conn, s http.ConnState) {
	if b, ok := c.(*boundedConn); ok && s == http.StateIdle {
		b.awaitRequest()
		// Requests that a client sent ahead must not keep others from the processor for a whole time slice.
		runtime.Gosched()
	}
}

// awaitRequest records that the connection waits for its next request.
func (b *boundedConn) awaitRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arriving, b.begun, b.inLine, b.size, b.lines, b.behind = true, false, false, 0, 0, 0
	b.resting, b.arrived, b.admitted, b.since, b.received = true, false, false, time.Now(), 0
	b.head.Release()
}

// Read implements net.Conn. It ends the connection if the head of a request exceeds a bound.
func (b *boundedConn) Read(p []byte) (int, error) {
	if b.rejected.Load() {
		return 0, io.EOF
	}
	b.limitTime()
	n, err := b.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	body, rejected := b.charge(p[:n])
	if body {
		// A client that sends without a pause must not keep others from the processor for a whole time slice.
		runtime.Gosched()
	}
	if rejected != nil {
		b.rejected.Store(true)
		b.listener.bounds.Rejected(b.RemoteAddr(), rejected)
		_ = b.SetWriteDeadline(time.Now().Add(rejectTimeout))
		_, _ = io.WriteString(b.Conn, responseTo(rejected))
		return 0, io.EOF
	}
	return n, err
}

// limitTime sets the time by which the next bytes of a head have to arrive.
func (b *boundedConn) limitTime() {
	times := b.listener.bounds.Times
	if times == nil {
		return
	}
	b.mu.Lock()
	arriving, resting, since := b.arriving, b.resting, b.since
	b.mu.Unlock()
	if !arriving {
		return
	}
	head, idle := times()
	if resting {
		_ = b.Conn.SetReadDeadline(since.Add(idle))
		return
	}
	_ = b.Conn.SetReadDeadline(since.Add(head))
}

// responseTo returns the response to a request whose head is rejected.
func responseTo(rejected error) string {
	var full *memory.ErrFull
	if errors.As(rejected, &full) {
		return noMemoryResponse
	}
	return tooLargeResponse
}

// charge charges arrived bytes to the head that they belong to. It reports whether they belong to a body.
func (b *boundedConn) charge(p []byte) (body bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.arriving && b.resting {
		b.resting, b.since = false, time.Now()
	}
	b.received += int64(len(p))
	if !b.arriving {
		return true, nil
	}
	for len(p) > 0 && b.arriving {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			b.size += len(p)
			b.inLine = b.inLine || !isCR(p)
			p = nil
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
	b.behind = len(p)
	return false, b.reserve()
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
		b.listener.remove(b)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.arriving, b.closed = false, true
		b.head.Release()
		b.window.Release()
	})
	return b.Conn.Close()
}
