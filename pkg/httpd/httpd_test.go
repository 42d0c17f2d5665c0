package httpd

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/spectest"
)

func TestHTTPD(t *testing.T) { spectest.Run(t, "httpd") }

var _ = Describe("a client that disconnects", func() {
	// serve starts a server whose handler sends to the returned channel how long it took until
	// the request's context was cancelled.
	serve := func(write func(http.ResponseWriter)) (*Server, chan time.Duration) {
		cancelled := make(chan time.Duration, 1)
		s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			write(w)
			started := time.Now()
			select {
			case <-r.Context().Done():
				cancelled <- time.Since(started)
			case <-time.After(20 * time.Second):
			}
		}), 1<<20)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		return s, cancelled
	}
	sendRequest := func(s *Server) net.Conn {
		c, err := net.Dial("tcp", s.Addr())
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"))
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	It("cancels the request's context before the first byte of the response", func() {
		s, cancelled := serve(func(http.ResponseWriter) {})
		c := sendRequest(s)
		time.Sleep(100 * time.Millisecond)
		Expect(c.Close()).To(Succeed())
		Eventually(cancelled).WithTimeout(15 * time.Second).Should(Receive())
	})

	It("cancels the request's context in the middle of the response", func() {
		s, cancelled := serve(func(w http.ResponseWriter) {
			_, _ = w.Write([]byte("data: x\n\n"))
			w.(http.Flusher).Flush()
		})
		c := sendRequest(s)
		_, err := c.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Close()).To(Succeed())
		Eventually(cancelled).WithTimeout(15 * time.Second).Should(Receive())
	})
})
