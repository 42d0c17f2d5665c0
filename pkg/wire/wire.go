// Package wire implements the inner protocol, which hopwell's processes use among
// themselves: drpc over TCP, with pooled connections. The messages are in package
// wirepb.
package wire

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// MaxMessage limits one message of the inner protocol, in bytes. The largest
	// one carries a configuration document or a request's prompt.
	MaxMessage = 8 << 20
	// dialTimeout limits the time for opening a connection.
	dialTimeout = 800 * time.Millisecond
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 2 * time.Minute
	// idlePerPeer limits the unused connections that are kept per address.
	idlePerPeer = 64
)

// Dial opens a connection to the inner address of a process.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// TCP is the Dial that opens TCP connections.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// ErrPeer reports that a process could not be reached or that the connection to it
// failed.
type ErrPeer struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ErrPeer) Error() string {
	return fmt.Sprintf("peer failed: address=%s cause=%v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ErrPeer) Unwrap() error { return e.Err }

func options() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage},
		SoftCancel: true,
	}
}

// Pool keeps connections to other processes. drpc carries one stream at a time over
// a connection, so every open stream has a connection of its own.
type Pool struct {
	dial  Dial
	conns *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewPool returns a pool that opens connections with dial.
func NewPool(dial Dial) *Pool {
	return &Pool{dial: dial, conns: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: idlePerPeer})}
}

// Conn returns a connection to an address, which is opened at its first call.
func (p *Pool) Conn(address string) drpc.Conn {
	return p.conns.Get(context.Background(), address, p.open)
}

func (p *Pool) open(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, &ErrPeer{Address: address, Err: err}
	}
	return drpcconn.NewWithOptions(c, drpcconn.Options{Manager: options()}), nil
}

// Close closes all unused connections.
func (p *Pool) Close() error { return p.conns.Close() }

// Server serves the inner protocol.
type Server struct {
	mux *drpcmux.Mux
	srv *drpcserver.Server
}

// NewServer returns a server of the peer service and, if runner is not nil, of the
// runner service of a sidecar.
func NewServer(peer wirepb.DRPCPeerServer, runner wirepb.DRPCRunnerServer) (*Server, error) {
	mux := drpcmux.New()
	if err := wirepb.DRPCRegisterPeer(mux, peer); err != nil {
		return nil, err
	}
	if runner != nil {
		if err := wirepb.DRPCRegisterRunner(mux, runner); err != nil {
			return nil, err
		}
	}
	return &Server{mux: mux, srv: drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: options()})}, nil
}

// Serve accepts connections until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.srv.Serve(ctx, l)
}

// ServeConn serves one connection until it or the context ends.
func (s *Server) ServeConn(ctx context.Context, c net.Conn) error {
	return s.srv.ServeOne(ctx, c)
}
