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

// Timeouts and sizes of a branch.
const (
	// openTimeout limits connecting to a sidecar and the wait for its reply to an Open message. It
	// also limits calls to Fence and Probe.
	openTimeout = time.Second
	// renewalsPerLease is the number of lease renewals per lease duration.
	renewalsPerLease = 2.5
	// closeTimeout limits the orderly shutdown of a branch that is no longer needed.
	closeTimeout = time.Second
	// reportBuffer is the number of reports that may wait for the goroutine of the request.
	reportBuffer = 64
)

// branch is the gateway's end of the stream between one attempt and one sidecar. The runner's
// resources for the request are under a lease, which the branch renews while it is open.
type branch struct {
	g       *Gateway
	member  *fleet.Member
	runner  *route.Runner
	request string
	attempt int
	role    fleet.Role
	epoch   uint64

	cancelCtx context.CancelFunc
	stream    wirepb.DRPCRunner_AttemptClient
	// reports is closed after the last report. broken is closed at the same time, for goroutines
	// that do not read reports.
	reports chan *wirepb.Report
	broken  chan struct{}
	err     error
	quit    chan struct{}

	mu         sync.Mutex
	lastReport time.Time
	finished   bool
	once       sync.Once
}

// open asks a sidecar for admission and waits for the reply. It fails with *ErrRefused,
// *ErrBroken or the error of the context.
func (g *Gateway) open(ctx context.Context, grant fleet.Grant, o *wirepb.Open) (*branch, error) {
	b, err := g.dial(grant, o)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(openTimeout)
	defer timer.Stop()
	select {
	case r, ok := <-b.reports:
		if ok {
			return b.handleOpenReply(r)
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

// dial opens the stream and sends the Open.
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
	connect := time.AfterFunc(openTimeout, cancel)
	stream, err := wirepb.NewDRPCRunnerClient(g.Pool.Conn(m.Inner)).Attempt(ctx)
	if !connect.Stop() || err != nil {
		cancel()
		// The Open was not written, so the sidecar can't have started anything.
		return nil, b.recordLost(err, true)
	}
	b.stream = stream
	tokens, streams, bytes := b.addedLoad(o)
	b.runner.Sent(tokens, streams, bytes)
	if err := b.send(&wirepb.Order{Body: &wirepb.Order_Open{Open: o}}); err != nil {
		cancel()
		b.runner.Returned()
		return nil, b.recordLost(err, false)
	}
	go b.receive()
	go b.renew()
	return b, nil
}

// addedLoad returns the load that the attempt adds to the runner until the runner's next load
// report.
func (b *branch) addedLoad(o *wirepb.Open) (tokens, streams int, bytes float64) {
	if b.role == fleet.RolePrefill {
		return int(o.PromptTokens), 0, 0
	}
	return 0, 1, float64(o.KvBytes)
}

// recordLost records that a runner is unreachable. neverStarted is true if the attempt certainly
// did not start there.
func (b *branch) recordLost(err error, neverStarted bool) *ErrBroken {
	b.runner.Failed(time.Now(), b.g.Jitter())
	return &ErrBroken{Instance: b.member.Name, Code: "lost", Never: neverStarted, Err: err}
}

// handleOpenReply handles the reply to the Open.
func (b *branch) handleOpenReply(r *wirepb.Report) (*branch, error) {
	switch x := r.Body.(type) {
	case *wirepb.Report_Admitted:
		return b, nil
	case *wirepb.Report_Refused:
		b.close()
		return nil, b.refusedError(x.Refused)
	case *wirepb.Report_Failed:
		b.close()
		return nil, &ErrBroken{Instance: b.member.Name, Code: x.Failed.Code, Never: !x.Failed.Started}
	}
	b.close()
	return nil, &ErrBroken{Instance: b.member.Name, Code: "protocol"}
}

// refusedError counts a refusal by a sidecar and returns it as *ErrRefused.
func (b *branch) refusedError(r *wirepb.Refused) error {
	b.g.meters.recordRefusal(r.Reason)
	return &ErrRefused{Instance: b.member.Name, Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfterUs) * time.Microsecond}
}

// send sends one order to the sidecar.
func (b *branch) send(o *wirepb.Order) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	o.Clock = b.g.Log.Clock.Next()
	return b.stream.Send(o)
}

// receive forwards reports until the stream ends. It closes the reports channel after the broken
// channel, and only after the last report was queued, so that a reader of reports receives every
// report before the end of the stream.
func (b *branch) receive() {
	defer close(b.reports)
	defer close(b.broken)
	for {
		r, err := b.stream.Recv()
		if err != nil {
			b.err = err
			return
		}
		b.observe(r)
		if r.Body == nil {
			continue
		}
		select {
		case b.reports <- r:
		case <-b.quit:
		}
	}
}

// observe applies the fields that every report has: the clock and the runner's load.
func (b *branch) observe(r *wirepb.Report) {
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

// renew renews the lease until the branch is closed. If a sidecar does not reply to renewals, renew
// cancels the stream.
func (b *branch) renew() {
	interval := time.Duration(float64(b.g.opt.Lease) / renewalsPerLease)
	tick := time.NewTicker(interval)
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
		silent := time.Since(b.lastReport) > 2*interval+openTimeout/2
		b.mu.Unlock()
		if silent {
			b.cancelCtx()
			return
		}
		if b.send(&wirepb.Order{Body: &wirepb.Order_Renew{Renew: &wirepb.Renew{}}}) != nil {
			return
		}
	}
}

// failure returns the error for a branch that broke, and backs off its runner.
func (b *branch) failure(code string) error {
	err := b.recordLost(nil, false)
	err.Code = code
	select {
	case <-b.broken:
		err.Err = b.err
	default:
	}
	return err
}

// close shuts the branch down in the background: it sends a Cancel if the sidecar has not finished,
// waits up to closeTimeout for the stream to end, and then cancels the stream. The runner thus
// releases the request's resources, and the connection can be reused.
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
	stop := time.AfterFunc(closeTimeout, b.cancelCtx)
	defer stop.Stop()
	if !b.isFinished() {
		_ = b.send(&wirepb.Order{Body: &wirepb.Order_Cancel{Cancel: &wirepb.Cancel{}}})
	}
	<-b.broken
	if !errors.Is(b.err, io.EOF) {
		b.g.log.Info("branch ended", "request", b.request, "instance", b.member.Name, "err", b.err)
	}
}

// markFinished records that the sidecar's last report arrived, so that close need not cancel.
func (b *branch) markFinished() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finished = true
}

func (b *branch) isFinished() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.finished
}

// fence asks the sidecar to ensure that the attempt never starts, and reports whether that is
// certain. A sidecar with another epoch has no record of the attempt, so fence then returns false.
func (b *branch) fence() bool {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
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
