package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hopwell/hopwell/pkg/duplex"
)

const (
	// userTimeout is how long sent data may stay unacknowledged before the kernel closes the
	// connection. All packets of one connection may be lost permanently, without a reset, while
	// new connections work. The value exceeds the delay of half a second that packets have on
	// the platform's links in bad periods.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle is the time without received data after which a connection in use is probed,
	// keepAliveInterval the time limit for the reply to the probe. The kernel counts both in
	// whole seconds. A stream on a connection that loses all packets thus breaks after 2 s, the
	// shortest time for which a client of a stream waits. No probes are sent while data arrives.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
)

// socket returns the connection below a *duplex.Conn, and other connections as they are.
func socket(c net.Conn) net.Conn {
	if d, ok := c.(*duplex.Conn); ok {
		return d.NetConn()
	}
	return c
}

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
	if tcp, ok := socket(c).(*net.TCPConn); ok {
		_ = tcp.SetKeepAlive(enabled)
	}
}

// sinceData returns the time since data last arrived on a connection. The kernel counts it, also while this
// process stands still; it is 0 for connections that are not TCP.
func sinceData(c net.Conn) (time.Duration, error) {
	tcp, ok := socket(c).(*net.TCPConn)
	if !ok {
		return 0, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var info *unix.TCPInfo
	var optErr error
	err = raw.Control(func(fd uintptr) { info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err := errors.Join(err, optErr); err != nil {
		return 0, err
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, nil
}

// stillOpen reports whether an idle connection is open and has no unread data: a peek finds
// neither data nor the end of the stream.
func stillOpen(c net.Conn) bool {
	s, ok := socket(c).(syscall.Conn)
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
