package httpd

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// BenchmarkLargeResponse measures a response of 4 MB to a client that reads as fast as it can.
func BenchmarkLargeResponse(b *testing.B) {
	const size = 4 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	part := make([]byte, 4<<10)
	bounds := &Bounds{Connections: 10, Rejected: func(net.Addr, error) {}, Failed: func(err error) { b.Error(err) }}
	server := bounds.Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		out := NewStallWriter(w, 3*time.Second)
		for range size / len(part) {
			_, _ = out.Write(part)
		}
	}))
	go func() { _ = server.Serve(bounds.Listener(l)) }()
	defer server.Close()
	b.SetBytes(size)
	for b.Loop() {
		res, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		n, err := io.Copy(io.Discard, res.Body)
		if err != nil || n != size {
			b.Fatal(n, err)
		}
		_ = res.Body.Close()
	}
}
