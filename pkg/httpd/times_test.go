package httpd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against limits for heads and rests that are not those of the operators, who may change them at any time.
func TestTimesForHeadsAndRestsAreThoseInForce(t *testing.T) {
	const head, idle = 20 * time.Second, 90 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := make(pipes)
		factor := time.Duration(1)
		bounds := &Bounds{Connections: 10, Rejected: func(net.Addr, error) {}, Times: func() (time.Duration, time.Duration) { return factor * head, factor * idle }}
		server := bounds.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
		}))
		go func() { _ = server.Serve(bounds.Listener(l)) }()
		// ask sends the two parts of a request with pauses before and between them, and reports whether it is served.
		ask := func(c net.Conn, rest, pause time.Duration) bool {
			time.Sleep(rest)
			go func() {
				_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n")
				time.Sleep(pause)
				_, _ = io.WriteString(c, "Content-Length: 1\r\n\r\nx")
			}()
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			return err == nil && res.StatusCode == http.StatusOK
		}
		for _, factor = range []time.Duration{1, 3, 1} {
			kept := l.connect()
			g.Expect(ask(kept, 0, factor*head-time.Second)).To(BeTrue())
			g.Expect(ask(kept, factor*idle-time.Second, factor*head-time.Second)).To(BeTrue())
			g.Expect(ask(kept, factor*idle+time.Second, 0)).To(BeFalse())
			slow := l.connect()
			g.Expect(ask(slow, 0, factor*head+time.Second)).To(BeFalse())
			time.Sleep(time.Minute)
			_, _ = kept.Close(), slow.Close()
		}
		close(l)
		_ = server.Close()
	})
}
