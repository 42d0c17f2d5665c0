package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent data may stay unacknowledged before the connection is
	// closed: a connection may go silent for good, without a reset, while new connections
	// work. The platform's links delay packets by half a second in bad periods.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle is how long no data must have arrived on a connection in use before it is
	// probed, keepAliveInterval how long the reply to the probe may take. The kernel counts both
	// in whole seconds. A stream on a silent connection thus breaks after 2 s, the shortest time
	// for which its client waits. No probes are sent while data arrives.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
)

// setTimeouts makes the kernel close a connection that has gone silent.
func setTimeouts(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr, tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 1,
	}))
}

// setKeepAlive switches keep-alive probes on or off. Connections in use are probed. Idle ones
// are not: a silent one is detected when it is used.
func setKeepAlive(c net.Conn, enabled bool) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetKeepAlive(enabled)
	}
}

// stillOpen reports whether an idle connection is open and has no unread data: a peek finds
// neither data nor the end of the stream.
func stillOpen(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}
