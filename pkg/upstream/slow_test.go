package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// sendToReader sends a body to a runner that handles its end of the connection with read. It
// returns the duration of the exchange and its error.
func sendToReader(body []byte, read func(c net.Conn)) (time.Duration, error) {
	c := New(Options{ConnectTimeout: time.Second, DefaultKeepAlive: time.Minute, MaxIdle: 1, Dial: func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		go read(there)
		return here, nil
	}})
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	began := time.Now()
	res, err := c.Do(ctx, "runner", &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: body})
	if err == nil {
		_, err = io.ReadAll(res)
		_ = res.Close()
	}
	took := time.Since(began)
	time.Sleep(time.Hour) // Lets read see that its connection was closed.
	c.CloseIdle("")
	return took, err
}

// Guards against a body that stays in memory while its runner reads one byte per second, and against an error that
// does not say so.
func TestStalledBodyWriteFails(t *testing.T) {
	for _, size := range []int{1000, 200 << 10} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			took, err := sendToReader(make([]byte, size), func(c net.Conn) {
				_, _ = c.Read(make([]byte, 1000)) // The head.
				for {
					if _, err := c.Read(make([]byte, 1)); err != nil {
						return
					}
					time.Sleep(time.Second)
				}
			})
			var stalled *ErrStalled
			g.Expect(err).To(BeAssignableToTypeOf(&ErrExchange{}))
			g.Expect(errors.As(err, &stalled)).To(BeTrue(), "%v", err)
			g.Expect(took).To(BeNumerically("<=", 2*writeTimeout))
		})
	}
}

// A runner that reads 32 KB of a long body every two seconds is slow, not stalled.
func TestSlowBodyWriteSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		took, err := sendToReader(make([]byte, 200<<10), func(c net.Conn) {
			in := bufio.NewReader(c)
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			for {
				time.Sleep(2 * time.Second)
				if _, err := io.CopyN(io.Discard, r.Body, inlineBody); err != nil {
					break
				}
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(took).To(BeNumerically(">", writeTimeout))
	})
}

// A runner may start its response before it reads the body. A body write that stalls must not
// cut off the response.
func TestResponseBeforeBodyIsReadIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, err := sendToReader(make([]byte, 200<<10), func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
			time.Sleep(2 * writeTimeout)
			_, _ = io.WriteString(c, "ok")
		})
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against a runner that reads a body slowly, many times faster than inlineBody in writeTimeout, and counts as
// stalled because the kernel takes more only once a third of its buffer is free.
func TestRunnerThatReadsABodySlowlyIsNotStalled(t *testing.T) {
	g := NewWithT(t)
	const size = 24 << 20
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		for began := time.Now(); time.Since(began) < 2*writeTimeout; time.Sleep(100 * time.Millisecond) {
			_, _ = io.CopyN(io.Discard, q.Body, inlineBody)
		}
		n, err := io.Copy(io.Discard, q.Body)
		if err == nil && n > 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	c := newClient()
	defer c.CloseIdle("")
	res, err := c.Do(t.Context(), s.address, &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, size)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.StatusCode).To(Equal(http.StatusOK))
	_ = res.Close()
}
