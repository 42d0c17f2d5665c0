// Package duplex makes connections on which a reader does not take a failure for the end of the peer's data.
//
// The kernel reports the failure of a connection once, to the first call that meets it. If one goroutine writes while
// another reads, the write may get the error. The read that follows then returns io.EOF, as after an orderly end.
package duplex

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrFailed reports that a connection failed before the end of the peer's data. Err is the error of the write that
// met the failure.
type ErrFailed struct{ Err error }

// Error implements error.
func (e *ErrFailed) Error() string { return fmt.Sprintf("connection failed: cause=%v", e.Err) }

// Unwrap returns the cause.
func (e *ErrFailed) Unwrap() error { return e.Err }

// ErrEnded reports a write after the end of the peer's data.
type ErrEnded struct{}

// Error implements error.
func (e *ErrEnded) Error() string { return "write after the end of the peer's data" }

// Conn is a connection that one goroutine may read while others write. The end of the peer's data also ends the
// writes: those in progress are interrupted, and later ones fail.
type Conn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex

	mu sync.Mutex
	// ended is set at the end of the peer's data.
	ended bool
	// failure is the first error of a write that shows that the connection failed.
	failure error
}

// New returns a connection that uses c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the underlying connection. Reading from or writing to it loses failures.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It fails with *ErrFailed in place of io.EOF if a write has met the failure of the
// connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.endWrites(); failure != nil {
			return n, &ErrFailed{Err: failure}
		}
	}
	return n, err
}

// endWrites ends all writes and returns the failure that they have met.
func (c *Conn) endWrites() error {
	c.mu.Lock()
	c.ended = true
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // It fails only on closed connections, where writes fail.
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		err = c.recordFailure(err)
	}
	return n, err
}

// recordFailure records the failure that a write has met, and returns the error of that write.
func (c *Conn) recordFailure(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isFailure(err) {
		c.failure = cmp.Or(c.failure, err)
	} else if c.ended && errors.Is(err, os.ErrDeadlineExceeded) {
		return &ErrEnded{}
	}
	return err
}

// isFailure reports whether the error of a write shows that the connection failed. EPIPE does not: the peer has ended
// its data, and closed the connection after that.
func isFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// SetWriteDeadline implements net.Conn. It has no effect after the end of the peer's data.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}
