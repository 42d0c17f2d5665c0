package duplex

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// rounds is the number of repetitions of a race.
const rounds = 200

// whole is the data of a peer, which ends with the connection.
const whole = "whole data"

// connect returns both ends of a connection.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	here, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	there, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = here.Close()
		_ = there.Close()
	})
	return New(here), there.(*net.TCPConn)
}

// reset closes a connection with RST.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// writeUntilError writes until a write fails.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// Guards against a reset that only a write has met, and that reads as the end of the data.
func TestResetThatAWriteHasMetIsNoEnd(t *testing.T) {
	g := NewWithT(t)
	c, peer := connect(t)
	_, err := io.WriteString(peer, whole)
	g.Expect(err).NotTo(HaveOccurred())
	time.AfterFunc(10*time.Millisecond, func() { reset(peer) })
	g.Expect(writeUntilError(c)).To(MatchError(syscall.ECONNRESET))
	data, err := io.ReadAll(c)
	var failed *ErrFailed
	g.Expect(errors.As(err, &failed)).To(BeTrue(), "%q: %v", data, err)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}

// Guards against a reset that a write meets while another goroutine reads the end.
func TestResetBesideWritesIsNoEnd(t *testing.T) {
	for range rounds {
		g := NewWithT(t)
		c, peer := connect(t)
		go func() { _ = writeUntilError(c) }()
		go func() {
			_, _ = io.WriteString(peer, whole)
			reset(peer)
		}()
		data, err := io.ReadAll(c)
		g.Expect(err).To(HaveOccurred(), "%q", data)
		_ = c.Close()
	}
}

// Guards against data that ended in order, and counts as cut off because the peer closed the connection without reading
// what was written.
func TestEndBeforeTheResetIsAnEnd(t *testing.T) {
	g := NewWithT(t)
	c, peer := connect(t)
	_, err := io.WriteString(peer, whole)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(peer.CloseWrite()).To(Succeed())
	time.AfterFunc(10*time.Millisecond, func() { _ = peer.Close() })
	g.Expect(writeUntilError(c)).To(HaveOccurred())
	data, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal(whole))
}

// Guards against a reader that waits for a write which the peer does not read.
func TestEndInterruptsWrites(t *testing.T) {
	g := NewWithT(t)
	c, peer := connect(t)
	_, err := io.WriteString(peer, whole)
	g.Expect(err).NotTo(HaveOccurred())
	wrote := make(chan error, 1)
	go func() { wrote <- writeUntilError(c) }()
	time.AfterFunc(10*time.Millisecond, func() { _ = peer.CloseWrite() })
	data, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal(whole))
	g.Eventually(wrote).Should(Receive(BeAssignableToTypeOf(&ErrEnded{})))
	g.Expect(c.SetWriteDeadline(time.Time{})).To(Succeed())
	_, err = c.Write([]byte("x"))
	g.Expect(err).To(BeAssignableToTypeOf(&ErrEnded{}))
}
