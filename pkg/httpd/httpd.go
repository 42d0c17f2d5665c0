// Package httpd serves HTTP: with nbio's nbhttp, or with net/http for clients that
// send bodies of any size (ListenCallers).
//
// In addition to what nbhttp does, it cancels the context of a request as soon as its
// client's connection closes. nbhttp reports a closed connection only after the handler
// has returned, because it queues the report behind the handler. Write errors don't
// reveal a disconnect either while a client waits for its first token, since no data is
// sent in either direction. The server therefore checks the connections of all running
// requests every sweepInterval; docs/DESIGN.md lists the alternatives that were
// considered.
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
	// sweepInterval is the time between two checks of the connections.
	sweepInterval = 25 * time.Millisecond
	// idleTimeout limits the time that a connection may wait for its next request.
	idleTimeout = 75 * time.Second
	// maxWriteBuffer limits the data buffered for a client that does not read, in
	// bytes per connection. Above it the connection is closed.
	maxWriteBuffer = 4 << 20
	// maxHandlers limits the requests that a server handles concurrently.
	maxHandlers = 16384
)

// ErrListen reports that the server can't listen on an address.
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

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server and aborts running requests.
func (s *Server) Close() { s.once.Do(s.stop) }

// sweeper cancels the contexts of requests whose connections have closed.
type sweeper struct {
	mu       sync.Mutex
	cancels  map[*nbio.Conn]context.CancelFunc
	sweeping bool
}

// Listen serves a handler on an address. A request body above maxBody bytes closes its
// connection; handlers enforce smaller limits themselves.
func Listen(address string, h http.Handler, maxBody int) (*Server, error) {
	logs.AdoptLibrary()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ErrListen{Address: address, Err: err}
	}
	s := &sweeper{cancels: map[*nbio.Conn]context.CancelFunc{}}
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network:                "tcp",
		Addrs:                  []string{l.Addr().String()},
		Listen:                 func(string, string) (net.Listener, error) { return l, nil },
		Handler:                s.watchRequests(h),
		MaxHTTPBodySize:        maxBody,
		ReadLimit:              maxBody,
		KeepaliveTime:          idleTimeout,
		MaxWriteBufferSize:     maxWriteBuffer,
		MessageHandlerPoolSize: maxHandlers,
	})
	synchronizeOpen(engine)
	if err := engine.Start(); err != nil {
		_ = l.Close()
		return nil, &ErrListen{Address: address, Err: err}
	}
	return &Server{listener: l, stop: engine.Stop}, nil
}

// synchronizeOpen makes the opening of a connection happen before the handling of its
// first data, in the sense of Go's memory model. nbio relies on the order of epoll
// alone, which the race detector does not see.
func synchronizeOpen(engine *nbhttp.Engine) {
	synchronize := func(c *nbio.Conn) {
		c.Lock()
		defer c.Unlock()
	}
	engine.Engine.OnOpen(synchronize)
	engine.Engine.OnData(func(c *nbio.Conn, data []byte) {
		synchronize(c)
		c.DataHandler()(c, data)
	})
}

// watchRequests wraps a handler and cancels the context of each request when its
// connection closes.
func (s *sweeper) watchRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		if c := connOf(w); c != nil {
			s.add(c, cancel)
			defer s.remove(c)
		}
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

// connOf returns the connection of a response, or nil if it has none.
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

func (s *sweeper) add(c *nbio.Conn, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[c] = cancel
	if !s.sweeping {
		s.sweeping = true
		time.AfterFunc(sweepInterval, s.sweep)
	}
}

func (s *sweeper) remove(c *nbio.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, c)
}

// sweep cancels the contexts of requests whose connections are closed. It reschedules
// itself only while requests are running, so that an idle server has no timer.
func (s *sweeper) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, cancel := range s.cancels {
		if closed, _ := c.IsClosed(); closed {
			cancel()
		}
	}
	s.sweeping = len(s.cancels) > 0
	if s.sweeping {
		time.AfterFunc(sweepInterval, s.sweep)
	}
}
