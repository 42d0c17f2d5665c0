package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/retrybudget"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

// pipeListener is a listener whose connections are pipes. They have no buffers and run in virtual
// time.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// connect returns the client's end of a new connection.
func (p pipeListener) connect() net.Conn {
	here, there := net.Pipe()
	p <- there
	return here
}

// endlessEngines responds to all calls with an endless body.
type endlessEngines struct{ RunnerClient }

func (endlessEngines) Send(ctx context.Context, _ *runners.State, _ *Call, _ CallOptions) (*Response, error) {
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(zeros{}), Verified: true}, nil
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// plainReader parses requests to a route of plain runners.
type plainReader struct{}

func (plainReader) Read(r *http.Request) (*Call, error) {
	return &Call{ID: r.Header.Get("X-Request-Id"), Timeout: time.Minute, Method: r.Method, Host: r.Host, Path: r.URL.Path, Header: http.Header{}}, nil
}

// serveOnPipes starts an ingress with one plain runner, and returns it with its listener.
func serveOnPipes(t *testing.T, maxHeld int64) (*Ingress, pipeListener) {
	log := decisionlog.New("g", io.Discard)
	in := New(Options{Runners: endlessEngines{}, Reader: plainReader{}, Log: log, MaxOpen: 4000, Held: memory.NewAccount("held", maxHeld), Budget: retrybudget.Limits{Window: time.Second}})
	table, err := routetable.New(routetable.Config{
		Version: 1, Services: map[string]routetable.Service{"s": {Name: "s"}}, Limits: routetable.Limits{BodyBytes: 1 << 20},
		Routes: []routetable.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routetable.Unsafe, Timeout: time.Minute, MaxAttempts: 1, Targets: []routetable.Target{{Service: "s", Weight: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	in.SetTable(table)
	in.Directory.Put(runners.Runner{ID: "a", Service: "s"}, time.Now())
	l := make(pipeListener)
	server := &http.Server{Handler: in}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		close(l)
		_ = server.Close()
		log.Close(time.Second)
	})
	return in, l
}

// Guards against clients that stop reading and occupy memory, and a place on their runner, until
// the request's time limit.
func TestStalledClientsReleaseMemoryAndRunners(t *testing.T) {
	const clients, maxHeld = 2000, 32 << 20
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in, l := serveOnPipes(t, maxHeld)
		before := heapInUse()
		for i := range clients {
			c := l.connect()
			defer c.Close()
			go func() {
				_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%d\r\n\r\n", i)
				_, _ = c.Read(make([]byte, 1))
			}()
		}
		time.Sleep(clientStallTimeout / 2)
		synctest.Wait()
		runner := in.Directory.Find("a")
		g.Expect(runner.Outstanding()).To(Equal(clients))
		g.Expect(in.options.Held.Used()).To(BeNumerically("<=", maxHeld))
		// The limit covers the buffers, up to maxHeld, and the state of the connections.
		g.Expect(heapInUse()-before).To(BeNumerically("<", 112<<20), "memory of the smallest gateway")
		time.Sleep(clientStallTimeout)
		synctest.Wait()
		g.Expect(runner.Outstanding()).To(BeZero())
		g.Expect(in.options.Held.Used()).To(BeZero())
	})
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}

// A client that reads a little every two seconds is served until its own timeout.
func TestSlowReadingClientIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in, l := serveOnPipes(t, 32<<20)
		c := l.connect()
		defer c.Close()
		go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
		for range 12 {
			_, err := io.CopyN(io.Discard, c, httpd.StallUnit)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(2 * time.Second)
		}
		g.Expect(in.Directory.Find("a").Outstanding()).To(Equal(1))
	})
}

// The write deadline of a response does not end the next one on the same connection.
func TestWriteDeadlineDoesNotAffectNextResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, l := serveOnPipes(t, 32<<20)
		c := l.connect()
		defer c.Close()
		in := bufio.NewReader(c)
		for range 3 {
			go func() { _, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: other\r\n\r\n") }()
			res, err := http.ReadResponse(in, nil)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, res.Body)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(2 * clientStallTimeout)
		}
	})
}

// A client that sends its body at one byte per second is disconnected at its own timeout.
func TestSlowRequestBodyTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in, l := serveOnPipes(t, 32<<20)
		c := l.connect()
		defer c.Close()
		go func() {
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
			for range 200 {
				if _, err := io.WriteString(c, "x"); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}()
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.StatusCode).To(Equal(http.StatusRequestTimeout))
		text, _ := io.ReadAll(res.Body)
		g.Expect(strings.ToLower(string(text))).To(ContainSubstring("bad body"))
		_ = c.Close()
		time.Sleep(2 * time.Second) // The client's next write fails.
		synctest.Wait()
		g.Expect(in.options.Held.Used()).To(BeZero())
	})
}
