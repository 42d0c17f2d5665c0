package engine

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/hopwell/hopwell/pkg/upstream"
)

// serviceConnectTimeout limits the time to open a connection to a plain service, which runs on the same instance.
const serviceConnectTimeout = 5 * time.Second

// ErrHeader reports a header of a request that can't be sent. Its value may be secret.
type ErrHeader struct {
	Name string
}

// Error implements error.
func (e *ErrHeader) Error() string { return fmt.Sprintf("invalid header: name=%q", e.Name) }

// ServiceClient calls a plain service. It never sends a call twice.
type ServiceClient struct {
	address string
	client  *upstream.Client
}

// NewServiceClient returns a client for the service at a base URL. Each call has a connection of its own.
func NewServiceClient(base string) (*ServiceClient, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, &ErrUnreachable{Address: base, Err: err}
	}
	port, options := "80", upstream.Options{ConnectTimeout: serviceConnectTimeout}
	if u.Scheme == "https" {
		port, options.Dial = "443", (&tls.Dialer{}).DialContext
	}
	address := u.Host
	if u.Port() == "" {
		address = net.JoinHostPort(u.Hostname(), port)
	}
	return &ServiceClient{address: address, client: upstream.New(options)}, nil
}

// Call implements Service.
func (s *ServiceClient) Call(ctx context.Context, r *http.Request) (*http.Response, error) {
	request, err := s.request(r)
	if err != nil {
		return nil, &ErrUnreachable{Address: s.address, Err: err}
	}
	res, err := s.client.Do(ctx, s.address, request)
	if err != nil {
		var unsent *upstream.ErrDial
		return nil, &ErrUnreachable{Address: s.address, Sent: !errors.As(err, &unsent), Err: err}
	}
	out := *res.Response
	out.Body = res
	if out.StatusCode < http.StatusMultipleChoices && res.CloseDelimited() {
		out.Body = &nonEmptyBody{ReadCloser: res}
	}
	return &out, nil
}

// setByClient lists the headers that the client sets itself.
var setByClient = []string{"Connection", "Content-Length", "Host", "Transfer-Encoding", "Trailer"}

// request returns the upstream request for a call. It fails with *ErrHeader for a header that would be read as several
// lines or as another one.
func (s *ServiceClient) request(r *http.Request) (*upstream.Request, error) {
	header := http.Header{"Connection": {"close"}}
	for name, values := range r.Header {
		if slices.ContainsFunc(setByClient, func(own string) bool { return strings.EqualFold(own, name) }) {
			continue
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
				return nil, &ErrHeader{Name: name}
			}
		}
		header[name] = values
	}
	out := &upstream.Request{Method: r.Method, Target: r.URL.RequestURI(), Host: s.address, Header: header}
	if r.Body == nil {
		return out, nil
	}
	var err error
	out.Body, err = io.ReadAll(r.Body)
	return out, err
}

// nonEmptyBody is the body of a success that ends with its connection. It fails with io.ErrUnexpectedEOF if it ends
// before its first byte: a service that has nothing to send states a length of 0.
type nonEmptyBody struct {
	io.ReadCloser
	begun bool
}

// Read implements io.Reader.
func (b *nonEmptyBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.begun = b.begun || n > 0
	if !b.begun && errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
