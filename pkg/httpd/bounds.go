package httpd

import (
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

// Bounds limits the memory that the connections of a server take. The bodies of requests are left to
// the handler.
type Bounds struct {
	// Connections is the largest number of open connections. A new one beyond it takes the place of the most
	// overdue one, see boundedConn.overdue. If all are busy, the new one is closed unread, so that its client
	// connects to another gateway.
	Connections int
	// Heads bounds the memory of arriving heads that are larger than usual; nil for no bound.
	Heads *memory.Account
	// Rejected is called with *memory.ErrTooLarge or *memory.ErrFull for each connection that was
	// closed for a bound.
	Rejected func(remote net.Addr, err error)
	// Failed is called with *unsent.ErrLimit or *unread.ErrLimit once if the bytes that the kernel keeps for
	// connections can't be bounded.
	Failed func(err error)
	// Times returns how long a client may take to send the head of a request, and how long a connection may rest
	// between two requests. It is nil if the server's own limits apply.
	Times func() (head, idle time.Duration)
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
	return &boundedListener{Listener: l, bounds: b, open: map[*boundedConn]struct{}{}}
}

type boundedListener struct {
	net.Listener
	bounds *Bounds
	failed sync.Once
	// lingering is the number of connections that are read although their requests are over.
	lingering atomic.Int32

	mu   sync.Mutex
	open map[*boundedConn]struct{}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if err := unsent.Limit(c); err != nil {
			l.reportFailure(err)
		}
		now := time.Now()
		b := &boundedConn{Conn: c, listener: l, arriving: true, since: now, head: memory.Usage{Account: l.bounds.Heads}}
		evicted, reason, admitted := l.admit(b, now)
		if reason != nil {
			l.bounds.Rejected(evicted.RemoteAddr(), reason)
			evicted.end()
		}
		if admitted {
			return b, nil
		}
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

// admit adds a connection. If there are too many, it returns the one to end, and why: one that waits for a request,
// or the new one, which is then not admitted.
func (l *boundedListener) admit(b *boundedConn, now time.Time) (end *boundedConn, reason error, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) < l.bounds.Connections {
		l.open[b] = struct{}{}
		return nil, nil, true
	}
	for victim := l.mostOverdue(now); victim != nil; victim = l.mostOverdue(now) {
		if reason := victim.evict(now); reason != nil {
			delete(l.open, victim)
			l.open[b] = struct{}{}
			return victim, reason, true
		}
	}
	return b, memory.TooLarge("open connections", int64(len(l.open)+1), int64(l.bounds.Connections)), false
}

// remove removes a connection.
func (l *boundedListener) remove(b *boundedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, b)
}
