package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// Codes of a Failed report in addition to those of the engine.
const (
	CodeLapsed    = "lapsed"
	CodeCancelled = "cancelled"
	CodeRunner    = "runner"
)

// stream is the sidecar's end of an attempt's drpc stream.
type stream interface {
	Context() context.Context
	Send(*wirepb.Report) error
	Recv() (*wirepb.Order, error)
}

// attempt is one stream with a gateway, its lease, and the channels that pass
// on the gateway's orders.
type attempt struct {
	s        *Sidecar
	open     *wirepb.Open
	key      string
	openedAt time.Time

	ctx   context.Context
	lease *lease

	start    chan *wirepb.Start
	release  chan struct{}
	handover chan struct{}

	mu sync.Mutex
	st stream
}

// minLease and maxLease clamp the lease that a gateway requests.
const (
	minLease = 200 * time.Millisecond
	maxLease = 30 * time.Second
)

// Attempt implements wirepb.DRPCRunnerServer.
func (s *Sidecar) Attempt(st wirepb.DRPCRunner_AttemptStream) error {
	return s.serve(st)
}

// serve runs one attempt to its end.
func (s *Sidecar) serve(st stream) error {
	first, err := st.Recv()
	if err != nil {
		return err
	}
	s.Log.Clock.Meet(first.Clock)
	open := first.GetOpen()
	if open == nil {
		return &ErrOrder{Want: "open"}
	}
	s.openAttempts.Add(1)
	defer s.openAttempts.Add(-1)
	a := s.newAttempt(st, open)
	defer a.lease.end(&errCancelled{})
	s.Log.Add(trace.Event{Type: trace.Opened, Request: open.RequestId, Attempt: int(open.Attempt), Instance: s.Self.Name, Detail: "role=" + open.Role})
	if refused := s.refusal(open); refused != nil {
		return a.refuse(refused)
	}
	s.track(a)
	defer s.untrack(a)
	go a.receive()
	switch open.Role {
	case string(fleet.RolePrefill):
		return a.prefill()
	case string(fleet.RoleDecode):
		return a.decode()
	case string(fleet.RoleServe):
		return a.call()
	}
	return a.refuse(&wirepb.Refused{Reason: wire.ReasonBad})
}

func (s *Sidecar) newAttempt(st stream, open *wirepb.Open) *attempt {
	length := min(max(time.Duration(open.LeaseUs)*time.Microsecond, minLease), maxLease)
	a := &attempt{
		s: s, open: open, st: st, openedAt: time.Now(),
		key:      attemptKey(open.RequestId, open.Attempt, open.Role),
		start:    make(chan *wirepb.Start, 1),
		release:  make(chan struct{}, 1),
		handover: make(chan struct{}, 1),
	}
	a.ctx, a.lease = newLease(st.Context(), length)
	return a
}

// refusal returns why the attempt can't be admitted, for reasons other than
// capacity, or nil if there are none.
func (s *Sidecar) refusal(open *wirepb.Open) *wirepb.Refused {
	rules := s.rules()
	refuseWith := func(reason string) *wirepb.Refused {
		return &wirepb.Refused{Reason: reason, Revision: rules.Doc.Revision}
	}
	if !s.ready.Load() || !s.Ready() {
		return refuseWith(wire.ReasonStarting)
	}
	if s.leaving.Load() {
		return refuseWith(wire.ReasonLeaving)
	}
	if open.Revision > rules.Doc.Revision {
		return refuseWith(wire.ReasonBehind)
	}
	if !s.permitted(rules, open) {
		return refuseWith(wire.ReasonSelector)
	}
	return nil
}

// permitted checks the attempt against the sidecar's own configuration.
func (s *Sidecar) permitted(rules *fleet.View, open *wirepb.Open) bool {
	labels := rules.Members[0].Labels
	return !labels.Leaving() && rules.Select(open.Kind, open.Model, fleet.Role(open.Role), labels) != nil
}

// receive handles the gateway's orders until the stream ends.
func (a *attempt) receive() {
	for {
		o, err := a.st.Recv()
		if err != nil {
			a.lease.end(&errCancelled{})
			return
		}
		a.s.Log.Clock.Meet(o.Clock)
		a.handleOrder(o)
	}
}

func (a *attempt) handleOrder(o *wirepb.Order) {
	switch b := o.Body.(type) {
	case *wirepb.Order_Renew:
		a.lease.renew()
		_ = a.send(&wirepb.Report{Load: a.s.renewalLoad(a.open.Gateway)})
	case *wirepb.Order_Start:
		a.lease.renew()
		trySend(a.start, b.Start)
	case *wirepb.Order_Release:
		trySend(a.release, struct{}{})
	case *wirepb.Order_Handover:
		trySend(a.handover, struct{}{})
	case *wirepb.Order_Cancel:
		a.lease.end(&errCancelled{})
	}
}

// trySend sends a value to a channel with a buffer of one without blocking. It
// drops the value if the buffer is full.
func trySend[T any](ch chan T, v T) {
	select {
	case ch <- v:
	default:
	}
}

// send adds the clock to a report and sends it to the gateway.
func (a *attempt) send(r *wirepb.Report) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Clock = a.s.Log.Clock.Next()
	return a.st.Send(r)
}

func (a *attempt) event(t trace.Type, detail string) {
	a.s.Log.Add(trace.Event{
		Type: t, Request: a.open.RequestId, Attempt: int(a.open.Attempt),
		Instance: a.s.Self.Name, Detail: detail,
	})
}

// refuse ends an attempt that has not started. The attempt can never start,
// since only an order on this stream could start it and the stream ends here.
// The gateway may retry on another stream.
func (a *attempt) refuse(r *wirepb.Refused) error {
	a.s.metrics.recordRefusal(r.Reason)
	a.event(trace.Refused, "role="+a.open.Role+" reason="+r.Reason)
	return a.send(&wirepb.Report{Load: a.s.load(), Body: &wirepb.Report_Refused{Refused: r}})
}

// admit reports to the gateway that the attempt is admitted and how long it is
// expected to wait.
func (a *attempt) admit(wait time.Duration) error {
	a.event(trace.Admitted, fmt.Sprintf("role=%s wait=%s", a.open.Role, wait.Round(time.Millisecond)))
	return a.send(&wirepb.Report{Load: a.s.load(), Body: &wirepb.Report_Admitted{Admitted: &wirepb.Admitted{WaitUs: wait.Microseconds()}}})
}

// fail ends an attempt that could not be completed. started reports whether the
// runner may have started it.
func (a *attempt) fail(err error, started bool) error {
	f := &wirepb.Failed{Code: failureCode(a.ctx, err), Started: started, Detail: err.Error()}
	if f.Code == CodeLapsed {
		a.event(trace.Lapsed, "role="+a.open.Role)
	}
	a.event(trace.Failed, "role="+a.open.Role+" code="+f.Code)
	return a.send(&wirepb.Report{Load: a.s.load(), Body: &wirepb.Report_Failed{Failed: f}})
}

// track records an open attempt.
func (s *Sidecar) track(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[a.key] = a
}

func (s *Sidecar) untrack(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[a.key] == a {
		delete(s.attempts, a.key)
	}
}

// cause returns why an attempt's context ended.
func (a *attempt) cause() error { return context.Cause(a.ctx) }

// isLeaseExpired reports whether an error is an expired lease.
func isLeaseExpired(err error) bool {
	var l *errLeaseExpired
	return errors.As(err, &l)
}

// Fence implements wirepb.DRPCRunnerServer. Once it has replied that an attempt
// has not started, the attempt never starts in this process.
func (s *Sidecar) Fence(_ context.Context, r *wirepb.FenceRequest) (*wirepb.FenceReply, error) {
	s.Log.Clock.Meet(r.Clock)
	started := s.fences.fence(attemptKey(r.RequestId, r.Attempt, r.Role))
	s.Log.Add(trace.Event{Type: trace.Fenced, Request: r.RequestId, Attempt: int(r.Attempt), Instance: s.Self.Name, Detail: fmt.Sprintf("role=%s began=%t", r.Role, started)})
	return &wirepb.FenceReply{Started: started, Epoch: s.Epoch, Clock: s.Log.Clock.Next()}, nil
}

// Probe implements wirepb.DRPCRunnerServer.
func (s *Sidecar) Probe(_ context.Context, r *wirepb.ProbeRequest) (*wirepb.Load, error) {
	s.Log.Clock.Meet(r.Clock)
	return s.load(), nil
}
