package httpd

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout limits the time that a client may take to send a request's header.
	headerTimeout = 10 * time.Second
	// stallTimeout is how long a client may leave a response unread before its
	// connection is closed.
	stallTimeout = 10 * time.Second
	// maxDiscard limits what is read and discarded of a request body that the handler
	// did not read, in bytes. Discarding it lets the client read the response before
	// the connection closes.
	maxDiscard = 64 << 20
	// discardTimeout limits the time to discard a body.
	discardTimeout = 5 * time.Second
)

// ListenCallers serves clients (the callers of the settings) with net/http, the closest
// equivalent of nbhttp, instead of with nbhttp itself. nbhttp reads the whole body before it calls the handler, and closes the connection if the body
// is too large, so that the client gets a reset instead of a response. With net/http the
// handler decides how much to read, and the rest of the body is discarded after the
// response, up to maxDiscard.
func ListenCallers(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ErrListen{Address: address, Err: err}
	}
	handle := func(w http.ResponseWriter, r *http.Request) {
		body := &trackedBody{ReadCloser: r.Body, sawEOF: r.Body == http.NoBody}
		r.Body = body
		h.ServeHTTP(NewStallWriter(w, stallTimeout), r)
		if !body.sawEOF {
			DiscardBody(w, body)
		}
	}
	server := &http.Server{Handler: http.HandlerFunc(handle), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: MaxHead}
	go func() { _ = server.Serve(l) }()
	return &Server{listener: l, stop: func() { _ = server.Close() }}, nil
}

// DiscardBody flushes the response and then reads and discards the rest of the request's
// body. Otherwise the connection would be closed with unread data, which resets it before
// the client has read the response.
func DiscardBody(w http.ResponseWriter, body io.Reader) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDiscard))
}

// trackedBody records whether a body has been read to its end.
type trackedBody struct {
	io.ReadCloser
	sawEOF bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.sawEOF = b.sawEOF || errors.Is(err, io.EOF)
	return n, err
}
