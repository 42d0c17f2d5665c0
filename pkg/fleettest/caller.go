package fleettest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/platform"
)

// Call is one request as its client observed it.
type Call struct {
	ID      string
	Gateway string
	// Exactly one of Request and Service is set.
	Request *gateway.Request
	Service *gateway.ServiceRequest
	// Began and Ended are the start and the end of the call. Left is the time when
	// the client disconnected, zero if it did not.
	Began, Ended, Left time.Time
	// Result is the result that the gateway returned. If Lost is set, the client
	// did not receive it because the gateway had crashed.
	Result gateway.Result
	Lost   bool
	// Text is the text that the client received, Answers the number of complete
	// responses.
	Text    string
	Answers int
}

// sink collects the text that the client receives. A crashed gateway delivers
// nothing.
type sink struct {
	text    strings.Builder
	crashed func() bool
}

// Text implements gateway.Sink.
func (s *sink) Text(text string, _ int) error {
	if s.crashed() {
		return &errNetwork{What: "gateway crashed"}
	}
	s.text.WriteString(text)
	return nil
}

// Head implements gateway.ServiceSink.
func (s *sink) Head(int, http.Header) {}

// Body implements gateway.ServiceSink.
func (s *sink) Body(p []byte) error { return s.Text(string(p), 0) }

// Generate sends a request to a gateway and waits for its end.
func (f *Fleet) Generate(ctx context.Context, p *Process, req *gateway.Request) *Call {
	return f.call(ctx, p, &Call{ID: req.ID, Request: req}, func(ctx context.Context, s *sink) gateway.Result {
		return p.Gateway.Generate(ctx, req, s)
	})
}

// Order sends a request for a plain service, such as the order confirmation of
// NewOrder, to a gateway and waits for its end.
func (f *Fleet) Order(ctx context.Context, p *Process, req *gateway.ServiceRequest) *Call {
	return f.call(ctx, p, &Call{ID: req.ID, Service: req}, func(ctx context.Context, s *sink) gateway.Result {
		return p.Gateway.Call(ctx, req, s)
	})
}

func (f *Fleet) call(ctx context.Context, p *Process, c *Call, do func(context.Context, *sink) gateway.Result) *Call {
	s := &sink{crashed: p.crashed.Load}
	c.Gateway, c.Began = p.Entry.Name, time.Now()
	left := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		c.Left = time.Now()
		close(left)
	})
	c.Result = do(ctx, s)
	if !stop() {
		<-left
	}
	c.Ended, c.Text, c.Lost = time.Now(), s.text.String(), p.crashed.Load()
	if !c.Lost {
		c.Answers++
	}
	return c
}

// NewOrder returns an order confirmation, which must not be repeated.
func NewOrder(id, key string) *gateway.ServiceRequest {
	return &gateway.ServiceRequest{
		ID: id, Workspace: "counter", Kind: "order", Service: Service, Method: http.MethodPost,
		Path: "/confirm", Header: http.Header{}, Body: []byte("order " + key), Key: key, NotRepeatable: true,
	}
}

// NewRequest returns a generation request whose prompt has about promptTokens
// tokens, at 4 bytes a token, and is unique to its ID.
func NewRequest(id string, promptTokens, maxTokens int) *gateway.Request {
	unique := fmt.Sprintf(" the end of %s.", id)
	return &gateway.Request{
		ID: id, Workspace: "team", Kind: "text", Model: Model, MaxTokens: maxTokens,
		Prompt: id + strings.Repeat(" hull", max(0, promptTokens*4-len(unique)-len(id))/5) + unique,
	}
}

// Gateway returns the live gateway with index i modulo their number.
func (f *Fleet) Gateway(i int) *Process {
	live := f.Live(platform.RoleGateway)
	return live[i%len(live)]
}
