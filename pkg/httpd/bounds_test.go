package httpd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/memory"
)

// pipes is a listener whose connections are pipes, which have no buffers and run in virtual time.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipes) connect() net.Conn {
	here, there := net.Pipe()
	p <- there
	return here
}

// busyTime is how long a request to /busy takes.
const busyTime = time.Second

// boundedServer is a server with bounds that echoes bodies.
type boundedServer struct {
	pipes
	heads    *memory.Account
	mu       sync.Mutex
	rejected []error
	// refused are the errors of requests that were not admitted.
	refused []error
}

func serveBounded(t *testing.T, connections int) *boundedServer {
	s := &boundedServer{pipes: make(pipes), heads: memory.NewAccount("heads", 64*MaxHead)}
	bounds := &Bounds{Connections: connections, Heads: s.heads, Rejected: func(_ net.Addr, err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.rejected = append(s.rejected, err)
	}}
	server := bounds.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/refused":
			w.WriteHeader(http.StatusNotFound)
			return
		case "/late":
			time.Sleep(busyTime)
		}
		if err := Admit(r); err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.refused = append(s.refused, err)
			return
		}
		if r.URL.Path == "/busy" {
			time.Sleep(busyTime)
		}
		if SentAhead(r) {
			w.Header().Set("Sent-Ahead", "1")
		}
		if body, err := io.ReadAll(r.Body); err == nil {
			_, _ = w.Write(body)
		}
	}))
	server.ReadHeaderTimeout = time.Hour
	go func() { _ = server.Serve(bounds.Listener(s.pipes)) }()
	t.Cleanup(func() {
		close(s.pipes)
		_ = server.Close()
	})
	return s
}

func (s *boundedServer) admitErrors() []error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]error(nil), s.refused...)
}

func (s *boundedServer) errors() []error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]error(nil), s.rejected...)
}

// post sends a request and returns the status and body of its response.
func post(c net.Conn, in *bufio.Reader, body string) (int, string, error) {
	go func() {
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}()
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}

// Guards against the head of a request without an end that takes all memory of the gateway.
func TestEndlessRequestHeadFailsAtItsBound(t *testing.T) {
	chunk := strings.Repeat("x", 1000)
	const line = "GET / HTTP/1.1\r\n"
	for _, c := range []struct {
		first, text string
		bound       int64
	}{
		{"", chunk, MaxHead}, {"GET /", chunk, MaxHead}, {line + "A: ", chunk, MaxHead}, {line, "A: " + chunk + "\r\n", MaxHead},
		{line, "A:\r\n", MaxHead}, {"", "\r\n", MaxHead}, {"\r\n\r\n" + line, "A: b\r\n", MaxHead},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := serveBounded(t, 10)
			conn := s.connect()
			written := 0
			go func() {
				text := c.first
				for {
					n, err := io.WriteString(conn, text)
					written += n
					if err != nil {
						return
					}
					text = c.text
				}
			}()
			_, _ = io.ReadAll(conn)
			synctest.Wait()
			g.Expect(written).To(BeNumerically("<=", MaxHead+2*OrdinaryHead+2*len(chunk)), c.first)
			g.Expect(s.heads.Used()).To(BeZero())
			for _, err := range s.errors() {
				var large *memory.ErrTooLarge
				g.Expect(errors.As(err, &large)).To(BeTrue(), "%v", err)
				g.Expect(large.Bound).To(Equal(c.bound), c.first)
			}
		})
	}
}

// A client whose head is too large reads why.
func TestTooLargeHeadGets431(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := serveBounded(t, 10)
		c := s.connect()
		go func() {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A: b\r\n", MaxHead/6))
		}()
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		g.Expect(s.errors()).To(HaveLen(1))
	})
}

// Guards against requests of legal size that are refused for the number of their header lines.
func TestHeadOfManyShortLinesIsServed(t *testing.T) {
	for _, lines := range []int{129, 500, 2500, 4000} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := serveBounded(t, 10)
			c := s.connect()
			go func() {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A:\r\n", lines)+"\r\n")
			}()
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(res.StatusCode).To(Equal(http.StatusOK), "%d", lines)
			_ = c.Close()
			time.Sleep(time.Second)
			synctest.Wait()
			g.Expect(s.heads.Used()).To(BeZero())
		})
	}
}

// Guards against header lines that take memory unnoticed because they arrive together with an earlier request, and
// against bodies that are taken for a part of such a head.
func TestHeadBehindAnotherRequestIsCharged(t *testing.T) {
	const clients = 60
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := serveBounded(t, 2*clients)
		body := strings.Repeat("x", 2*MaxHead)
		statuses := map[int]int{}
		var conns []net.Conn
		for range clients {
			c := s.connect()
			conns = append(conns, c)
			go func() {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A:\r\n", 900)+"Content-Length: "+fmt.Sprint(len(body))+"\r\n\r\n")
			}()
			in := bufio.NewReader(c)
			_, err := http.ReadResponse(in, nil)
			g.Expect(err).NotTo(HaveOccurred())
			synctest.Wait()
			g.Expect(s.heads.Used()).To(BeNumerically("<=", s.heads.Bound()))
			go func() { _, _ = io.WriteString(c, body[1:]) }()
			go func() {
				res, err := http.ReadResponse(in, nil)
				s.mu.Lock()
				defer s.mu.Unlock()
				if err == nil {
					statuses[res.StatusCode]++
				}
			}()
		}
		synctest.Wait()
		g.Expect(s.heads.Used()).To(BeNumerically(">", s.heads.Bound()/2))
		for _, c := range conns {
			go func() { _, _ = io.WriteString(c, "x") }()
		}
		synctest.Wait()
		time.Sleep(time.Second)
		s.mu.Lock()
		g.Expect(statuses).To(HaveKey(http.StatusOK))
		g.Expect(statuses).To(HaveKey(http.StatusServiceUnavailable))
		g.Expect(statuses).To(HaveLen(2))
		s.mu.Unlock()
		for _, c := range conns {
			_ = c.Close()
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(s.heads.Used()).To(BeZero())
	})
}

// Guards against heads that arrive slowly on all connections at once and take all memory together, and
// against ordinary requests that are refused because of them.
func TestUnfinishedRequestHeadsStayInTheirShare(t *testing.T) {
	const connections = 400
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := serveBounded(t, 2*connections)
		var conns []net.Conn
		var refused atomic.Int64
		for i := range connections {
			c := s.connect()
			conns = append(conns, c)
			go func() {
				if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && res.StatusCode == http.StatusServiceUnavailable {
					refused.Add(1)
				}
			}()
			go func() {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n")
				for range 100 {
					text := "A: " + strings.Repeat("x", 500) + "\r\n"
					if i%2 == 0 {
						text = strings.Repeat("x", 500)
					}
					if _, err := io.WriteString(c, text); err != nil {
						return
					}
					time.Sleep(time.Second)
				}
			}()
		}
		peak := int64(0)
		for range 60 {
			time.Sleep(time.Second)
			peak = max(peak, s.heads.Used())
		}
		g.Expect(peak).To(And(BeNumerically(">", s.heads.Bound()/2), BeNumerically("<=", s.heads.Bound())))
		for range 20 {
			c := s.connect()
			status, body, err := post(c, bufio.NewReader(c), "ordinary")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal("ordinary"))
			_ = c.Close()
		}
		full := 0
		for _, err := range s.errors() {
			var e *memory.ErrFull
			if errors.As(err, &e) {
				full++
			}
		}
		g.Expect(full).To(BeNumerically(">", connections/2))
		g.Expect(refused.Load()).To(BeEquivalentTo(full), "the requests have not run, and may be sent again")
		for _, c := range conns {
			_ = c.Close()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		g.Expect(s.heads.Used()).To(BeZero())
	})
}

// Each request of a connection has the whole bound, and bodies don't count.
func TestKeptConnectionServesRequestsOfAnySize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := serveBounded(t, 10)
		c := s.connect()
		defer c.Close()
		in := bufio.NewReader(c)
		for i := range 5 {
			body := strings.Repeat("line of a body\r\n\r\n", 20000*i)
			status, got, err := post(c, in, body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(http.StatusOK))
			g.Expect(got == body).To(BeTrue())
			go func() {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A: "+strings.Repeat("v", 400)+"\r\n", 124)+"\r\n")
			}()
			res, err := http.ReadResponse(in, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(res.StatusCode).To(Equal(http.StatusOK))
		}
		g.Expect(s.errors()).To(BeEmpty())
	})
}

// Guards against connections that take all memory by their number. Places become free again.
func TestConnectionsBeyondTheBoundAreClosedUnread(t *testing.T) {
	const connections = 20
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := serveBounded(t, connections)
		for range 3 {
			var open []net.Conn
			for range connections {
				c := s.connect()
				open = append(open, c)
				go func() { _, _ = io.WriteString(c, "GET /busy HTTP/1.1\r\nHost: h\r\n\r\n") }()
			}
			synctest.Wait()
			extra := s.connect()
			_, err := extra.Read(make([]byte, 1))
			g.Expect(err).To(MatchError(io.EOF))
			var large *memory.ErrTooLarge
			list := s.errors()
			g.Expect(errors.As(list[len(list)-1], &large)).To(BeTrue())
			g.Expect(large.Size).To(BeEquivalentTo(connections + 1))
			g.Expect(large.Bound).To(BeEquivalentTo(connections))
			res, err := http.ReadResponse(bufio.NewReader(open[0]), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(res.StatusCode).To(Equal(http.StatusOK))
			for _, c := range open {
				_ = c.Close()
			}
			time.Sleep(2 * busyTime)
			synctest.Wait()
		}
		g.Expect(s.errors()).To(HaveLen(3))
	})
}

// A client that still sends when its response ends reads the response: the connection is half closed
// first.
func TestBoundedConnectionIsHalfClosed(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var halfClosed atomic.Int64
	bounds := &Bounds{Connections: 10, Rejected: func(net.Addr, error) {}}
	server := bounds.Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}))
	go func() { _ = server.Serve(bounds.Listener(&halfCloseListener{l, &halfClosed})) }()
	defer server.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 1000))
	g.Expect(err).NotTo(HaveOccurred())
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	g.Eventually(halfClosed.Load).Should(BeNumerically(">", 0))
}

// halfCloseListener counts the half-closed connections.
type halfCloseListener struct {
	net.Listener
	count *atomic.Int64
}

func (l *halfCloseListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &halfCloseConn{c.(*net.TCPConn), l.count}, nil
}

type halfCloseConn struct {
	*net.TCPConn
	count *atomic.Int64
}

func (c *halfCloseConn) CloseWrite() error {
	c.count.Add(1)
	return c.TCPConn.CloseWrite()
}
