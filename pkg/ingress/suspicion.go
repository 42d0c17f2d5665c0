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

// Suspicion is what gateways know together of requests that crash the runners that run them.
type Suspicion struct {
	// Table is what this gateway knows; nil quarantines nothing.
	Table *quarantine.Table
	// Report tells other gateways of a request, all of them if it is quarantined.
	Report func(r quarantine.Report)
}

// digest returns the digest of what the request asks. It is made when it is needed first.
func (x *exchange) digest() quarantine.Digest {
	if x.cachedDigest == nil {
		a := quarantine.Asked{Method: x.call.Method, Host: x.call.Host, Path: x.call.Path, Body: x.call.Body}
		if x.workspace != nil {
			a.Workspace = x.workspace.Name
		}
		d := a.Digest()
		x.cachedDigest = &d
	}
	return *x.cachedDigest
}

// quarantined returns *quarantine.ErrQuarantined if the request is kept from runners.
func (x *exchange) checkQuarantine() error {
	table := x.g.options.Suspicion.Table
	if table == nil || table.Empty() {
		return nil
	}
	return table.Check(x.digest(), time.Now())
}

// aliveTimeout bounds the question whether a runner is still there: one that crashed refuses a
// connection at once.
const aliveTimeout = 400 * time.Millisecond

// broke records a run that broke off with its runner's connection, before anything of its answer
// had come if early, if the runner crashed. It is asked, since runners that reset connections and
// go on would have harmless requests quarantined. A connection that only timed out says nothing of a
// crash. Prefills that break off are not counted: the decode engine that
// reads the prompt in their place crashes in the same moment, or serves the request.
func (x *exchange) reportBrokenRun(runner *runners.State, early bool, err error) {
	var timeout net.Error
	if x.g.options.Suspicion.Table == nil || errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	asked, at := x.digest(), time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), aliveTimeout)
		defer cancel()
		runner.Called("", time.Now())
		alive, err := x.g.options.Engines.Alive(ctx, runner)
		if err != nil {
			x.logFailedStep("runner_not_asked", runner.ID, err, decisionlog.F("asked", asked))
		}
		if alive || err != nil {
			return
		}
		x.g.crashed(asked, quarantine.Break{Runner: xxhash.Sum64String(runner.ID), Early: early, At: at})
	}()
}

// crashed records that a runner crashed while it ran a request.
func (g *Ingress) crashed(asked quarantine.Digest, b quarantine.Break) {
	report, found := g.options.Suspicion.Table.Broke(asked, b)
	if found {
		g.quarantineBegins(report, "found")
	}
	g.options.Suspicion.Report(report)
}

// recordCompleted records that a runner ran the request to its end.
func (x *exchange) recordCompleted() {
	if table := x.g.options.Suspicion.Table; table != nil && !table.Empty() {
		table.EndedWell(x.digest(), time.Now())
	}
}

// ReceiveSuspicion takes what another gateway reported of a request.
func (g *Ingress) ReceiveSuspicion(r quarantine.Report) {
	table := g.options.Suspicion.Table
	if table == nil || !table.Receive(r, time.Now()) {
		return
	}
	g.quarantineBegins(r, "told")
	if r.Left == 0 {
		// Only here it was seen that what several gateways reported is enough.
		g.options.Suspicion.Report(quarantine.Report{Digest: r.Digest, Left: quarantine.Hold})
	}
}

// ReadQuarantine takes a quarantine that the store shows.
func (g *Ingress) ReadQuarantine(d quarantine.Digest) {
	if table := g.options.Suspicion.Table; table != nil && table.Published(d, time.Now()) {
		g.quarantineBegins(quarantine.Report{Digest: d}, "read")
	}
}

// EndQuarantine takes that the store no longer shows a quarantine.
func (g *Ingress) EndQuarantine(d quarantine.Digest) {
	if table := g.options.Suspicion.Table; table != nil {
		table.Lapsed(d, time.Now())
	}
}

// quarantineBegins records that a request is kept from runners from now on.
func (g *Ingress) quarantineBegins(r quarantine.Report, how string) {
	g.metrics.quarantines.Inc()
	g.options.Log.Write(decisionlog.KindState, "quarantine", decisionlog.F("asked", r.Digest), decisionlog.F("how", how),
		decisionlog.F("runners", len(r.Breaks)))
}
