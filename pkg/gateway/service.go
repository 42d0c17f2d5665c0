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

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	// ID is unique; the gateway made it.
	ID string
	// Workspace is the tenant, Kind the request kind, Service the name.
	Workspace, Kind, Service string
	// Method, Path, Header and Body are the call's own.
	Method, Path string
	Header       http.Header
	Body         []byte
	// Key is the caller's idempotency key, empty for none.
	Key string
	// NotRepeatable is the caller's own mark; a selector can set it too.
	NotRepeatable bool
}

// ServiceSink takes a service's answer. It is called from one goroutine.
type ServiceSink interface {
	// Head takes the status and headers, once, before any Body.
	Head(status int, header http.Header)
	// Body takes the next bytes. An error means that the caller is gone.
	Body(p []byte) error
}

// serviceTries bounds the runners that one call is offered to.
const serviceTries = 4

// serviceRun is one call on its way.
type serviceRun struct {
	g        *Gateway
	req      *ServiceRequest
	sink     ServiceSink
	selector *fleet.Selector
	life     *request.Life
	excluded map[string]bool
	key      *keyClaim
	headed   bool
	retry    time.Duration
}

// Call runs a plain service's call to its one outcome.
func (g *Gateway) Call(ctx context.Context, req *ServiceRequest, sink ServiceSink) Result {
	as := &Request{ID: req.ID, Workspace: req.Workspace, Kind: req.Kind, Model: req.Service, Key: req.Key}
	sel := g.Keeper.Document().Offer(req.Kind, req.Service, fleet.RoleServe)
	if sel == nil {
		return g.reject(as, &ErrUnknownModel{Model: req.Service, Kind: req.Kind})
	}
	if err := g.charge(as, 0, 0); err != nil {
		return g.reject(as, err)
	}
	if err := g.limits.Enter(req.Workspace); err != nil {
		return g.reject(as, err)
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
	res := Result{Outcome: r.life.Outcome(), Err: err, Attempts: r.life.Attempts(), RetryAfter: r.retry}
	res.FirstToken = time.Since(began)
	res.TargetFirst, res.TargetPer = sel.Targets()
	if err != nil {
		res.Outcome = r.life.GiveUp()
	}
	if res.Outcome == request.NotRun {
		r.key.giveBack()
	}
	g.finish(as, &res)
	return res
}

// repeatable reports whether a call that may have run can be sent again: only
// where nobody forbids it and HTTP itself calls the method idempotent.
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

// loop offers the call to one runner after another until one ran it.
func (r *serviceRun) loop(ctx context.Context) error {
	if err := r.g.confirm(ctx); err != nil {
		return err
	}
	var last error
	for try := range serviceTries {
		n, err := r.life.Begin()
		if err != nil {
			return errors.Join(err, last)
		}
		err = r.once(ctx, n)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return &ErrCallerGone{Err: ctx.Err()}
		}
		if last = err; r.headed || !r.another(err) {
			return err
		}
		if try > 0 && !r.g.budget.spend() {
			break
		}
	}
	return &ErrExhausted{Tries: serviceTries, Err: last}
}

// another reports whether the next runner may be asked after an error.
func (r *serviceRun) another(err error) bool {
	var refused *ErrRefused
	if errors.As(err, &refused) {
		r.retry = max(refused.RetryAfter, minRetryAfter)
		return true
	}
	var broken *ErrBroken
	return errors.As(err, &broken)
}

// once offers the call to one runner.
func (r *serviceRun) once(ctx context.Context, n int) error {
	grant, err := r.pick()
	if err != nil {
		return err
	}
	r.excluded[grant.Member.Name] = true
	b, err := r.g.open(ctx, grant, r.open(n))
	if err != nil {
		return err
	}
	defer b.close()
	if err := r.key.take(ctx); err != nil {
		return err
	}
	if err := r.life.Send(n); err != nil {
		return err
	}
	r.g.Log.Add(trace.Event{Type: trace.Chosen, Request: r.req.ID, Attempt: n, Instance: b.member.Name, Detail: "role=serve"})
	err = b.order(&wirepb.Order{Body: &wirepb.Order_Start{Start: &wirepb.Start{}}})
	if err == nil {
		err = r.relay(ctx, b, n)
	}
	if err != nil {
		r.settle(b, n, err)
	}
	return err
}

// settle finds out whether a call that failed certainly did not run.
func (r *serviceRun) settle(b *branch, n int, err error) {
	var broken *ErrBroken
	if errors.As(err, &broken) && broken.Never || b.fence() {
		r.life.NeverRan(n)
	}
}

// pick takes the runner with the fewest calls for its size.
func (r *serviceRun) pick() (fleet.Grant, error) {
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
			load += shunnedLoad
		}
		if best == nil || load < least {
			best, least = &grants[i], load
		}
	}
	if best == nil {
		return fleet.Grant{}, &ErrShed{Reason: "no_runner", RetryAfter: max(r.retry, minRetryAfter)}
	}
	return *best, nil
}

// shunnedLoad puts runners that failed lately behind all others.
const shunnedLoad = 1000

func (r *serviceRun) open(n int) *wirepb.Open {
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

// relay takes the call's reports until its end.
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
				b.finished()
				return r.life.End(n, int(x.End.Bytes))
			case *wirepb.Report_Failed:
				b.finished()
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
	r.headed = true
	r.sink.Head(int(h.Status), header)
}

// body passes bytes on; the life of the request counts bytes as its tokens.
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
