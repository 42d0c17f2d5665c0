package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/duplex"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/unsent"
)

// conn is one connection to a runner.
type conn struct {
	net.Conn
	address string
	peer    *Peer
	reader  *bufio.Reader
	// buffer is what an enlarged read buffer takes of Options.Heads, head what the parsed head of the
	// current response takes.
	buffer, head memory.Usage
	uses         int
	// responding is set when the head of the response to the current request has arrived.
	responding atomic.Bool
	// announced is the keep-alive timeout that the runner last sent on this connection, negative
	// if it sent none. Some runners send it in the first response only.
	announced time.Duration
	// since is the time at which the connection became idle. It must not be reused from the
	// time until.
	until, since time.Time
	// idleFor is how long the connection was idle before its last use.
	idleFor time.Duration
}

// acquire returns an idle connection after checking that it is open, or a new one.
func (c *Client) acquire(ctx context.Context, address string) (*conn, error) {
	for {
		k := c.popIdle(address)
		if k == nil {
			break
		}
		if time.Now().Before(k.until) && k.reusable() {
			k.uses++
			k.responding.Store(false)
			k.idleFor = time.Since(k.since)
			setKeepAlive(k.Conn, true)
			return k, nil
		}
		_ = k.Close()
	}
	return c.connect(ctx, address)
}

// connect opens a connection.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ConnectTimeout)
	defer cancel()
	raw, err := c.options.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.options.OnConnect != nil {
		c.options.OnConnect(address)
	}
	if err := errors.Join(setTimeouts(raw), unsent.Limit(raw)); err != nil {
		_ = raw.Close()
		return nil, err
	}
	both := duplex.New(raw)
	return &conn{Conn: both, address: address, peer: &Peer{}, reader: bufio.NewReaderSize(both, readBuffer), buffer: memory.Usage{Account: c.options.Heads}, head: memory.Usage{Account: c.options.Heads}, uses: 1, announced: -1}, nil
}

// openTime is how long Reachable watches a new connection. An instance that is ending may accept one and
// close it at once.
const openTime = 50 * time.Millisecond

// Reachable returns nil if an instance accepts a new connection and keeps it open. It sends nothing; the
// connection is kept for later requests. It fails with *ErrDial if the connection was not accepted, and with
// *ErrExchange if it was closed.
func (c *Client) Reachable(ctx context.Context, address string) error {
	k, err := c.connect(ctx, address)
	if err != nil {
		return &ErrDial{Address: address, Err: err}
	}
	if err := k.staysOpen(openTime); err != nil {
		_ = k.Close()
		return &ErrExchange{Address: address, Err: err}
	}
	c.putIdle(k, -1)
	return nil
}

// staysOpen returns nil if a connection stays open and no data arrives on it for a time.
func (k *conn) staysOpen(d time.Duration) error {
	if err := k.SetReadDeadline(time.Now().Add(d)); err != nil {
		return err
	}
	switch _, err := k.reader.Peek(1); {
	case err == nil:
		return &ErrSurplus{Responses: 1}
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	}
	return k.SetReadDeadline(time.Time{})
}

func (c *Client) popIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return k
}

// IdlePeer returns the process at the other end of the idle connection that is reused next; nil if there is none.
func (c *Client) IdlePeer(address string) *Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1].peer
}

// HasIdle reports whether there is an idle connection to an address. It is false if all of its
// connections are in use.
func (c *Client) HasIdle(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[address]) > 0
}

// putIdle keeps a connection for the next request, or closes it. announced is the keep-alive
// timeout of the last response, negative if the response had none.
func (c *Client) putIdle(k *conn, announced time.Duration) {
	if announced >= 0 {
		k.announced = announced
	}
	keep := k.announced
	if keep < 0 {
		keep = c.options.DefaultKeepAlive
	}
	keep -= idleMargin
	if keep <= 0 {
		_ = k.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k.since = time.Now()
	k.until = k.since.Add(min(keep, c.idleLimits.limit(k.address, k.since)))
	list := c.idle[k.address]
	if len(list) >= c.maxIdle {
		_ = k.Close()
		return
	}
	setKeepAlive(k.Conn, false)
	c.idle[k.address] = append(list, k)
}

// SetMaxIdle sets the maximum number of idle connections per address. It closes no connections.
func (c *Client) SetMaxIdle(idle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdle = idle
}

// CloseIdle closes the idle connections to an address, or to all addresses if address is empty.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, list := range c.idle {
		if address != "" && a != address {
			continue
		}
		for _, k := range list {
			_ = k.Close()
		}
		delete(c.idle, a)
	}
}

// Sweep closes idle connections that have expired, and those with unread data: they can't be used again,
// and the data takes memory of the instance. It removes expired idle limits.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimits.sweep(now)
	for a, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Before(k.until) && k.reusable() {
				kept = append(kept, k)
				continue
			}
			_ = k.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, a)
			continue
		}
		c.idle[a] = kept
	}
}

// lastData returns when data last arrived on the connection, by the clock of package boottime.
func (k *conn) lastData() (time.Time, error) {
	since, err := sinceData(k.Conn)
	if err != nil {
		return time.Time{}, &ErrExchange{Address: k.address, Err: err}
	}
	return boottime.Now().Add(-since), nil
}

// reusable reports whether an idle connection is open and has no unread data.
func (k *conn) reusable() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	return stillOpen(k.Conn)
}

// keepAlive returns the timeout of a Keep-Alive header, -1 if there is none that can be
// parsed.
func keepAlive(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n) * time.Second
		}
	}
	return -1
}
