package httpd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// closeAll closes connections and waits until their servers have ended.
func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
	time.Sleep(2 * time.Minute)
	synctest.Wait()
}

// Guards against a crowd that sends slowly, stops half-way or sends nothing and keeps all others out.
func TestSlowClientsMakeRoomForNewOnes(t *testing.T) {
	const connections = 20
	for name, begin := range map[string]string{
		"nothing": "", "a part of a head": "GET / HTTP/1.1\r\nHost: h\r\nA",
		"a part of a body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx", "a chunk": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := serveBounded(t, connections)
			var crowd []net.Conn
			for range connections {
				c := s.connect()
				crowd = append(crowd, c)
				go func() {
					_, _ = io.WriteString(c, begin)
					for {
						time.Sleep(time.Second)
						if _, err := io.WriteString(c, "x"); begin == "" || err != nil {
							return
						}
					}
				}()
				go func() { _, _ = io.Copy(io.Discard, c) }()
			}
			time.Sleep(1500 * time.Millisecond)
			for range 3 * connections {
				c := s.connect()
				status, body, err := post(c, bufio.NewReader(c), "ordinary")
				g.Expect(err).NotTo(HaveOccurred(), name)
				g.Expect(status).To(Equal(http.StatusOK))
				g.Expect(body).To(Equal("ordinary"))
			}
			var evicted *ErrEvicted
			g.Expect(s.errors()).NotTo(BeEmpty())
			g.Expect(errors.As(s.errors()[0], &evicted)).To(BeTrue())
			g.Expect(evicted.Accepted).To(BeFalse())
			closeAll(crowd)
		})
	}
}

// A client that sends at a fair rate keeps its connection while others that wait for less time lose theirs.
func TestClientThatMakesProgressIsNotEvicted(t *testing.T) {
	const connections, size = 10, 400 << 10
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := serveBounded(t, connections)
		slow := s.connect()
		done := make(chan int, 1)
		go func() {
			_, _ = fmt.Fprintf(slow, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
			for range size / minProgress {
				_, _ = io.WriteString(slow, strings.Repeat("x", minProgress))
				time.Sleep(time.Second)
			}
		}()
		go func() {
			if res, err := http.ReadResponse(bufio.NewReader(slow), nil); err == nil {
				done <- res.StatusCode
			}
		}()
		synctest.Wait()
		var crowd []net.Conn
		for range 20 * connections {
			crowd = append(crowd, s.connect())
			time.Sleep(time.Second / 2)
		}
		synctest.Wait()
		g.Expect(done).To(Receive(Equal(http.StatusOK)))
		closeAll(append(crowd, slow))
	})
}

// A connection on which a request was accepted is kept for the next one while others send nothing.
func TestKeptConnectionOutlivesACrowd(t *testing.T) {
	const connections = 10
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := serveBounded(t, connections)
		kept := s.connect()
		in := bufio.NewReader(kept)
		crowd := []net.Conn{kept}
		for range 5 {
			status, _, err := post(kept, in, "x")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(http.StatusOK))
			for range 5 * connections {
				crowd = append(crowd, s.connect())
				time.Sleep(100 * time.Millisecond)
			}
		}
		closeAll(crowd)
	})
}

// Guards against clients that send requests which are refused and don't read the responses: they keep all others out.
func TestClientsThatDoNotReadRefusalsMakeRoom(t *testing.T) {
	const connections = 10
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := serveBounded(t, connections)
		var crowd []net.Conn
		for range connections {
			c := s.connect()
			crowd = append(crowd, c)
			go func() { _, _ = io.WriteString(c, "GET /refused HTTP/1.1\r\nHost: h\r\n\r\n") }()
		}
		synctest.Wait()
		for range connections {
			c := s.connect()
			status, _, err := post(c, bufio.NewReader(c), "ordinary")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(http.StatusOK))
			crowd = append(crowd, c)
		}
		closeAll(crowd)
	})
}

// Guards against requests that reach a runner although their connection was closed before: their clients send them
// again.
func TestRequestOfAnEvictedConnectionIsNotAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := serveBounded(t, 1)
		c := s.connect()
		go func() { _, _ = io.WriteString(c, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n") }()
		synctest.Wait()
		next := s.connect()
		time.Sleep(2 * busyTime)
		g.Expect(s.admitErrors()).To(HaveExactElements(BeAssignableToTypeOf(&ErrEvicted{})))
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		g.Expect(err).To(HaveOccurred())
		closeAll([]net.Conn{c, next})
	})
}

// Guards against requests that are served although their connection was evicted: its client may send them again.
func TestRequestOnAnEvictedConnectionIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := serveBounded(t, 1)
		c := s.connect()
		go func() { _, _ = io.WriteString(c, "POST /busy HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx") }()
		synctest.Wait()
		next := s.connect()
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		g.Expect(err).NotTo(HaveOccurred())
		body, _ := io.ReadAll(res.Body)
		g.Expect(body).To(BeEmpty(), "the handler got an error")
		closeAll([]net.Conn{c, next})
	})
}
