package httpd

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a server for clients", func() {
	serve := func(h http.HandlerFunc) string {
		s, err := ListenCallers("127.0.0.1:0", h)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		return "http://" + s.Addr()
	}

	It("lets a client that sends a large body read a response sent before the end of the body", func() {
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadFull(r.Body, make([]byte, 1))
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		})
		for range 5 {
			res, err := http.Post(url, "text/plain", bytes.NewReader(make([]byte, 40<<20)))
			Expect(err).NotTo(HaveOccurred())
			Expect(res.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
			Expect(res.Body.Close()).To(Succeed())
		}
	})

	It("sends short responses with a length and keeps the connection open", func() {
		addresses := map[string]bool{}
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			addresses[r.RemoteAddr] = true
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		})
		for range 3 {
			res, err := http.Post(url, "text/plain", strings.NewReader("abc"))
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("abc"))
			Expect(res.ContentLength).To(BeEquivalentTo(3))
			Expect(res.Body.Close()).To(Succeed())
		}
		Expect(addresses).To(HaveLen(1))
	})
})
