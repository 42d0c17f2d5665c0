// Package unread bounds the bytes that the kernel keeps for a connection until the process reads them.
//
// By default the kernel accepts megabytes for a connection whose process does not read. On instances that count
// these bytes as memory of the process, clients that send more than is read can take all of it.
package unread

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// Buffer is the receive buffer of a new connection, in bytes: room for the head and the body of an ordinary
	// request.
	Buffer = 8 << 10
	// overhead is the factor by which the kernel enlarges a receive buffer for its own use. It bounds the unread
	// bytes, since segments that waste little of it leave more room for data.
	overhead = 2
	// Max is the largest number of unread bytes of a connection with Buffer.
	Max = overhead * Buffer
)

// Size returns the largest number of unread bytes of a connection with the given receive buffer.
func Size(buffer int) int64 { return overhead * int64(buffer) }

// ErrLimit reports that the unread bytes of connections can't be bounded.
type ErrLimit struct{ Err error }

// Error implements error.
func (e *ErrLimit) Error() string { return "unread bytes not bounded: cause=" + e.Err.Error() }

// Unwrap returns the cause.
func (e *ErrLimit) Unwrap() error { return e.Err }

// Limit bounds the unread bytes of each connection that a listener accepts from now on to Max. The bound has to be
// set before a connection exists: one that is lowered later makes the kernel drop data that it has allowed the peer
// to send. It fails with *ErrLimit, also for a listener that has no socket.
func Limit(l net.Listener) error {
	tcp, ok := l.(syscall.Conn)
	if !ok {
		return &ErrLimit{Err: errors.ErrUnsupported}
	}
	return set(tcp, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, Buffer) })
}

// Raise raises the receive buffer of a connection that a limited listener has accepted, so that a distant peer need
// not wait as often for the process to read. It fails with *ErrLimit, and leaves a connection that is not TCP as it
// is.
func Raise(c net.Conn, buffer int) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	return set(tcp, func(fd int) error {
		// The window keeps the size of the first buffer unless its clamp is raised too.
		return errors.Join(
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, buffer),
			unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, buffer),
		)
	})
}

// set sets options of a socket.
func set(c syscall.Conn, options func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return &ErrLimit{Err: err}
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = options(int(fd)) })
	if err := errors.Join(err, failed); err != nil {
		return &ErrLimit{Err: err}
	}
	return nil
}
