package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// ServiceRequest is one request to a plain service.
type ServiceRequest struct {
	// ID is unique. The gateway generates it.
	ID string
	// Workspace is the tenant, Kind the kind of request, Service the name of the service.
	Workspace, Kind, Service string
	// Method, Path, Header and Body are those of the client's HTTP request.
	Method, Path string
	Header       http.Header
	Body         []byte
	// Key is the client's idempotency key, or empty.
	Key string
	// NotRepeatable is set by the client. A selector can set it too.
	NotRepeatable bool
}

// ServiceSink receives the response of a service. It is called from one goroutine.
type ServiceSink interface {
	// Head receives the status and headers, once, before any Body.
	Head(status int, header http.Header)
	// Body receives the next bytes. An error means that the client disconnected.
	Body(p []byte) error
}

// maxServiceAttempts limits the attempts of one request, each on another runner.
const maxServiceAttempts = 4

// serviceRun is one request to a plain service with all its attempts.
type serviceRun struct {
	g          *Gateway
	req        *ServiceRequest
	sink       ServiceSink
	selector   *fleet.Selector
	life       *request.Life
	excluded   map[string]bool
	key        *keyClaim
	headSent   bool
	retryAfter time.Duration
}

// Call runs a request to a plain service until it has an outcome.
func (g *Gateway) Call(ctx context.Context, req *ServiceRequest, sink ServiceSink) Result {
	asRequest := &Request{ID: req.ID, Workspace: req.Workspace, Kind: req.Kind, Model: req.Service, Key: req.Key}
	sel := g.Keeper.Document().Offer(req.Kind, req.Service, fleet.RoleServe)
	if sel == nil {
		return g.reject(asRequest, &ErrUnknownModel{Model: req.Service, Kind: req.Kind})
	}
	if err := g.charge(asRequest, 0, 0); err != nil {
		return g.reject(asRequest, err)
	}
	if err := g.limits.Enter(req.Workspace); err != nil {
		return g.reject(asRequest, err)
	}
	defer g.limits.Leave(req.Workspace)
	g.budget.earn()
	g.Log.Add(trace.Event{Type: trace.Received, Request: req.ID, Detail: "service=" + req.Service})
	r := &serviceRun{
		g: g, req: req, sink: sink, selector: sel, excluded: map[string]bool{},
		life: request.NewLife(req.ID, repeatable(req, sel)),
		key:  g.newKeyClaim(req.Workspace, req.Key, req.ID, !req.NotRepeatable && !sel.NotRepeatable),
	}
	began := time.Now()
	err := r.loop(ctx)
	res := Result{Outcome: r.life.Outcome(), Err: err, Attempts: r.life.Attempts(), RetryAfter: r.retryAfter}
	// For plain services, FirstToken holds the total time of the request.
	res.FirstToken = time.Since(began)
	res.TargetFirst, res.TargetPer = sel.Targets()
	if err != nil {
		res.Outcome = r.life.GiveUp()
	}
	if res.Outcome == request.NotRun {
		r.key.releaseIfClaimed()
	}
	g.finish(asRequest, &res)
	return res
}

// repeatable reports whether a request that may have run can be sent again. This is so only if
// neither the client nor the selector forbids it and HTTP defines the method as idempotent. The
// claim of an idempotency key depends only on the first two conditions, not on the method.
func repeatable(req *ServiceRequest, sel *fleet.Selector) bool {
	if req.NotRepeatable || sel.NotRepeatable {
		return false
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// loop tries one runner after another until one completes the request or no retry is allowed.
func (r *serviceRun) loop(ctx context.Context) error {
	if err := r.g.confirmConfig(ctx); err != nil {
		return err
	}
	var last error
	for try := range maxServiceAttempts {
		n, err := r.life.Begin()
		if err != nil {
			return errors.Join(err, last)
		}
		err = r.runAttempt(ctx, n)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return &ErrCallerGone{Err: ctx.Err()}
		}
		if last = err; r.headSent || !r.mayRetry(err) {
			return err
		}
		// The first retry is not charged to the retry budget.
		if try > 0 && !r.g.budget.spend() {
			break
		}
	}
	return &ErrExhausted{Tries: maxServiceAttempts, Err: last}
}

// mayRetry reports whether another runner may be tried after the error.
func (r *serviceRun) mayRetry(err error) bool {
	var refused *ErrRefused
	if errors.As(err, &refused) {
		r.retryAfter = max(refused.RetryAfter, minRetryAfter)
		return true
	}
	var broken *ErrBroken
	return errors.As(err, &broken)
}

// runAttempt tries one runner.
func (r *serviceRun) runAttempt(ctx context.Context, n int) error {
	grant, err := r.pickRunner()
	if err != nil {
		return err
	}
	r.excluded[grant.Member.Name] = true
	b, err := r.g.open(ctx, grant, r.newOpen(n))
	if err != nil {
		return err
	}
	defer b.close()
	if err := r.key.acquire(ctx); err != nil {
		return err
	}
	if err := r.life.Send(n); err != nil {
		return err
	}
	r.g.Log.Add(trace.Event{Type: trace.Chosen, Request: r.req.ID, Attempt: n, Instance: b.member.Name, Detail: "role=serve"})
	err = b.send(&wirepb.Order{Body: &wirepb.Order_Start{Start: &wirepb.Start{}}})
	if err == nil {
		err = r.relay(ctx, b, n)
	}
	if err != nil {
		r.checkNeverRan(b, n, err)
	}
	return err
}

// checkNeverRan determines whether a failed attempt certainly did not run, and records it if so. If
// the error does not prove it, the sidecar is asked to fence the attempt.
func (r *serviceRun) checkNeverRan(b *branch, n int, err error) {
	var broken *ErrBroken
	if errors.As(err, &broken) && broken.Never || b.fence() {
		r.life.NeverRan(n)
	}
}

// pickRunner returns the runner with the lowest ratio of calls to slots. Runners that are backed
// off after failures come last.
func (r *serviceRun) pickRunner() (fleet.Grant, error) {
	g := r.g
	now := time.Now()
	var best *fleet.Grant
	var least float64
	grants := g.subset(g.View(), r.req.Kind, r.req.Service, fleet.RoleServe)
	for i := range grants {
		m := grants[i].Member
		if r.excluded[m.Name] {
			continue
		}
		s := g.tracker.Get(m.Name, m.Domain, m.Region).State(now)
		load := float64(s.Running+s.InFlight) / float64(max(1, s.Batch))
		if s.Shunned {
			load += recentFailureLoad
		}
		if best == nil || load < least {
			best, least = &grants[i], load
		}
	}
	if best == nil {
		return fleet.Grant{}, &ErrShed{Reason: "no_runner", RetryAfter: max(r.retryAfter, minRetryAfter)}
	}
	return *best, nil
}

// recentFailureLoad is added to the load of runners that are backed off after failures, so that
// they are chosen last.
const recentFailureLoad = 1000

func (r *serviceRun) newOpen(n int) *wirepb.Open {
	c := &wirepb.Call{Method: r.req.Method, Path: r.req.Path, Body: r.req.Body}
	for name, values := range r.req.Header {
		for _, v := range values {
			c.Headers = append(c.Headers, &wirepb.Header{Name: name, Value: v})
		}
	}
	d, _ := r.g.Keeper.Digest()
	return &wirepb.Open{
		RequestId: r.req.ID, Attempt: uint32(n), Role: string(fleet.RoleServe),
		Kind: r.req.Kind, Model: r.req.Service, Workspace: r.req.Workspace,
		Priority: int32(r.selector.Priority), Revision: d.Revision, Call: c,
	}
}

// relay handles the reports of the attempt until the response ends.
func (r *serviceRun) relay(ctx context.Context, b *branch, n int) error {
	for {
		select {
		case rep, ok := <-b.reports:
			if !ok {
				return b.failure("lost")
			}
			switch x := rep.Body.(type) {
			case *wirepb.Report_Head:
				r.head(x.Head)
			case *wirepb.Report_Chunk:
				if err := r.body(x.Chunk, n); err != nil {
					return err
				}
			case *wirepb.Report_End:
				b.markFinished()
				return r.life.End(n, int(x.End.Bytes))
			case *wirepb.Report_Failed:
				b.markFinished()
				return &ErrBroken{Instance: b.member.Name, Code: x.Failed.Code, Never: !x.Failed.Started}
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *serviceRun) head(h *wirepb.Head) {
	header := http.Header{}
	for _, x := range h.Headers {
		header.Add(x.Name, x.Value)
	}
	r.headSent = true
	r.sink.Head(int(h.Status), header)
}

// body forwards bytes to the client. For plain services, request.Life counts bytes in place of
// tokens.
func (r *serviceRun) body(c *wirepb.Chunk, n int) error {
	ready, err := r.life.Chunk(n, int(c.Offset), len(c.Raw), string(c.Raw))
	if err != nil || ready == "" {
		return err
	}
	if err := r.sink.Body([]byte(ready)); err != nil {
		return &ErrCallerGone{Err: err}
	}
	return nil
}
