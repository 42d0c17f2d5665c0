package ingress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/workspace"
)

// exchange is one request while it is served.
type exchange struct {
	g       *Ingress
	w       *httpd.StallWriter
	call    *Call
	route   *routetable.Route
	service string
	arrived time.Time
	// table is the one that the request is served by, whatever comes into force
	// meanwhile, and version its version.
	table   *routetable.Table
	version uint64
	// workspace is the one that the request is for, key what proved it; nil where no key
	// is asked for.
	workspace *workspace.Workspace
	key       workspace.Digest
	// cost is what was taken from the workspace's limit, life what became of the request.
	cost float64
	life *request.Life
	// sends counts the sends to runners, prefills not.
	sends int
	// bufferedBytes is what its body and its answer take of the memory for what is held for
	// others.
	bufferedBytes int64
	rank          enginepool.Rank
	ctx           context.Context
	// asked is the digest of what the request asks, once it was needed.
	cachedDigest *quarantine.Digest
	// fields are what the final line tells besides the outcome.
	fields []decisionlog.Field
}

// accept finds the route and reads the body.
func (x *exchange) accept(r *http.Request) error {
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
	x.service = x.route.Pick(rand.Float64())
	if err := x.identify(); err != nil {
		return err
	}
	if x.g.drain.refuses(x.arrived, x.route.Kind == routetable.Stream) {
		return &ErrNotReady{Why: "stopping"}
	}
	if err := x.readBody(r, table.Config.Limits.BodyBytes); err != nil {
		return err
	}
	return x.checkQuarantine()
}

// readBody reads the body whole, since it may be sent more than once.
func (x *exchange) readBody(r *http.Request, limit int64) error {
	if r.ContentLength > limit {
		return &ErrBody{Limit: limit, TooLarge: true}
	}
	if r.ContentLength == 0 {
		return nil
	}
	share := r.ContentLength
	if share < 0 {
		share = 64 << 10
	}
	if !x.reserveMemory(share) {
		return &ErrBusy{What: "bytes held for clients and runners", Limit: int(x.g.options.MaxHeld)}
	}
	allowed := x.call.Patience
	if allowed <= 0 {
		allowed = x.route.Timeout
	}
	if allowed > 0 {
		defer x.limitBodyTime(allowed)()
	}
	var err error
	if r.ContentLength > 0 {
		x.call.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, x.call.Body)
	} else {
		x.call.Body, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
	}
	if err != nil {
		return &ErrBody{Limit: limit, Err: err}
	}
	if int64(len(x.call.Body)) > limit {
		return &ErrBody{Limit: limit, TooLarge: true}
	}
	x.reserveMemory(int64(len(x.call.Body)) - share)
	return nil
}

// reserveMemory takes memory for what is held for a client or a runner. Where there is none left, new
// bodies are refused first: nothing was done for them yet, and their clients may come back.
func (x *exchange) reserveMemory(n int64) bool {
	if x.g.bufferedBytes.Add(n) > x.g.options.MaxHeld && n > 0 {
		x.g.bufferedBytes.Add(-n)
		return false
	}
	x.bufferedBytes += n
	return true
}

// bound gives the request's context its end: that of the client's patience or of
// the route's time, whichever is first.
func (x *exchange) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	limit, whose := x.route.Timeout, "route"
	if x.call.Patience > 0 && (limit <= 0 || x.call.Patience < limit) {
		limit, whose = x.call.Patience, "client"
	}
	if left := x.g.drain.bound(x.arrived, limit); left != limit {
		limit, whose = left, "drain"
	}
	if limit <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadlineCause(ctx, x.arrived.Add(limit), &ErrTimeout{After: limit, SetBy: whose})
}

// left returns the time that the request still has.
func (x *exchange) timeLeft() time.Duration {
	end, ok := x.ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(end), time.Millisecond)
}

// over returns why the request must end now, nil if it need not.
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
