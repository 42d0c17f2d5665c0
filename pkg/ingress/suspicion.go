package ingress

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/runners"
)

// Suspicion connects an Ingress to the table of requests that crash their runners, and to the other
// gateways, which share their reports of them.
type Suspicion struct {
	// Table holds the suspected and quarantined requests; nil turns quarantine off.
	Table *quarantine.Table
	// Report sends a report on a request to other gateways, to all of them if the request is
	// quarantined.
	Report func(r quarantine.Report)
	// Parts holds the suspected and quarantined parts of prompts, ReportParts sends evidence about them to
	// all other gateways. Both are set if Table is.
	Parts       *quarantine.PartTable
	ReportParts func(e quarantine.Evidence)
}

// digest returns the digest of the request's content. It is computed on first use.
func (x *exchange) digest() quarantine.Digest {
	if x.cachedDigest == nil {
		a := quarantine.RequestContent{Method: x.call.Method, Host: x.call.Host, Path: x.call.Path, Body: x.call.Body}
		if x.workspace != nil {
			a.Workspace = x.workspace.Name
		}
		d := a.Digest()
		x.cachedDigest = &d
	}
	return *x.cachedDigest
}

// checkQuarantine returns *quarantine.ErrQuarantined or *quarantine.ErrPartsQuarantined if the request, or
// parts of its prompt, are quarantined.
func (x *exchange) checkQuarantine() error {
	o := &x.g.options.Suspicion
	if o.Table == nil {
		return nil
	}
	if !o.Table.Empty() {
		if err := o.Table.Check(x.digest(), time.Now()); err != nil {
			return err
		}
	}
	return x.checkParts()
}

// aliveTimeout limits the check whether a runner is still alive. A crashed one refuses a connection
// at once.
const aliveTimeout = 400 * time.Millisecond

// reportBrokenRun records that the connection to the runner broke while it ran the request, if the
// runner crashed. If early is set, no part of the response had been received. It first checks
// whether the runner is alive, since otherwise runners that reset connections and continue to run
// would get harmless requests quarantined.
// A connection that only timed out doesn't indicate a crash, nor does the end of a runner that leaves: it ends
// as planned with the requests that it still runs. Broken prefills are not counted: the
// decode engine that computes the prompt instead crashes at the same point, or serves the request.
func (x *exchange) reportBrokenRun(runner *runners.State, early bool, err error) {
	var timeout net.Error
	if x.g.options.Suspicion.Table == nil || errors.As(err, &timeout) && timeout.Timeout() || runner.EndIsPlanned() {
		return
	}
	digest, at := x.digest(), time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), aliveTimeout)
		defer cancel()
		runner.CallSent("", time.Now())
		alive, err := x.g.options.Runners.Alive(ctx, runner)
		if isClosed(err) {
			err = nil
		}
		if err != nil {
			x.logFailedStep("runner_not_asked", runner.ID, err, decisionlog.F("asked", digest))
		}
		x.g.metrics.brokenRun(alive, err)
		if alive || err != nil {
			return
		}
		x.logStep("runner_crashed", decisionlog.F("runner", runner.ID), decisionlog.F("early", early), decisionlog.F("asked", digest),
			decisionlog.F("parts", x.call.SharedParts))
		incarnation := xxhash.Sum64String(runner.ID)
		x.g.crashed(digest, quarantine.Break{Runner: incarnation, Early: early, At: at})
		if early && len(x.call.SharedParts) > 0 {
			x.g.crashedOnParts(quarantine.Crash{Runner: incarnation, Request: digest.Short(), Parts: x.call.SharedParts, At: at})
		}
	}()
}

// crashed records that a runner crashed while it ran a request.
func (g *Ingress) crashed(digest quarantine.Digest, b quarantine.Break) {
	report, found := g.options.Suspicion.Table.RecordBreak(digest, b)
	if found {
		g.quarantineBegins(report, "found")
	}
	g.options.Suspicion.Report(report)
}

// recordCompleted records that a runner ran the request to its end.
func (x *exchange) recordCompleted() {
	if table := x.g.options.Suspicion.Table; table != nil && !table.Empty() {
		table.RecordCompleted(x.digest(), time.Now())
	}
}

// ReceiveSuspicion applies a peer's report on a request.
func (g *Ingress) ReceiveSuspicion(r quarantine.Report) {
	table := g.options.Suspicion.Table
	if table == nil || !table.Receive(r, time.Now()) {
		return
	}
	g.quarantineBegins(r, "told")
	if r.Left == 0 {
		// The reports of several gateways together led to the quarantine here, which the other
		// gateways may not have concluded.
		g.options.Suspicion.Report(quarantine.Report{Digest: r.Digest, Left: quarantine.Duration})
	}
}

// ReadQuarantine applies a quarantine that was read from the store.
func (g *Ingress) ReadQuarantine(d quarantine.Digest) {
	if table := g.options.Suspicion.Table; table != nil && table.RecordPublished(d, time.Now()) {
		g.quarantineBegins(quarantine.Report{Digest: d}, "read")
	}
}

// EndQuarantine records that a quarantine was removed from the store.
func (g *Ingress) EndQuarantine(d quarantine.Digest) {
	if table := g.options.Suspicion.Table; table != nil {
		table.RecordRemoved(d, time.Now())
	}
}

// quarantineBegins logs and counts a new quarantine.
func (g *Ingress) quarantineBegins(r quarantine.Report, how string) {
	g.metrics.quarantines.Inc()
	g.options.Log.Write(decisionlog.KindState, "quarantine", decisionlog.F("asked", r.Digest), decisionlog.F("how", how),
		decisionlog.F("runners", len(r.Breaks)))
}
