package httpd

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against clients that are taken for ones that send ahead because their next request comes soon, and against
// ones that send ahead and are not recognized.
func TestRequestsSentAheadAreRecognized(t *testing.T) {
	const one = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := serveBounded(t, 10)
		for _, c := range []struct {
			together int
			ahead    []bool
		}{{1, []bool{false, false, false}}, {3, []bool{true, true, true}}} {
			conn := s.connect()
			in := bufio.NewReader(conn)
			for n, ahead := range c.ahead {
				if n%c.together == 0 {
					text := ""
					for range c.together {
						text += one
					}
					go func() { _, _ = io.WriteString(conn, text) }()
				}
				res, err := http.ReadResponse(in, nil)
				g.Expect(err).NotTo(HaveOccurred())
				_, err = io.Copy(io.Discard, res.Body)
				g.Expect(err).NotTo(HaveOccurred())
				synctest.Wait()
				g.Expect(res.Header.Get("Sent-Ahead") != "").To(Equal(ahead), "request %d of %d", n, c.together)
			}
			_ = conn.Close()
		}
		time.Sleep(time.Minute)
	})
}
