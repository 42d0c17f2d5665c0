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

var _ = Describe("a caller that goes away", func() {
	// serve runs a handler that reports how its request's context ended.
	serve := func(before func(http.ResponseWriter)) (*Server, chan time.Duration) {
		ended := make(chan time.Duration, 1)
		s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			before(w)
			began := time.Now()
			select {
			case <-r.Context().Done():
				ended <- time.Since(began)
			case <-time.After(20 * time.Second):
			}
		}), 1<<20)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		return s, ended
	}
	call := func(s *Server) net.Conn {
		c, err := net.Dial("tcp", s.Addr())
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"))
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	It("ends the request's context while it waits for its first byte", func() {
		s, ended := serve(func(http.ResponseWriter) {})
		c := call(s)
		time.Sleep(100 * time.Millisecond)
		Expect(c.Close()).To(Succeed())
		Eventually(ended).WithTimeout(15 * time.Second).Should(Receive())
	})

	It("ends the request's context in the middle of its answer", func() {
		s, ended := serve(func(w http.ResponseWriter) {
			_, _ = w.Write([]byte("data: x\n\n"))
			w.(http.Flusher).Flush()
		})
		c := call(s)
		_, err := c.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Close()).To(Succeed())
		Eventually(ended).WithTimeout(15 * time.Second).Should(Receive())
	})
})
