package httpd

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// headerTime is how long a caller may take to send a request's header.
	headerTime = 10 * time.Second
	// stallTime is how long a caller may leave an answer unread before its
	// connection is closed.
	stallTime = 10 * time.Second
	// maxDiscard bounds what is read of a body that is too large, so that the
	// caller reads the answer before the connection ends, in bytes.
	maxDiscard = 64 << 20
	// discardTime bounds the time for that.
	discardTime = 5 * time.Second
)

// ListenCallers serves a handler with net/http, the nearest kin of nbhttp. nbhttp
// reads a body whole before its handler runs, and closes the connection of one that
// is too large: its caller gets a reset in place of an answer. Here the handler
// decides, and what it left of the body is read up to a bound after its answer.
func ListenCallers(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ErrListen{Address: address, Err: err}
	}
	answer := func(w http.ResponseWriter, r *http.Request) {
		body := &trackedBody{ReadCloser: r.Body, ended: r.Body == http.NoBody}
		r.Body = body
		h.ServeHTTP(NewStallWriter(w, stallTime), r)
		if !body.ended {
			DiscardBody(w, body)
		}
	}
	server := &http.Server{Handler: http.HandlerFunc(answer), ReadHeaderTimeout: headerTime, IdleTimeout: keepalive}
	go func() { _ = server.Serve(l) }()
	return &Server{listener: l, stop: func() { _ = server.Close() }}, nil
}

// DiscardBody sends the answer on its way and reads what is left of the request's body.
// Without it the connection would end with data unread, which resets it before the
// caller has read the answer.
func DiscardBody(w http.ResponseWriter, body io.Reader) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDiscard))
}

// trackedBody notes when a body has been read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}
