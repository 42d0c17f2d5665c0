// Package fleettest connects real gateways and sidecars with fakes over an
// in-memory network, for tests in virtual time. It runs inside testing/synctest
// bubbles, where minutes of faults take milliseconds and the verdict is
// deterministic.
package fleettest

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/wire"
)

// errNetwork is the error of a connection that a fault broke.
type errNetwork struct {
	What string
}

// Error implements error.
func (e *errNetwork) Error() string { return fmt.Sprintf("network fault: %s", e.What) }

// Network carries connections between processes, by address. It has the faults
// of a real network: silent loss of connectivity, resets and delay.
type Network struct {
	// Delay returns the one-way delay between two addresses.
	Delay func(from, to string) time.Duration

	mu      sync.Mutex
	servers map[string]serverEnd
	conns   map[*conn]bool
	frozen  map[string]chan struct{}
}

type serverEnd struct {
	server *wire.Server
	ctx    context.Context
}

// NewNetwork returns a network without servers.
func NewNetwork() *Network {
	return &Network{
		Delay:   func(string, string) time.Duration { return 0 },
		servers: map[string]serverEnd{}, conns: map[*conn]bool{}, frozen: map[string]chan struct{}{},
	}
}

// Serve accepts connections to an address until the context ends.
func (n *Network) Serve(ctx context.Context, address string, s *wire.Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = serverEnd{s, ctx}
}

// Dialer returns the wire.Dial function of the process at an address.
func (n *Network) Dialer(from string) wire.Dial {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if err := n.reach(ctx, from, to); err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		end, ok := n.servers[to]
		if !ok || end.ctx.Err() != nil {
			return nil, &errNetwork{What: "refused " + to}
		}
		a, b := n.pair(from, to)
		go func() {
			_ = end.server.ServeConn(end.ctx, b)
			_ = b.Close()
		}()
		return a, nil
	}
}

// reach waits while traffic between two addresses is frozen, as a TCP connect to
// a host that drops all packets does.
func (n *Network) reach(ctx context.Context, from, to string) error {
	for {
		freezeEnd := n.freezeEnd(from, to)
		if freezeEnd == nil {
			return nil
		}
		select {
		case <-freezeEnd:
		case <-ctx.Done():
			return &errNetwork{What: "no response from " + to}
		}
	}
}

// freezeEnd returns a channel that is closed at the end of the freeze that holds
// up traffic from one address to another, or nil if the traffic is not frozen.
func (n *Network) freezeEnd(from, to string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.frozen[from]; ch != nil {
		return ch
	}
	if ch := n.frozen[to]; ch != nil {
		return ch
	}
	return n.frozen[from+">"+to]
}

// Freeze holds up all traffic of an address, or of one direction given as
// "from>to", until thaw is called. The processes receive no error.
func (n *Network) Freeze(target string) (thaw func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ch := make(chan struct{})
	n.frozen[target] = ch
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.frozen[target] == ch {
			delete(n.frozen, target)
			close(ch)
		}
	}
}

// Reset closes all connections of an address, as the end of its process does.
func (n *Network) Reset(address string) {
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if c.local == address || c.remote == address {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// pair returns the two ends of a new connection. The caller holds the lock.
func (n *Network) pair(from, to string) (a, b *conn) {
	toServer, toClient := newHalf(), newHalf()
	a = &conn{n: n, local: from, remote: to, in: toClient, out: toServer}
	b = &conn{n: n, local: to, remote: from, in: toServer, out: toClient}
	n.conns[a], n.conns[b] = true, true
	return a, b
}

// half is one direction of a connection.
type half struct {
	mu     sync.Mutex
	queue  []packet
	closed bool
	wake   chan struct{}
}

type packet struct {
	due  time.Time
	data []byte
}

func newHalf() *half { return &half{wake: make(chan struct{}, 1)} }

func (h *half) put(p packet) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return io.ErrClosedPipe
	}
	h.queue = append(h.queue, p)
	h.signal()
	return nil
}

func (h *half) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.signal()
}

func (h *half) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// take copies data whose delay has passed into p. If there is none, it returns
// the time until the next data is due, or a negative wait if the queue is empty
// and the caller has to wait for wake.
func (h *half) take(p []byte) (n int, wait time.Duration, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return 0, 0, io.EOF
	}
	if len(h.queue) == 0 {
		return 0, -1, nil
	}
	if wait := time.Until(h.queue[0].due); wait > 0 {
		return 0, wait, nil
	}
	n = copy(p, h.queue[0].data)
	h.queue[0].data = h.queue[0].data[n:]
	if len(h.queue[0].data) == 0 {
		h.queue = h.queue[1:]
	}
	return n, 0, nil
}

// conn is one end of a connection. Writes never block, as with large buffers.
type conn struct {
	n             *Network
	local, remote string
	in, out       *half
	once          sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if freezeEnd := c.n.freezeEnd(c.remote, c.local); freezeEnd != nil {
			select {
			case <-freezeEnd:
			case <-c.in.wake:
				if c.in.isClosed() {
					return 0, io.EOF
				}
			}
			continue
		}
		n, wait, err := c.in.take(p)
		if n > 0 || err != nil {
			return n, err
		}
		c.sleep(wait)
	}
}

func (h *half) isClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

func (c *conn) sleep(wait time.Duration) {
	if wait < 0 {
		<-c.in.wake
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.in.wake:
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	due := time.Now().Add(c.n.Delay(c.local, c.remote))
	if err := c.out.put(packet{due, append([]byte(nil), p...)}); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.in.close()
		c.out.close()
		c.n.mu.Lock()
		defer c.n.mu.Unlock()
		delete(c.n.conns, c)
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

// SetDeadline implements net.Conn; drpc sets none.
func (c *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn; drpc sets none.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn; drpc sets none.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }
