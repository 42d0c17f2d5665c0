// Package unsent bounds the bytes that the kernel keeps for a connection before it sends them.
//
// By default the kernel buffers megabytes for a peer that reads slowly, and takes more only once a third of
// them is sent. To a writer with a deadline, a peer that reads some hundred kilobytes a second then looks like
// one that reads nothing.
package unsent

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// Max is the number of unsent bytes from which on the kernel takes no more until half of them are sent. A write
// of as many bytes thus ends in time if the peer reads about twice as many.
const Max = 32 << 10

// ErrLimit reports that the unsent bytes of a connection can't be bounded.
type ErrLimit struct{ Err error }

// Error implements error.
func (e *ErrLimit) Error() string { return "unsent bytes not bounded: cause=" + e.Err.Error() }

// Unwrap returns the cause.
func (e *ErrLimit) Unwrap() error { return e.Err }

// Limit bounds the unsent bytes of a connection to Max. Bytes that were sent and are not acknowledged yet are
// not limited, so that distant peers receive as fast as before. It fails with *ErrLimit, and leaves a
// connection that is not TCP as it is.
func Limit(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return &ErrLimit{Err: err}
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, Max)
	})
	if err := errors.Join(err, optErr); err != nil {
		return &ErrLimit{Err: err}
	}
	return nil
}
