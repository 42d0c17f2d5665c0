package ingress

import (
	"errors"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/upstream"
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
	if x.asked == nil {
		a := quarantine.Asked{Method: x.call.Method, Host: x.call.Host, Path: x.call.Path, Body: x.call.Body}
		if x.workspace != nil {
			a.Workspace = x.workspace.Name
		}
		d := a.Digest()
		x.asked = &d
	}
	return *x.asked
}

// quarantined returns *quarantine.ErrQuarantined if the request is kept from runners.
func (x *exchange) quarantined() error {
	table := x.g.options.Suspicion.Table
	if table == nil || table.Empty() {
		return nil
	}
	return table.Check(x.digest(), time.Now())
}

// broke records a run that broke off with its runner's connection, before anything of its
// answer had come if early. A connection that only timed out says nothing of a crash.
func (x *exchange) broke(runner *runners.State, early bool, err error) {
	table := x.g.options.Suspicion.Table
	var timeout net.Error
	if table == nil || errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	at := quarantine.Break{Runner: xxhash.Sum64String(runner.ID), Early: early, At: time.Now()}
	report, found := table.Broke(x.digest(), at)
	if found {
		x.g.quarantineBegins(report, "found")
	}
	x.g.options.Suspicion.Report(report)
}

// endedWell records that a runner ran the request to its end.
func (x *exchange) endedWell() {
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

// crashed reports whether a call ended with its connection, as it does when its runner
// crashes.
func crashed(err error) bool {
	var exchange *upstream.ErrExchange
	return errors.As(err, &exchange)
}
