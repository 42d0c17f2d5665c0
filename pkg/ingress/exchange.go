package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/workspace"
)

// exchange is the state of one request while it is served.
type exchange struct {
	g       *Ingress
	w       *httpd.StallWriter
	call    *Call
	route   *routetable.Route
	service string
	arrived time.Time
	// table is the route table that was in force when the request arrived, and version its version.
	// The request is served by it even if a newer one comes into force.
	table   *routetable.Table
	version uint64
	// workspace is the workspace of the request, and key the digest of the key that it was
	// authenticated by; both are unset if no key is required.
	workspace *workspace.Workspace
	key       workspace.Digest
	// sentAhead is set if the client sends requests before it has the responses to earlier ones.
	sentAhead bool
	// cost is what the request was charged on its workspace's quota. life tracks the attempts of
	// the request.
	cost float64
	life *request.Life
	// sends counts the calls that run the request on a runner, without prefills.
	sends int
	// held is what this request uses of Options.Held. A request whose body does not fit is refused: no
	// work has been done for it yet, and its client may retry. A response that does not fit is streamed.
	held memory.Usage
	rank enginepool.Rank
	ctx  context.Context
	// cachedDigest is the digest of the request's content; nil until it is first needed.
	cachedDigest *quarantine.Digest
	// probing is the quarantined set of parts that the request was let through for; 0 for none.
	probing quarantine.SetID
	// software is the only software version at which the request may run: that at which the stream
	// began which it resumes; empty for any.
	software string
	// announced is the origin of the request's own stream that was last announced to other gateways; nil
	// for none.
	announced *resume.Origin
	// plain is the state of a stream of plain runners.
	plain plainStream
	// end is what marked the end of the last response that counted as complete.
	end responseEnd
	// fields are added to the request's final log line.
	fields []decisionlog.Field
}

// accept parses the request, finds its route, authenticates it and reads its body.
func (x *exchange) accept(r *http.Request) error {
	if err := x.admitHead(r); err != nil {
		return err
	}
	x.sentAhead = httpd.SentAhead(r)
	call, err := x.g.options.Reader.Read(r)
	x.call = call
	table := x.g.table.Load()
	if !x.g.informed() {
		return &ErrNotReady{Why: "no routes or no runners known yet"}
	}
	if err != nil {
		return err
	}
	x.table, x.version = table, table.Config.Version
	x.route = table.Match(call.Host, call.Path)
	if x.route == nil {
		return &ErrNoRoute{Host: call.Host, Path: call.Path, Version: x.version}
	}
	if err := x.identify(); err != nil {
		return err
	}
	x.service = x.pickService()
	if x.g.drain.begun() && x.g.drain.refuses(x.arrived, x.route.Kind == routetable.Stream, x.drainNeed(x.arrived)) {
		return &ErrNotReady{Why: "stopping"}
	}
	if err := x.readBody(r, table.Config.Limits.BodyBytes); err != nil {
		return err
	}
	return x.checkQuarantine()
}

// readBody reads the whole body into memory, since it may be sent more than once.
func (x *exchange) readBody(r *http.Request, limit int64) error {
	if r.ContentLength > limit {
		return &ErrBody{Limit: limit, TooLarge: true}
	}
	if err := httpd.Admit(r); err != nil {
		return err
	}
	if r.ContentLength == 0 {
		return nil
	}
	allowed := x.call.Timeout
	if allowed <= 0 {
		allowed = x.route.Timeout
	}
	if allowed > 0 {
		defer x.limitBodyTime(allowed)()
	}
	if r.ContentLength > 0 {
		return x.readSizedBody(r, limit)
	}
	return x.readChunkedBody(r, limit)
}

// readSizedBody reads a body whose length is known.
func (x *exchange) readSizedBody(r *http.Request, limit int64) error {
	if err := x.held.Grow(r.ContentLength); err != nil {
		return err
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return &ErrBody{Limit: limit, Err: err}
	}
	x.call.Body = body
	return nil
}

// readChunkedBody reads a body whose length shows only at its end. Trailers are dropped, since nothing
// forwards them.
func (x *exchange) readChunkedBody(r *http.Request, limit int64) error {
	data, _, err := memory.ReadUpTo(r.Body, limit+1, x.held.GrowOrRelease)
	r.Trailer = nil
	var full *memory.ErrFull
	switch {
	case errors.As(err, &full):
		return full
	case err != nil:
		return &ErrBody{Limit: limit, Err: err}
	case data.Len() > limit:
		return &ErrBody{Limit: limit, TooLarge: true}
	}
	x.call.Body = data.Join()
	return nil
}

// allowedTime returns the client's time limit or that of the route, whichever is shorter, and whose it is; 0 for none.
func (x *exchange) allowedTime() (limit time.Duration, setBy string) {
	if x.call.Timeout > 0 && (x.route.Timeout <= 0 || x.call.Timeout < x.route.Timeout) {
		return x.call.Timeout, "client"
	}
	return x.route.Timeout, "route"
}

// withDeadline returns a context that ends at the client's time limit, the route's or that of the
// drain, whichever is first.
func (x *exchange) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	limit, setBy := x.allowedTime()
	if left := x.g.drain.bound(x.arrived, limit); left != limit {
		limit, setBy = left, "drain"
	}
	if limit <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadlineCause(ctx, x.arrived.Add(limit), &ErrTimeout{After: limit, SetBy: setBy})
}

// timeLeft returns the time until the request's deadline; 0 without a deadline.
func (x *exchange) timeLeft() time.Duration {
	end, ok := x.ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(end), time.Millisecond)
}

// endReason returns why the request has to end now: *ErrTimeout or errClientGone, nil if neither
// applies.
func (x *exchange) endReason() error {
	if x.ctx.Err() == nil {
		return nil
	}
	var timed *ErrTimeout
	if errors.As(context.Cause(x.ctx), &timed) {
		return timed
	}
	return errClientGone{}
}
