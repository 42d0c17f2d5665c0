package httpapi

import (
	"net/http"

	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/request"
)

// hopHeaders are hop-by-hop headers: they apply to one connection and are not
// forwarded (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// service forwards a request to a plain service: /services/NAME/PATH becomes /PATH.
func (a *API) service(w http.ResponseWriter, r *http.Request) {
	c, err := a.identify(r)
	var body []byte
	if err == nil {
		body, err = readBody(r)
	}
	if err != nil {
		writeError(w, c.id, err)
		return
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := endToEnd(r.Header)
	header.Set(HeaderRequest, c.id)
	if c.authenticated {
		header.Del("Authorization")
		header.Set(HeaderWorkspace, c.workspace)
	}
	s := &serviceSink{w: w, id: c.id}
	res := a.g.Call(r.Context(), &gateway.ServiceRequest{
		ID: c.id, Workspace: c.workspace, Kind: c.kind, Service: r.PathValue("name"),
		Method: r.Method, Path: path, Header: header, Body: body,
		Key: c.idempotencyKey, NotRepeatable: c.notRepeatable,
	}, s)
	s.end(&res)
}

// endToEnd returns a copy of the headers that are forwarded: without the
// hop-by-hop headers and Content-Length.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}

// serviceSink writes a service's response. It buffers the body and sends it when
// it is complete, so that a client never mistakes a truncated body for a
// complete one.
type serviceSink struct {
	w      http.ResponseWriter
	id     string
	status int
	header http.Header
	body   []byte
}

// Head implements gateway.ServiceSink.
func (s *serviceSink) Head(status int, header http.Header) {
	s.status, s.header, s.body = status, endToEnd(header), nil
}

// Body implements gateway.ServiceSink.
func (s *serviceSink) Body(p []byte) error {
	s.body = append(s.body, p...)
	return nil
}

func (s *serviceSink) end(res *gateway.Result) {
	if res.Err != nil {
		writeErrorResponse(s.w, describe(s.id, res.Err, res.Outcome))
		return
	}
	for name, values := range s.header {
		s.w.Header()[name] = values
	}
	s.w.Header().Set(HeaderRequest, s.id)
	s.w.Header().Set(HeaderOutcome, string(request.Done))
	s.w.WriteHeader(s.status)
	_, _ = s.w.Write(s.body)
}
