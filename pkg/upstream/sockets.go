package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silentAfter is how long what is sent on a connection may go unacknowledged before
	// it counts as broken: it may have fallen silent for good, without a reset, while new
	// ones work. The platform's links hold packets up for half a second in bad times.
	silentAfter = 1500 * time.Millisecond
	// probeAfter is how long nothing must have come on a connection in use before it is
	// probed, probeEvery how long the answer may take, in whole seconds, as the system
	// counts: a stream that has fallen silent breaks after 2 s, as long as its client
	// waits at least. Answers that come bring no probes.
	probeAfter = time.Second
	probeEvery = time.Second
)

// guard has the system break a connection that has fallen silent.
func guard(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
	})
	return errors.Join(err, set, tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: probeAfter, Interval: probeEvery, Count: 1,
	}))
}

// probe says whether a connection is probed while nothing comes: one in use is, an idle
// one shows its silence when it is used.
func probe(c net.Conn, yes bool) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetKeepAlive(yes)
	}
}

// open reports whether a connection at rest is still open and quiet: a peek
// finds nothing to read and no end.
func open(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
