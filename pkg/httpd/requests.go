package httpd

import (
	"context"
	"net"
	"net/http"

	"github.com/hopwell/hopwell/pkg/memory"
)

type connKey struct{}

// withConn implements http.Server.ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOfRequest returns the connection of a request; nil for a server without bounds.
func connOfRequest(r *http.Request) *boundedConn {
	b, _ := r.Context().Value(connKey{}).(*boundedConn)
	return b
}

// trackRequests wraps a handler and records on the connections which heads have arrived.
func trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b := connOfRequest(r); b != nil {
			if err := b.beginRequest(r); err != nil {
				b.listener.bounds.Rejected(b.RemoteAddr(), err)
				w.Header().Set("Connection", "close")
				w.Header().Set("Retry-After", noMemoryRetryAfter)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		h.ServeHTTP(w, r)
		// net/http may wait for the rest of the body, which needs no header.
		r.Header = nil
	})
}

// beginRequest records that the head of a request has arrived. Lines that arrived together with an earlier request
// are charged now; it fails with *memory.ErrFull if there is no memory for them.
func (b *boundedConn) beginRequest(r *http.Request) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arriving = false
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	if lines <= max(b.lines, OrdinaryLines) {
		return nil
	}
	return b.head.Resize(b.head.Size() + int64(lines-b.lines)*memory.HeadLineCost)
}

// AdmitHead reports that a handler has charged the head of a request to an account of its own.
func AdmitHead(r *http.Request) {
	if b := connOfRequest(r); b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.head.Release()
	}
}
