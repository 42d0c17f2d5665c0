// Package ingress serves clients' requests by forwarding them to runners, which do their own
// admission control. Bodies and responses are forwarded unchanged. The package decides where, when
// and how often a request is sent.
//
// A service consists of engines, which run requests in the stages prefill and decode, or of plain
// runners, which have no stage.
package ingress

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/forecast"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/overload"
	"github.com/hopwell/hopwell/pkg/plainload"
	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/retrybudget"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

// Options are the settings of an Ingress.
type Options struct {
	// Name identifies the gateway among all gateways.
	Name string
	// Domain is the failure domain of the process, Regions the region of each failure domain.
	Domain  string
	Regions map[string]string
	Runners RunnerClient
	Reader  RequestParser
	Log     *decisionlog.Log
	// Budget holds the retry limits, which all gateways share.
	Budget retrybudget.Limits
	// Gateways is the initial number of gateways.
	Gateways int
	// MaxOpen limits the requests served at once. Held bounds the total bytes of large request heads,
	// request bodies, buffered responses and large events; nil for no bound.
	MaxOpen int
	Held    *memory.Account
	// Neighbours returns the number of other gateways in the failure domain, to which the balancer
	// sends clients first; nil if the number is unavailable.
	Neighbours func() int
	// Pool holds the settings of the choice of engines.
	Pool enginepool.Options
	// Revocation holds the settings for refusing keys whose revocation may have been missed.
	Revocation Revocation
	// Quota enforces the workspaces' quotas; nil for none.
	Quota *quota.Ledger
	// Suspicion quarantines requests that crash runners.
	Suspicion Suspicion
	// Lag measures whether the process gets its processor time; nil if it is not measured.
	Lag *overload.Meter
	// Origins holds what other gateways know of the software versions at which streams began.
	Origins Origins
}

// Ingress serves requests. It is safe for concurrent use.
type Ingress struct {
	options Options
	// Directory holds the runners. It is filled by the watcher of the store.
	Directory *runners.Directory
	table     atomic.Pointer[routetable.Table]
	metrics   *meters
	// plain holds the load of the plain runners.
	plain *plainload.Table
	drain drain
	// durations holds how long the requests of routes lately took at plain runners.
	durations    routeDurations
	promptCaches *promptCaches
	// origins holds the software versions at which streams began, versions those that serve.
	origins   *resume.Table
	versions  *resume.Versions
	questions questions
	open      atomic.Int64
	// lastArrival is the arrival of the latest request, in nanoseconds of Unix time.
	lastArrival atomic.Int64

	mu       sync.Mutex
	pools    map[string]*enginepool.Pool
	budgets  map[string]*retrybudget.Budget
	gateways int
	// returnDetectors detects returning clients, by route.
	returnDetectors map[string]*returnDetector
	// planners predict the room of services that run on engines.
	planners map[string]*forecast.Planner
}

// New returns an Ingress without routes.
func New(o Options) *Ingress {
	return &Ingress{
		options: o, origins: resume.NewTable(o.Name), versions: resume.NewVersions(), questions: questions{open: map[resume.Key][]*question{}}, promptCaches: newPromptCaches(o.Runners, o.Log, o.Held), Directory: runners.NewDirectory(o.Name), metrics: newMeters(), plain: plainload.NewTable(), gateways: o.Gateways,
		pools: map[string]*enginepool.Pool{}, budgets: map[string]*retrybudget.Budget{}, returnDetectors: map[string]*returnDetector{}, planners: map[string]*forecast.Planner{},
	}
}

// SetTable puts a route table into force. It ignores a table that is not newer than the one in force and
// returns false, so that the configuration never goes back.
func (g *Ingress) SetTable(t *routetable.Table) bool {
	for {
		old := g.table.Load()
		if old != nil && old.Config.Version >= t.Config.Version {
			return false
		}
		if g.table.CompareAndSwap(old, t) {
			break
		}
	}
	if g.options.Quota != nil {
		g.options.Quota.Configure(t.Workspaces.All(), time.Now())
	}
	for name, s := range t.Config.Services {
		if s.Engine != nil {
			g.pool(name).Configure(enginepool.Spec{Memory: s.Engine.Memory, Slots: s.Engine.Slots})
		}
	}
	return true
}

// Table returns the table in force, nil before the first.
func (g *Ingress) Table() *routetable.Table { return g.table.Load() }

// Ready reports whether the balancer should send new connections to this process. It is not ready
// while it can't confirm keys, if workspaces authenticate by key: it would refuse their requests.
func (g *Ingress) Ready() bool {
	if !g.informed() || g.drain.begun() {
		return false
	}
	return g.Table().Workspaces == nil || g.unconfirmed() == nil
}

// Idle reports whether no request is being served and none has arrived for the given time.
func (g *Ingress) Idle(now time.Time, idleFor time.Duration) bool {
	return g.open.Load() == 0 && now.Sub(time.Unix(0, g.lastArrival.Load())) >= idleFor
}

// informed reports whether the process has a route table and at least one runner.
func (g *Ingress) informed() bool { return g.table.Load() != nil && g.Directory.Len() > 0 }

// pool returns the engine pool of a service and creates it if needed.
func (g *Ingress) pool(service string) *enginepool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[service]
	if p == nil {
		p = enginepool.New(service, g.Directory, g.options.Pool)
		g.pools[service] = p
	}
	return p
}

// Pools returns the engine pools by service.
func (g *Ingress) Pools() map[string]*enginepool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]*enginepool.Pool, len(g.pools))
	for name, p := range g.pools {
		out[name] = p
	}
	return out
}

// Snapshots returns, by service, the changes of this gateway's reservations since the given
// revisions, and the new revisions. It returns all reservations for nil.
func (g *Ingress) Snapshots(since map[string]uint64) (map[string]enginepool.Snapshot, map[string]uint64) {
	out, reached, now := map[string]enginepool.Snapshot{}, map[string]uint64{}, time.Now()
	for service, p := range g.Pools() {
		snapshot, revision := p.Snapshot(since[service], now)
		promised := g.planner(service).Promises.Own(now)
		snapshot.Promised, snapshot.PromisedAge = promised.Counts, now.Sub(promised.Since)
		out[service], reached[service] = snapshot, revision
	}
	return out, reached
}

// ReceiveSnapshot applies a peer's reservations for a service. Services that this gateway's
// configuration doesn't contain are ignored. It fails with *memory.ErrTooLarge if a part of the
// reservations was ignored.
func (g *Ingress) ReceiveSnapshot(gateway, service string, snapshot enginepool.Snapshot) error {
	p := g.Pools()[service]
	if p == nil {
		return nil
	}
	now := time.Now()
	err := p.ReceiveSnapshot(gateway, snapshot, now)
	g.planner(service).Promises.Receive(gateway, forecast.Report{Since: now.Add(-snapshot.PromisedAge), Counts: snapshot.Promised}, now)
	return err
}

// DropGateway drops the reservations of a peer that no longer sends reports.
func (g *Ingress) DropGateway(gateway string) {
	for service, p := range g.Pools() {
		p.DropGateway(gateway)
		g.planner(service).Promises.Drop(gateway)
	}
}

// Outcomes returns the runners' failures, which are reported to other gateways.
func (g *Ingress) Outcomes() []runners.Outcome { return g.Directory.Outcomes(time.Now()) }

// ReceiveStageChanges applies a peer's report of engines that are changing their stage.
func (g *Ingress) ReceiveStageChanges(changes []runners.StageChange) {
	g.Directory.ReceiveStageChanges(changes, time.Now())
}

// EndStageChange ends a stage change that has reached its time limit.
func (g *Ingress) EndStageChange(runner string) {
	if s := g.Directory.Find(runner); s != nil {
		s.EndStageChange()
	}
}

// ReceiveOutcomes applies a peer's report of failures of runners.
func (g *Ingress) ReceiveOutcomes(gateway string, sameDomain bool, outcomes []runners.Outcome) {
	g.Directory.ReceiveOutcomes(gateway, sameDomain, outcomes, time.Now())
}

// Version returns the version of the configuration in force, 0 before the first.
func (g *Ingress) Version() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// budget returns the retry budget of a service and creates it if needed.
func (g *Ingress) budget(service string) *retrybudget.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retrybudget.New(g.options.Budget, g.gateways)
		g.budgets[service] = b
	}
	return b
}

// LimitRetries changes the limits of all retry budgets.
func (g *Ingress) LimitRetries(l retrybudget.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.options.Budget = l
	for _, b := range g.budgets {
		b.SetLimits(l)
	}
}

// Gateways sets the number of gateways that share the retry budgets.
func (g *Ingress) Gateways(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gateways = n
	for _, b := range g.budgets {
		b.SetGateways(n)
	}
}

const (
	// DispatchInterval is the interval at which waiting requests are dispatched.
	DispatchInterval = 20 * time.Millisecond
	// ticksPerSweep is the number of dispatch intervals between two sweeps: one second.
	ticksPerSweep = 50
)

// Run dispatches waiting requests and sweeps expired state until the context ends.
func (g *Ingress) Run(ctx context.Context) {
	tick := time.NewTicker(DispatchInterval)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if g.options.Lag != nil {
				g.options.Lag.Tick(time.Now())
			}
			if n%ticksPerDecision == 0 {
				g.decideParts(now)
			}
			g.onTick(now, n%ticksPerSweep == 0)
		}
	}
}

func (g *Ingress) onTick(now time.Time, sweep bool) {
	for _, p := range g.Pools() {
		if here, _ := p.Waiting(); here > 0 {
			p.Dispatch(now)
		}
		if sweep {
			p.Sweep(now)
		}
	}
	if sweep {
		g.Directory.Sweep(now)
		g.plain.Sweep(now)
		if t := g.options.Suspicion.Table; t != nil {
			t.Sweep(now)
			g.options.Suspicion.Parts.Sweep(now)
		}
		g.promptCaches.sweep(now)
		g.sweepOrigins(now)
		g.logPools(now)
	}
}

// logPools logs the state of each service's engine pool, for tools that parse the log.
func (g *Ingress) logPools(now time.Time) {
	for service, p := range g.Pools() {
		s := p.Status(now)
		share, _ := p.PrefillShare()
		g.options.Log.Write(decisionlog.KindState, "pool", decisionlog.F("service", service),
			decisionlog.F("prefill", s.Prefill), decisionlog.F("decode", s.Decode), decisionlog.F("changing", s.Changing),
			decisionlog.F("reserved", s.Reserved), decisionlog.F("waiting", s.Waiting), decisionlog.F("reading", s.PrefillTokens), decisionlog.F("prefill_share", share),
			decisionlog.F("slowest", s.Slowest), decisionlog.F("fastest", s.Fastest), decisionlog.F("preempted", s.Preempted))
	}
}

// ServeHTTP implements http.Handler.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, held: memory.Usage{Account: g.options.Held}, w: httpd.NewStallWriter(w, clientStallTimeout), arrived: time.Now()}
	g.lastArrival.Store(x.arrived.UnixNano())
	if open := g.open.Add(1); open > int64(g.options.MaxOpen) {
		g.open.Add(-1)
		httpd.RefuseBody(w, r)
		x.refuse(&ErrBusy{What: "open requests", Size: open, Limit: int64(g.options.MaxOpen)}, shortRetryAfter)
		return
	}
	defer g.open.Add(-1)
	defer x.held.Release()
	if err := x.accept(r); err != nil {
		x.held.Release()
		httpd.RefuseBody(w, r)
		x.reject(err)
		return
	}
	if err := x.checkServable(); err != nil {
		x.refuse(err, notServableRetryAfter)
		return
	}
	if err := x.chargeQuota(); err != nil {
		x.reject(err)
		return
	}
	defer x.refundQuota()
	ctx, cancel := x.withDeadline(r.Context())
	defer cancel()
	x.ctx = ctx
	if err := x.bindResumed(); err != nil {
		x.refuseResumed(err)
		return
	}
	if engine := x.table.Config.Services[x.service].Engine; engine != nil && x.route.Kind == routetable.Stream {
		g.drain.streams.Add(1)
		defer g.drain.streams.Add(-1)
		x.generate(engine)
		return
	}
	x.forward()
}
