package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// statusOf returns the status of the response that arrives on a connection, 0 for none.
func statusOf(c net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

// Guards against bodies in chunks, each within the operators' limit, that take more memory than all
// bodies may: their lengths show only at their ends.
func TestUnfinishedChunkedBodiesStayInTheirShare(t *testing.T) {
	const clients, maxHeld, bodyBytes = 100, 8 << 20, 1 << 20
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in, l := serveOnPipes(t, maxHeld)
		before := int64(heapInUse())
		var refused atomic.Int64
		var conns []net.Conn
		for range clients {
			c := l.connect()
			conns = append(conns, c)
			go func() {
				if statusOf(c) == http.StatusServiceUnavailable {
					refused.Add(1)
				}
			}()
			go func() {
				_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
				chunk := fmt.Sprintf("%x\r\n%s\r\n", 8192, strings.Repeat("x", 8192))
				for range bodyBytes/8192 - 1 {
					if _, err := io.WriteString(c, chunk); err != nil {
						return
					}
				}
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		held := in.options.Held.Used()
		g.Expect(held).To(And(BeNumerically(">", 3*maxHeld/4), BeNumerically("<=", maxHeld)), "no more bodies are refused than have to be")
		g.Expect(refused.Load()).To(BeNumerically(">=", clients-maxHeld/(bodyBytes/2)))
		// A buffer that grows is copied, and connections take memory too.
		g.Expect(int64(heapInUse()) - before).To(BeNumerically("<", 3*maxHeld))
		for _, c := range conns {
			_ = c.Close()
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(in.options.Held.Used()).To(BeZero())
	})
}

// A body in chunks that fits is read whole, and one above the operators' limit gets 413.
func TestChunkedBodyIsReadUpToTheLimit(t *testing.T) {
	for _, c := range []struct {
		size, status int
	}{{0, http.StatusOK}, {100 << 10, http.StatusOK}, {1 << 20, http.StatusOK}, {1<<20 + 1, http.StatusRequestEntityTooLarge}, {3 << 20, http.StatusRequestEntityTooLarge}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			in, l := serveOnPipes(t, 32<<20)
			conn := l.connect()
			go func() {
				r, _ := http.NewRequest(http.MethodPost, "http://h/", io.MultiReader(strings.NewReader(strings.Repeat("x", c.size))))
				r.Trailer = http.Header{"A": {"b"}}
				_ = r.Write(conn)
			}()
			g.Expect(statusOf(conn)).To(Equal(c.status), "%d", c.size)
			_ = conn.Close()
			time.Sleep(2 * clientStallTimeout)
			synctest.Wait()
			g.Expect(in.options.Held.Used()).To(BeZero())
		})
	}
}

// Guards against rejected bodies that use the memory for buffers while the rest of them is discarded.
func TestRejectedBodyReleasesMemoryAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in, l := serveOnPipes(t, 32<<20)
		c := l.connect()
		go func() {
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			chunk := fmt.Sprintf("%x\r\n%s\r\n", 8192, strings.Repeat("x", 8192))
			for range 200 {
				if _, err := io.WriteString(c, chunk); err != nil {
					return
				}
			}
		}()
		g.Expect(statusOf(c)).To(Equal(http.StatusRequestEntityTooLarge))
		synctest.Wait()
		g.Expect(in.options.Held.Used()).To(BeZero(), "the rest of the body has not arrived")
		_ = c.Close()
		time.Sleep(time.Minute)
	})
}
