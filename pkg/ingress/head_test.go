package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/memory"
)

// Guards against request heads that take memory as long as their requests are served, and against
// ordinary ones that are refused because of them.
func TestLargeRequestHeadsStayInTheirShare(t *testing.T) {
	const clients, maxHeld = 300, 8 << 20
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in, l := serveOnPipes(t, maxHeld)
		head := strings.Repeat("A: "+strings.Repeat("x", 400)+"\r\n", 100)
		served, refused := 0, 0
		var conns []net.Conn
		request := func(lines string) int {
			c := l.connect()
			conns = append(conns, c)
			go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+lines+"\r\n") }()
			return statusOf(c)
		}
		for range clients {
			switch request(head) {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				refused++
			}
			g.Expect(in.options.Held.Used()).To(BeNumerically("<=", maxHeld))
		}
		g.Expect(served).To(BeNumerically(">", 0))
		g.Expect(refused).To(BeNumerically(">", clients/2))
		g.Expect(request("X-Request-Id: a\r\n")).To(Equal(http.StatusOK))
		for _, c := range conns {
			_ = c.Close()
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(in.options.Held.Used()).To(BeZero())
	})
}

// Guards against requests of legal size that are refused for the number of their header lines.
func TestRequestWithManyShortHeaderLinesIsServed(t *testing.T) {
	for _, lines := range []int{128, 500, 4000} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			_, l := serveOnPipes(t, 8<<20)
			c := l.connect()
			go func() {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A:\r\n", lines)+"\r\n")
			}()
			g.Expect(statusOf(c)).To(Equal(http.StatusOK), "%d", lines)
			_ = c.Close()
			time.Sleep(time.Minute)
		})
	}
}

// Guards against resumed streams whose first response had a large header: together they take all memory.
func TestHeadersOfResumedStreamsStayInTheirShare(t *testing.T) {
	const maxHeld, streams = 1 << 20, 100
	g := NewWithT(t)
	held := memory.NewAccount("held", maxHeld)
	header := http.Header{"Content-Type": {"text/event-stream"}, "X-Large": {strings.Repeat("x", 30<<10)}}
	resumed := 0
	var open []*relay
	for range streams {
		r := &relay{s: &generation{exchange: &exchange{held: memory.Usage{Account: held}}}, headerCost: sentHeaderCost(header)}
		err := r.holdHeader()
		if err == nil {
			resumed++
			g.Expect(r.holdHeader()).To(Succeed())
			open = append(open, r)
			continue
		}
		var full *memory.ErrFull
		g.Expect(errors.As(err, &full)).To(BeTrue(), "%v", err)
	}
	g.Expect(held.Used()).To(BeNumerically("<=", maxHeld))
	g.Expect(resumed).To(And(BeNumerically(">=", 10), BeNumerically("<=", maxHeld/(30<<10))))
	ordinary := &relay{s: &generation{exchange: &exchange{held: memory.Usage{Account: held}}}, headerCost: sentHeaderCost(http.Header{"Content-Type": {"text/event-stream"}})}
	g.Expect(ordinary.holdHeader()).To(Succeed(), "a header of ordinary size")
	for _, r := range open {
		r.s.held.Release()
	}
	g.Expect(held.Used()).To(BeZero())
}
