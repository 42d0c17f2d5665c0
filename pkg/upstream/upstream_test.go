package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/memory"
)

// server accepts connections and counts them.
type server struct {
	address string
	mu      sync.Mutex
	opened  int
}

// serve starts a server that calls handle for each connection with its number,
// from 1.
func serve(t *testing.T, handle func(n int, c net.Conn, in *bufio.Reader)) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &server{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.opened++
			n := s.opened
			s.mu.Unlock()
			go func() {
				defer c.Close()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

func newClient() *Client {
	return New(Options{ConnectTimeout: 5 * time.Second, DefaultKeepAlive: time.Minute, MaxIdle: 4})
}

// idleSetupTimeout limits the requests of openThreeIdle.
const idleSetupTimeout = 10 * time.Second

// openThreeIdle leaves three idle connections to a server by sending three concurrent requests.
func openThreeIdle(t *testing.T, c *Client, s *server) {
	g := NewWithT(t)
	ids := []string{"a", "b", "c"}
	ctx, cancel := context.WithTimeout(context.Background(), idleSetupTimeout)
	defer cancel()
	var ready, done sync.WaitGroup
	// No request ends before all have their responses: otherwise one could reuse the
	// connection of another.
	ready.Add(len(ids))
	for _, id := range ids {
		done.Go(func() {
			res, err := c.Do(ctx, s.address, &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {id}}})
			ready.Done()
			ready.Wait()
			if err == nil {
				_, err = io.Copy(io.Discard, res)
			}
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
	done.Wait()
}

// get sends one request and returns the body of its response.
func get(c *Client, address, id string) (string, error) {
	res, err := c.Do(context.Background(), address, &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {id}},
		Matches: func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == id }})
	if err != nil {
		return "", err
	}
	defer res.Close()
	data, err := io.ReadAll(res)
	return string(data), err
}

// respondOK reads a request and writes a response with the given extra header lines. It
// reports whether there was a request.
func respondOK(c net.Conn, in *bufio.Reader, header string) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 2\r\n\r\nok", r.Header.Get("Id"), header)
	return true
}

func TestConnectionIsReused(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for respondOK(c, in, "") {
		}
	})
	k := newClient()
	for i := range 5 {
		g.Expect(get(k, s.address, fmt.Sprint(i))).To(Equal("ok"))
	}
	g.Expect(s.count()).To(Equal(1))
}

func TestMaxIdleIsEnforced(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for respondOK(c, in, "") {
		}
	})
	k := newClient()
	k.SetMaxIdle(0)
	for i := range 3 {
		g.Expect(get(k, s.address, fmt.Sprint(i))).To(Equal("ok"))
	}
	g.Expect(s.count()).To(Equal(3))
}

func TestIdleConnectionExpiresBeforeKeepAliveTimeout(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for respondOK(c, in, "Keep-Alive: timeout=1\r\n") {
		}
	})
	k := newClient()
	for i := range 3 {
		g.Expect(get(k, s.address, fmt.Sprint(i))).To(Equal("ok"))
	}
	g.Expect(s.count()).To(Equal(3))
}

// Some runners send Keep-Alive in the first response only: its timeout also applies after
// later responses.
func TestKeepAliveOfFirstResponseStaysInForce(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for header := "Keep-Alive: timeout=30\r\n"; respondOK(c, in, header); header = "" {
		}
	})
	c := New(Options{ConnectTimeout: 5 * time.Second, DefaultKeepAlive: time.Second, MaxIdle: 4})
	for _, id := range []string{"a", "b", "c"} {
		_, err := get(c, s.address, id)
		g.Expect(err).NotTo(HaveOccurred())
		c.Sweep(time.Now().Add(10 * time.Second))
	}
	g.Expect(s.count()).To(Equal(1))
}

// Several silent idle connections to a runner must fail one request, not one request each.
func TestSilentIdleConnectionsFailOneRequest(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(n int, c net.Conn, in *bufio.Reader) {
		for respondOK(c, in, "") {
			if n <= 3 {
				_, _ = io.Copy(io.Discard, in)
			}
		}
	})
	c := newClient()
	openThreeIdle(t, c, s)
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, s.address, &Request{Method: "GET", Target: "/", Host: "h"})
	g.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
	_, err = get(c, s.address, "d")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.count()).To(Equal(4))
}

// A request of which the runner reads nothing, as on a silent connection, must fail long before
// its deadline.
func TestUnreadRequestFailsBeforeDeadline(t *testing.T) {
	g := NewWithT(t)
	done := make(chan struct{})
	defer close(done)
	s := serve(t, func(_ int, _ net.Conn, _ *bufio.Reader) { <-done })
	ctx, cancel := context.WithTimeout(context.Background(), 20*userTimeout)
	defer cancel()
	_, err := newClient().Do(ctx, s.address, &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 64<<20)})
	var exchange *ErrExchange
	g.Expect(errors.As(err, &exchange)).To(BeTrue(), "%v", err)
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the exchange must fail before its deadline")
}

// Keep-alive probes must be on while a connection is in use and off while it is idle.
func TestOnlyConnectionsInUseAreProbed(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for respondOK(c, in, "") {
		}
	})
	c := newClient()
	option := func(k *conn, level, name int) int {
		raw, err := socket(k.Conn).(*net.TCPConn).SyscallConn()
		g.Expect(err).NotTo(HaveOccurred())
		value := 0
		g.Expect(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) })).To(Succeed())
		g.Expect(err).NotTo(HaveOccurred())
		return value
	}
	for range 2 {
		k, err := c.acquire(context.Background(), s.address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(option(k, unix.SOL_SOCKET, unix.SO_KEEPALIVE)).To(Equal(1))
		g.Expect(option(k, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)).To(Equal(int(keepAliveIdle.Seconds())))
		g.Expect(option(k, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)).To(Equal(int(userTimeout.Milliseconds())))
		c.putIdle(k, time.Minute)
		g.Expect(option(k, unix.SOL_SOCKET, unix.SO_KEEPALIVE)).To(Equal(0))
	}
}

// A runner that drops idle connections without closing them must fail one request, not one
// per connection. The idle limit then expires.
func TestRunnerDroppingIdleConnectionsFailsOneRequest(t *testing.T) {
	g := NewWithT(t)
	const keepTime = 100 * time.Millisecond
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for respondOK(c, in, "") {
			idle := time.Now()
			if _, err := in.Peek(1); err != nil || time.Since(idle) >= keepTime {
				return
			}
		}
	})
	c := newClient()
	openThreeIdle(t, c, s)
	g.Expect(s.count()).To(Equal(3))
	time.Sleep(2 * keepTime)
	failed := 0
	for _, id := range []string{"d", "e", "f"} {
		if _, err := get(c, s.address, id); err != nil {
			failed++
		}
	}
	time.Sleep(2 * keepTime)
	_, err := get(c, s.address, "g")
	g.Expect(err).NotTo(HaveOccurred(), "connections idle for that long must not be reused")
	g.Expect(failed).To(Equal(1))
	f := idleLimits{}
	now := time.Now()
	f.record("a", 400*time.Millisecond, now)
	g.Expect(f.limit("a", now)).To(Equal(200 * time.Millisecond))
	f.sweep(now.Add(idleLimitTTL))
	g.Expect(f).To(BeEmpty())
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{}, 2)
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		respondOK(c, in, "")
		_ = c.Close()
		closed <- struct{}{}
	})
	k := newClient()
	g.Expect(get(k, s.address, "1")).To(Equal("ok"))
	<-closed
	g.Eventually(func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return stillOpen(k.idle[s.address][0].Conn)
	}).Should(BeFalse())
	g.Expect(get(k, s.address, "2")).To(Equal("ok"))
	g.Expect(s.count()).To(Equal(2))
}

// A second response to the first request arrives before the response to the second request. It
// must be skipped, and the connection closed after the response to the second request.
func TestSurplusResponseIsSkipped(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(n int, c net.Conn, in *bufio.Reader) {
		respondOK(c, in, "")
		if n == 1 {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nfirst")
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 6\r\n\r\nsecond")
			_, _ = io.Copy(io.Discard, in)
		}
	})
	k := newClient()
	g.Expect(get(k, s.address, "1")).To(Equal("ok"))
	g.Expect(get(k, s.address, "2")).To(Equal("second"))
	g.Expect(get(k, s.address, "3")).To(Equal("ok"))
	g.Expect(s.count()).To(Equal(2))
}

// Guards against a request that waits until its deadline because a surplus response before its own has no end.
func TestEndlessSurplusResponseEndsTheExchange(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		respondOK(c, in, "")
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
		for chunk := fmt.Sprintf("%x\r\n%s\r\n", 4096, strings.Repeat("x", 4096)); ; {
			if _, err := io.WriteString(c, chunk); err != nil {
				return
			}
		}
	})
	k := newClient()
	g.Expect(get(k, s.address, "1")).To(Equal("ok"))
	failed := make(chan error, 1)
	go func() {
		_, err := get(k, s.address, "2")
		failed <- err
	}()
	var err error
	g.Eventually(failed, "20s").Should(Receive(&err))
	var large *memory.ErrTooLarge
	g.Expect(errors.As(err, &large)).To(BeTrue(), "%v", err)
	g.Expect(large.Bound).To(BeEquivalentTo(256 << 10))
	g.Expect(IsUnusable(err)).To(BeTrue())
}

func TestTrailingBytesCloseConnection(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(n int, c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nokrubbish", r.Header.Get("Id"))
		_, _ = io.Copy(io.Discard, in)
	})
	k := newClient()
	for i := range 2 {
		g.Expect(get(k, s.address, fmt.Sprint(i))).To(Equal("ok"))
	}
	g.Expect(s.count()).To(Equal(2))
}

// A request must not be sent again when the runner closes a reused connection, even if it is
// a GET.
func TestRequestIsNeverSentTwice(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	got := 0
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		respondOK(c, in, "")
		if _, err := http.ReadRequest(in); err == nil {
			mu.Lock()
			got++
			mu.Unlock()
		}
	})
	k := newClient()
	g.Expect(get(k, s.address, "1")).To(Equal("ok"))
	_, err := get(k, s.address, "2")
	var exchange *ErrExchange
	g.Expect(errors.As(err, &exchange)).To(BeTrue())
	g.Expect(exchange.Reused).To(BeTrue())
	mu.Lock()
	defer mu.Unlock()
	g.Expect(got).To(Equal(1))
	g.Expect(s.count()).To(Equal(1))
}

func TestRefusedConnectionIsDialError(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	_ = l.Close()
	_, err = get(newClient(), address, "1")
	var dial *ErrDial
	g.Expect(errors.As(err, &dial)).To(BeTrue())
}

func TestResetResponseIsError(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart of")
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := get(newClient(), s.address, "1")
	g.Expect(err).To(HaveOccurred())
}

func TestResponseWithoutLengthEndsAtClose(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it")
	})
	g.Expect(get(newClient(), s.address, "1")).To(Equal("all of it"))
}

// If a runner responds before it has read a long body, the connection must not be reused: the
// runner would take the next request for the rest of the body.
func TestResponseBeforeBodyIsSentClosesConnection(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		_, _ = io.Copy(io.Discard, in)
	})
	k := newClient()
	res, err := k.Do(context.Background(), s.address, &Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte(strings.Repeat("x", 64<<20))})
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = io.ReadAll(res)
	g.Expect(res.Close()).To(Succeed())
	k.mu.Lock()
	defer k.mu.Unlock()
	g.Expect(k.idle[s.address]).To(BeEmpty())
}

func TestContextCancellationClosesConnection(t *testing.T) {
	g := NewWithT(t)
	read, closed := make(chan struct{}), make(chan struct{})
	s := serve(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		close(read)
		_, _ = io.Copy(io.Discard, in)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-read
		cancel()
	}()
	_, err := newClient().Do(ctx, s.address, &Request{Method: "GET", Target: "/", Host: "h"})
	g.Expect(err).To(HaveOccurred())
	g.Eventually(closed, "20s").Should(BeClosed())
}

// Guards against bytes after whole responses that wait on idle connections, and take memory, until the
// connections expire.
func TestSweepClosesIdleConnectionsWithUnreadData(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	s := serve(t, func(n int, c net.Conn, in *bufio.Reader) {
		if !respondOK(c, in, "") || n > 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, strings.Repeat("x", 10_000))
		_, _ = in.ReadByte()
		close(closed)
	})
	c := newClient()
	defer c.CloseIdle("")
	_, err := get(c, s.address, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool {
		c.Sweep(time.Now())
		return c.HasIdle(s.address)
	}, "10s", "10ms").Should(BeFalse())
	g.Eventually(closed, "10s").Should(BeClosed())
	_, err = get(c, s.address, "b")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.count()).To(Equal(2))
}

// Guards against an instance that counts as reachable although it refuses or closes new connections.
func TestReachableNeedsAConnectionThatStaysOpen(t *testing.T) {
	g := NewWithT(t)
	stop := make(chan struct{})
	defer close(stop)
	open := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		<-stop
	})
	closing := serve(t, func(int, net.Conn, *bufio.Reader) {})
	unasked := serve(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		<-stop
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ended := l.Addr().String()
	_ = l.Close()

	c := New(Options{ConnectTimeout: time.Second, DefaultKeepAlive: time.Minute, MaxIdle: 1})
	var dial *ErrDial
	var exchange *ErrExchange
	g.Expect(errors.As(c.Reachable(t.Context(), ended), &dial)).To(BeTrue())
	g.Expect(errors.As(c.Reachable(t.Context(), closing.address), &exchange)).To(BeTrue())
	g.Expect(errors.As(c.Reachable(t.Context(), unasked.address), &exchange)).To(BeTrue())
	g.Expect(c.Reachable(t.Context(), open.address)).To(Succeed())
	time.Sleep(2 * openTime)
	res, err := c.Do(t.Context(), open.address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.StatusCode).To(Equal(http.StatusOK))
	_ = res.Close()
	g.Expect(open.count()).To(Equal(1), "the connection is used for the next request")
}

// Guards against data that counts as recent because it was read late or its connection ended late.
func TestLastDataIsWhenItArrived(t *testing.T) {
	// The kernel counts the time in ticks.
	const pause, tick = 300 * time.Millisecond, 20 * time.Millisecond
	for name, c := range map[string]struct{ beforeEnd, beforeRead time.Duration }{
		"at once":               {},
		"the end comes later":   {beforeEnd: pause},
		"the body is read late": {beforeRead: pause},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			written := make(chan time.Time, 1)
			s := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err == nil {
					written <- boottime.Now()
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody")
					time.Sleep(c.beforeEnd)
				}
			})
			client := New(Options{ConnectTimeout: time.Second})
			res, err := client.Do(t.Context(), s.address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
			g.Expect(err).NotTo(HaveOccurred())
			defer res.Close()
			g.Expect(res.CloseDelimited()).To(BeTrue())
			g.Expect(res.lastData).To(BeZero(), "the body has not ended")
			time.Sleep(c.beforeRead)
			body, err := io.ReadAll(res)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("body"))
			at, err := res.LastData()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(at).To(BeTemporally(">=", (<-written).Add(-tick)))
			g.Expect(boottime.Since(at)).To(BeNumerically(">=", c.beforeEnd+c.beforeRead-tick))
		})
	}
}

// Guards against taking what serves on a new connection for the process that answered on an earlier one.
func TestPeerIsBoundToItsConnection(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c := newClient()
	peer := func() *Peer {
		res, err := c.Do(t.Context(), s.address, &Request{Method: "GET", Target: "/", Host: "h"})
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, res)
		return res.Peer()
	}
	g.Expect(c.IdlePeer(s.address).Is("a")).To(BeFalse(), "no connection")
	peer().Identify("a")
	g.Expect(c.IdlePeer(s.address).Is("a")).To(BeTrue())
	g.Expect(peer().Is("a")).To(BeTrue(), "the same connection")
	g.Expect(peer().Is("b")).To(BeFalse())
	c.CloseIdle(s.address)
	g.Expect(peer().Is("a")).To(BeFalse(), "a new connection")
}
