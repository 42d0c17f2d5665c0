package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// Times of a branch.
const (
	// openTime bounds the wait for an answer to an Open.
	openTime = time.Second
	// renewals is how often a lease is renewed within its length.
	renewals = 2.5
	// closeTime bounds the orderly end of a branch that is not needed any more.
	closeTime = time.Second
	// reportBuffer is how many reports may wait for the request's goroutine.
	reportBuffer = 64
)

// branch is the gateway's end of an attempt's stream with one sidecar. While it
// is open, what the runner holds for the request is under a lease that the
// branch renews.
type branch struct {
	g       *Gateway
	member  *fleet.Member
	runner  *route.Runner
	request string
	attempt int
	role    fleet.Role
	epoch   uint64

	cancelCtx context.CancelFunc
	st        wirepb.DRPCRunner_AttemptClient
	// reports is closed after the last one; broken, at the same time, is for
	// those who do not read reports.
	reports chan *wirepb.Report
	broken  chan struct{}
	err     error
	quit    chan struct{}

	mu         sync.Mutex
	lastReport time.Time
	over       bool
	once       sync.Once
}

// open asks a sidecar for admission and waits for its answer. It fails with
// *ErrRefused, *ErrBroken or the context's error.
func (g *Gateway) open(ctx context.Context, grant fleet.Grant, o *wirepb.Open) (*branch, error) {
	b, err := g.dial(grant, o)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(openTime)
	defer timer.Stop()
	select {
	case r, ok := <-b.reports:
		if ok {
			return b.answered(r)
		}
		err = b.failure("lost")
	case <-timer.C:
		err = b.failure("silent")
	case <-ctx.Done():
		err = ctx.Err()
	}
	b.close()
	return nil, err
}

// dial opens the stream and sends the first order.
func (g *Gateway) dial(grant fleet.Grant, o *wirepb.Open) (*branch, error) {
	m := grant.Member
	ctx, cancel := context.WithCancel(context.Background())
	b := &branch{
		g: g, member: m, runner: g.tracker.Get(m.Name, m.Domain, m.Region),
		request: o.RequestId, attempt: int(o.Attempt), role: fleet.Role(o.Role),
		cancelCtx: cancel, lastReport: time.Now(),
		reports: make(chan *wirepb.Report, reportBuffer),
		broken:  make(chan struct{}), quit: make(chan struct{}),
	}
	o.LeaseUs, o.Gateway = g.opt.Lease.Microseconds(), g.Self.Name
	connect := time.AfterFunc(openTime, cancel)
	st, err := wirepb.NewDRPCRunnerClient(g.Pool.Conn(m.Inner)).Attempt(ctx)
	if !connect.Stop() || err != nil {
		cancel()
		// The Open was not written, so that nothing can have begun.
		return nil, b.lost(err, true)
	}
	b.st = st
	tokens, streams, bytes := b.weight(o)
	b.runner.Sent(tokens, streams, bytes)
	if err := b.order(&wirepb.Order{Body: &wirepb.Order_Open{Open: o}}); err != nil {
		cancel()
		b.runner.Returned()
		return nil, b.lost(err, false)
	}
	go b.receive()
	go b.renew()
	return b, nil
}

// weight is what the attempt adds to the runner's load until it reports.
func (b *branch) weight(o *wirepb.Open) (tokens, streams int, bytes float64) {
	if b.role == fleet.RolePrefill {
		return int(o.PromptTokens), 0, 0
	}
	return 0, 1, float64(o.KvBytes)
}

// lost records a runner that can't be reached. Never says that the attempt cannot
// have begun there.
func (b *branch) lost(err error, never bool) *ErrBroken {
	b.runner.Failed(time.Now(), b.g.Jitter())
	return &ErrBroken{Instance: b.member.Name, Code: "lost", Never: never, Err: err}
}

// answered takes the answer to the Open.
func (b *branch) answered(r *wirepb.Report) (*branch, error) {
	switch x := r.Body.(type) {
	case *wirepb.Report_Admitted:
		return b, nil
	case *wirepb.Report_Refused:
		b.close()
		return nil, b.refused(x.Refused)
	case *wirepb.Report_Failed:
		b.close()
		return nil, &ErrBroken{Instance: b.member.Name, Code: x.Failed.Code, Never: !x.Failed.Started}
	}
	b.close()
	return nil, &ErrBroken{Instance: b.member.Name, Code: "protocol"}
}

// refused counts and describes a sidecar's refusal.
func (b *branch) refused(r *wirepb.Refused) error {
	b.g.met.refused(r.Reason)
	return &ErrRefused{Instance: b.member.Name, Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfterUs) * time.Microsecond}
}

// order writes one order.
func (b *branch) order(o *wirepb.Order) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	o.Clock = b.g.Log.Clock.Next()
	return b.st.Send(o)
}

// receive passes reports on until the stream ends. It closes reports last, so
// that whoever reads them meets the stream's end after all that came before it.
func (b *branch) receive() {
	defer close(b.reports)
	defer close(b.broken)
	for {
		r, err := b.st.Recv()
		if err != nil {
			b.err = err
			return
		}
		b.note(r)
		if r.Body == nil {
			continue
		}
		select {
		case b.reports <- r:
		case <-b.quit:
		}
	}
}

// note takes over what every report carries.
func (b *branch) note(r *wirepb.Report) {
	now := time.Now()
	b.g.Log.Clock.Meet(r.Clock)
	b.mu.Lock()
	b.lastReport = now
	if r.Load != nil {
		b.epoch = r.Load.Epoch
	}
	b.mu.Unlock()
	if r.Load != nil {
		b.g.receiveLoad(b.runner, b.member, r.Load)
	}
}

// renew keeps the lease until the branch is closed. A sidecar that answers no
// renewal is given up.
func (b *branch) renew() {
	every := time.Duration(float64(b.g.opt.Lease) / renewals)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-b.quit:
			return
		case <-b.broken:
			return
		}
		b.mu.Lock()
		silent := time.Since(b.lastReport) > 2*every+openTime/2
		b.mu.Unlock()
		if silent {
			b.cancelCtx()
			return
		}
		if b.order(&wirepb.Order{Body: &wirepb.Order_Renew{Renew: &wirepb.Renew{}}}) != nil {
			return
		}
	}
}

// failure describes a branch that broke, and keeps new work from its runner.
func (b *branch) failure(code string) error {
	err := b.lost(nil, false)
	err.Code = code
	select {
	case <-b.broken:
		err.Err = b.err
	default:
	}
	return err
}

// close ends the branch in good order, in the background: the runner frees what
// it holds, and the connection can be used again.
func (b *branch) close() {
	b.once.Do(func() {
		close(b.quit)
		b.runner.Returned()
		go b.finish()
	})
}

func (b *branch) finish() {
	defer b.cancelCtx()
	select {
	case <-b.broken:
		return
	default:
	}
	stop := time.AfterFunc(closeTime, b.cancelCtx)
	defer stop.Stop()
	if !b.ended() {
		_ = b.order(&wirepb.Order{Body: &wirepb.Order_Cancel{Cancel: &wirepb.Cancel{}}})
	}
	<-b.broken
	if !errors.Is(b.err, io.EOF) {
		b.g.log.Info("branch ended", "request", b.request, "instance", b.member.Name, "err", b.err)
	}
}

// finished records that the sidecar's last report came, so that no cancel is due.
func (b *branch) finished() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.over = true
}

func (b *branch) ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.over
}

// fence asks the runner's sidecar to make sure that the attempt never begins,
// and reports whether that is certain. A sidecar of another epoch can't know.
func (b *branch) fence() bool {
	ctx, cancel := context.WithTimeout(context.Background(), openTime)
	defer cancel()
	client := wirepb.NewDRPCRunnerClient(b.g.Pool.Conn(b.member.Inner))
	r, err := client.Fence(ctx, &wirepb.FenceRequest{
		RequestId: b.request, Attempt: uint32(b.attempt), Role: string(b.role), Clock: b.g.Log.Clock.Next(),
	})
	if err != nil {
		return false
	}
	b.g.Log.Clock.Meet(r.Clock)
	b.mu.Lock()
	defer b.mu.Unlock()
	never := !r.Started && r.Epoch == b.epoch
	b.g.Log.Add(trace.Event{Type: trace.Fenced, Request: b.request, Attempt: b.attempt, Instance: b.member.Name})
	return never
}
