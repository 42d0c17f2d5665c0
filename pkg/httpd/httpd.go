// Package httpd serves HTTP: with nbio's nbhttp, and with net/http where callers
// send bodies of any size (ListenCallers).
//
// Beyond nbhttp it ends the context of a request as soon as its caller's
// connection closes.
// nbhttp tells a handler of a closed connection only after the handler has
// returned, since it queues the notice behind it. A caller that waits for its
// first token sends and gets nothing, so write errors don't show its leaving
// either. The server therefore looks at the connections of all running
// requests every sweepEvery; docs/DESIGN.md gives the ways that were weighed.
package httpd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/hopwell/hopwell/pkg/logs"
)

const (
	// sweepEvery is the time between two looks at the connections.
	sweepEvery = 25 * time.Millisecond
	// keepalive is how long a connection may take to send its next request.
	keepalive = 75 * time.Second
	// maxWriteBuffer is how much may wait for a caller that does not read; its
	// connection is closed above that.
	maxWriteBuffer = 4 << 20
	// maxHandlers bounds the requests that run at once.
	maxHandlers = 16384
)

// ErrListen reports that an address can't be served.
type ErrListen struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ErrListen) Error() string {
	return fmt.Sprintf("can't listen: address=%s cause=%v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ErrListen) Unwrap() error { return e.Err }

// Server is one listening HTTP server.
type Server struct {
	listener net.Listener
	once     sync.Once
	stop     func()
}

// Addr returns the address that is served.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops serving. Running requests are cut off.
func (s *Server) Close() { s.once.Do(s.stop) }

// sweeper ends the contexts of requests whose connection has closed.
type sweeper struct {
	mu       sync.Mutex
	open     map[*nbio.Conn]context.CancelFunc
	sweeping bool
}

// Listen serves a handler on an address. Bodies above maxBody bytes end their
// connection; handlers answer smaller limits by themselves.
func Listen(address string, h http.Handler, maxBody int) (*Server, error) {
	logs.AdoptLibrary()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ErrListen{Address: address, Err: err}
	}
	s := &sweeper{open: map[*nbio.Conn]context.CancelFunc{}}
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network:                "tcp",
		Addrs:                  []string{l.Addr().String()},
		Listen:                 func(string, string) (net.Listener, error) { return l, nil },
		Handler:                s.watched(h),
		MaxHTTPBodySize:        maxBody,
		ReadLimit:              maxBody,
		KeepaliveTime:          keepalive,
		MaxWriteBufferSize:     maxWriteBuffer,
		MessageHandlerPoolSize: maxHandlers,
	})
	orderOpens(engine)
	if err := engine.Start(); err != nil {
		_ = l.Close()
		return nil, &ErrListen{Address: address, Err: err}
	}
	return &Server{listener: l, stop: engine.Stop}, nil
}

// orderOpens makes the order between the opening of a connection and its first
// data one that Go's memory model knows. nbio has it from epoll alone, which the
// race detector does not see.
func orderOpens(engine *nbhttp.Engine) {
	pass := func(c *nbio.Conn) {
		c.Lock()
		defer c.Unlock()
	}
	engine.Engine.OnOpen(pass)
	engine.Engine.OnData(func(c *nbio.Conn, data []byte) {
		pass(c)
		c.DataHandler()(c, data)
	})
}

// watched gives a handler's requests a context that ends with the connection.
func (s *sweeper) watched(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		if c := connOf(w); c != nil {
			s.watch(c, cancel)
			defer s.unwatch(c)
		}
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

// connOf returns the connection below a response, nil for none.
func connOf(w http.ResponseWriter) *nbio.Conn {
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil {
		return nil
	}
	switch c := res.Parser.Conn.(type) {
	case *nbio.Conn:
		return c
	case *nbhttp.Conn:
		inner, _ := c.Conn.(*nbio.Conn)
		return inner
	}
	return nil
}

func (s *sweeper) watch(c *nbio.Conn, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = cancel
	if !s.sweeping {
		s.sweeping = true
		time.AfterFunc(sweepEvery, s.sweep)
	}
}

func (s *sweeper) unwatch(c *nbio.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// sweep ends the contexts of requests whose connection is closed, and comes back
// as long as there are requests: an idle server has no timer.
func (s *sweeper) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, cancel := range s.open {
		if closed, _ := c.IsClosed(); closed {
			cancel()
		}
	}
	s.sweeping = len(s.open) > 0
	if s.sweeping {
		time.AfterFunc(sweepEvery, s.sweep)
	}
}
