package ingress

import (
	"context"
	"io"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/runners"
)

// A stream that ends with its connection counts as complete if its runner lives on, but a runner, or the link to it,
// that breaks responses off may have broken off this one. Its end is in doubt then, and if the stream may be resumed,
// a second call asks for the events after its last. If that is not possible, the end counts.

// secondCallTimeout limits the second call at the end of a stream until its first event: clients give up a stream
// after a gap of two seconds.
const secondCallTimeout = time.Second

// unspentBudget is added to the name of a service to name a retry budget from which nothing is taken: what is left
// of it is what the service's budget was. Second calls are made while more than spareShare of that is left, so that
// they take little from requests without a response.
const (
	unspentBudget = " unspent"
	spareShare    = 0.5
)

// emptyEnds is the number of responses in a row that end with their connection without an event, from which a
// resumed stream has no further events. A response that breaks off after its head looks the same.
const emptyEnds = 2

// doubts reports whether a stream with an event may be a part of one, although its connection ended cleanly and its
// runner lives on: the runner has broken off responses lately.
func (r *relay) doubts(runner *runners.State, a *Response) bool {
	return a.CloseDelimited && r.s.route.Resumable && r.last != "" && runner.Failures(time.Now()) >= trustedFailureRate
}

// countUnspent counts a request in the budget from which nothing is taken.
func (x *exchange) countUnspent() { x.g.budget(x.service + unspentBudget).Request(x.arrived) }

// hasSpareBudget reports whether so much of the retry budget is left that second calls may take from it.
func (x *exchange) hasSpareBudget() bool {
	now := time.Now()
	return x.g.budget(x.service).Left(now) > spareShare*x.g.budget(x.service+unspentBudget).Left(now)
}

// confirmNoEvents returns an error if a response without an event is not complete.
func (r *relay) confirmNoEvents(a *Response) error {
	if a.CloseDelimited && r.last == "" {
		return io.ErrUnexpectedEOF
	}
	if err := r.s.confirmComplete(r.runner, a); err != nil {
		return err
	}
	if r.ends++; a.CloseDelimited && !r.asked && r.ends < emptyEnds {
		return io.ErrUnexpectedEOF
	}
	if a.CloseDelimited || r.asked {
		r.s.end = endNoEvents
	}
	return nil
}

// completeOrAsk completes the client's response, unless the end of the runner's is in doubt and the runner has
// further events: it then forwards them.
func (r *relay) completeOrAsk(n int, runner *runners.State, a *Response, began time.Time, hasEvents bool) (sendResult, error) {
	if !hasEvents || !r.doubts(runner, a) {
		return r.complete(n, runner, a, began)
	}
	ctx, cancel := context.WithCancel(r.s.ctx)
	defer cancel()
	second, again, err := r.s.sendAgain(ctx, cancel, runner)
	if err != nil {
		return r.endNotAsked(n, runner, a, began, err)
	}
	defer second.Body.Close()
	if err := r.s.confirmVersion(runner, second, r.s.job.Version); err != nil {
		return r.endNotAsked(n, runner, a, began, err)
	}
	r.asked = true
	defer func() { r.asked = false }()
	return r.forwardEvents(again, runner, second)
}

// partFound records that a second call brought an event: the response before it was a part.
func (r *relay) partFound(runner *runners.State) {
	r.asked = false
	runner.Failed(time.Now())
	r.s.fields = append(r.s.fields, decisionlog.F("part_of", runner.ID), decisionlog.F("part_events", r.events-1))
}

// endNotAsked completes the client's response although its end is in doubt.
func (r *relay) endNotAsked(n int, runner *runners.State, a *Response, began time.Time, err error) (sendResult, error) {
	r.s.logFailedStep("end_not_asked", runner.ID, err)
	r.s.end = endDoubtful
	return r.complete(n, runner, a, began)
}

// sendAgain asks the runner of a stream for the events after the last, and returns its response and the number of
// the attempt. It takes the place that the stream has there. If no event arrives in time, it calls cancel.
func (s *generation) sendAgain(ctx context.Context, cancel func(), runner *runners.State) (*Response, int, error) {
	if err := firstError(s.checkQuarantine(), s.reconfirm(), s.bindBegun()); err != nil {
		return nil, 0, err
	}
	if !runner.Room(time.Now()) {
		return nil, 0, &ErrRunnerLeft{Runner: runner.ID}
	}
	if !s.hasSpareBudget() || !s.budget.Spend(time.Now()) {
		return nil, 0, &ErrRetryBudget{Service: s.service}
	}
	n, err := s.life.Begin()
	if err == nil {
		err = s.life.Send(n)
	}
	if err != nil {
		return nil, 0, err
	}
	order := s.order()
	order.After = s.relay.last
	s.sends++
	s.logStep("end_asked", decisionlog.F("runner", runner.ID), decisionlog.F("last", s.relay.last))
	runner.CallSent("", time.Now())
	timer := time.AfterFunc(secondCallTimeout, cancel)
	response, err := s.g.options.Runners.Send(ctx, runner, s.call, order)
	if err != nil {
		timer.Stop()
		return nil, 0, err
	}
	if !response.OK() || !response.Verified {
		timer.Stop()
		response.Body.Close()
		return nil, 0, &ErrAnswer{Runner: runner.ID, Status: response.Status, Why: "no events"}
	}
	response.Body = &firstRead{ReadCloser: response.Body, done: func() { timer.Stop() }}
	return response, n, nil
}

// firstRead calls done after its first read.
type firstRead struct {
	io.ReadCloser
	done func()
}

// Read implements io.Reader.
func (f *firstRead) Read(p []byte) (int, error) {
	n, err := f.ReadCloser.Read(p)
	f.done()
	return n, err
}
