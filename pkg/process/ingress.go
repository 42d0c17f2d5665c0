package process

import (
	"context"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/coldstart"
	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/ingress"
	"github.com/hopwell/hopwell/pkg/overload"
	"github.com/hopwell/hopwell/pkg/peers"
	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/pkg/relay"
	"github.com/hopwell/hopwell/pkg/retrybudget"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/staging"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/pkg/upstream"
	"github.com/hopwell/hopwell/platform"
)

const (
	// connectTimeout bounds the opening of a connection to a runner.
	connectTimeout = 500 * time.Millisecond
	// idleConnTimeout is how long an idle connection is kept to a runner whose responses have no
	// Keep-Alive timeout. Other runners announce this time. A connection that the runner closed
	// meanwhile is detected before it is used.
	idleConnTimeout = 10 * time.Second
	// maxIdleConns bounds the idle connections to one runner.
	maxIdleConns = 24
	// minIdleConns is how many idle connections to each runner are always allowed, however many
	// gateways there are.
	minIdleConns = 2
	// idleConnDivisor divides a runner's connection limit, so that a part of the connections is left for
	// busy ones.
	idleConnDivisor = 2
	// sweepInterval is the interval between sweeps of the idle connections.
	sweepInterval = time.Second
	// stopMargin is the time between the end of a drain and the time at which the platform ends the
	// process.
	stopMargin = 400 * time.Millisecond
	// refusalTime is how long no stream must have been running before a drain ends. During this
	// time, late requests on kept-alive connections are still refused with a response.
	refusalTime = 800 * time.Millisecond
	// drainPollInterval is the interval between checks for running requests during a drain.
	drainPollInterval = 20 * time.Millisecond
	// initialGateways is the number of gateways that share the retry budget until the first sweep.
	initialGateways = 8
	// minGateways is the minimum number of gateways that the retry budget is divided among: some may
	// not be discovered yet.
	minGateways = 4
	// logCloseTimeout bounds the wait for the last lines of the log.
	logCloseTimeout = 200 * time.Millisecond
)

// Ingress is one running ingress process.
type Ingress struct {
	Ingress *ingress.Ingress

	// settings are the last valid settings; a reload replaces them.
	settings atomic.Pointer[config.Ingress]
	log      *decisionlog.Log
	memory   memoryPlan
	client   *upstream.Client
	feed     *feed
	peers    *peers.Exchange
	quota    *quota.Ledger
	suspects *quarantine.Table
	parts    *quarantine.PartTable
	lag      *overload.Meter
	shedder  overload.Shedder
	watchdog watchdog
	servers  []*http.Server
	ports    IngressPorts
	cancel   context.CancelFunc
	done     sync.WaitGroup
	batches  originBatches
	// stateTransfers counts the gateways that are receiving this gateway's copy of the store.
	stateTransfers atomic.Int32
	// reannounce holds a value when the store may have lost this gateway's address.
	reannounce chan struct{}
	stop       sync.Once
	stopped    chan struct{}
}

// StartIngress starts an ingress. Decisions are logged to out.
func StartIngress(c *config.Ingress, out io.Writer) (*Ingress, error) {
	plan := planMemory(c.Limits)
	debug.SetMemoryLimit(plan.runtimeLimit)
	log := decisionlog.New(c.Instance.Name, out)
	client := upstream.New(upstream.Options{ConnectTimeout: connectTimeout, DefaultKeepAlive: idleConnTimeout, MaxIdle: maxIdleConns, OnConnect: countOpened, Heads: plan.heads})
	calls := &platform.Runners{Client: client, Held: plan.held}
	p := &Ingress{log: log, memory: plan, client: client, suspects: quarantine.New(jitter), stopped: make(chan struct{}), reannounce: make(chan struct{}, 1), lag: overload.NewMeter(ingress.DispatchInterval)}
	p.parts = quarantine.NewPartTable(jitter, p.ownsParts)
	p.batches.started = time.Now().UnixMilli()
	p.settings.Store(c)
	allowance := c.Workspaces.Quota
	p.quota = quota.New(quota.Allowance{Window: allowance.Window.D(), Overshoot: allowance.Overshoot, Slack: allowance.Slack}, quota.DefaultShares())
	p.Ingress = ingress.New(ingress.Options{
		Name: c.Instance.Name, Domain: c.Instance.Domain, Regions: c.Regions, Runners: calls, Reader: calls, Log: log,
		Budget:   budgetLimits(c),
		Gateways: initialGateways, MaxOpen: c.Limits.OpenRequests, Held: plan.held,
		Pool: p.poolOptions(c), Revocation: p.revocation(c), Quota: p.quota, Suspicion: p.suspicion(), Lag: p.lag, Origins: p.origins(), Neighbours: func() int { return p.peers.SameDomainCount() },
	})
	p.Ingress.Directory.ColdShare = p.coldShare
	p.Ingress.Directory.Limits.ReportsPending = func() { p.peers.Notify() }
	p.feed = newFeed(p.Ingress, log, nil, c.Store, relay.PaceFor(c.Changes.Bound(c.Workspaces)))
	p.feed.storeCopy.bound, p.feed.store = plan.storeItems, p.feed.openStore(c.Store, plan)
	if err := p.openPeers(); err != nil {
		return nil, err
	}
	if err := p.listen(); err != nil {
		p.closePorts()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	stager := p.newStager(calls)
	p.feed.onOrderLock = stager.lockFree.Store
	p.feed.onRestore = func() {
		p.rewriteStoreEntries()
		stager.restored.Store(true)
	}
	p.feed.exchange, p.feed.onGateway, p.feed.onRunnerRestart = p.peers, p.addPeer, client.CloseIdle
	p.done.Go(func() { p.feed.run(ctx) })
	p.done.Go(func() { p.Ingress.Run(ctx) })
	p.done.Go(func() { p.peers.Run(ctx) })
	p.done.Go(func() { p.announce(ctx) })
	p.done.Go(func() { p.fetchFromPeers(ctx) })
	p.done.Go(func() { p.publishQuarantines(ctx) })
	p.done.Go(func() { p.writeRecords(ctx) })
	p.done.Go(func() { p.writeBatches(ctx) })
	p.done.Go(func() { p.shedOverload(ctx) })
	p.done.Go(func() { stager.run(ctx) })
	p.done.Go(func() { p.sweep(ctx) })
	p.startWatchdog(ctx)
	log.Write(decisionlog.KindProcess, "start", decisionlog.F("pid", os.Getpid()), decisionlog.F("callers", p.ports.Callers),
		decisionlog.F("store", c.Store), decisionlog.F("domain", c.Instance.Domain))
	if err := boottime.Err(); err != nil {
		log.Write(decisionlog.KindProcess, "suspensions_not_seen", decisionlog.F("error", err))
	}
	return p, nil
}

// suspicion returns how gateways report to each other requests and parts of prompts that crash runners.
func (p *Ingress) suspicion() ingress.Suspicion {
	return ingress.Suspicion{
		Table: p.suspects, Report: func(r quarantine.Report) { p.peers.SendSuspicion(r, time.Now()) },
		Parts: p.parts, ReportParts: func(e quarantine.Evidence) { p.peers.SendPartEvidence(e, time.Now()) },
	}
}

// poolOptions returns the settings of the engine pools.
func (p *Ingress) poolOptions(c *config.Ingress) enginepool.Options {
	o := enginepool.DefaultOptions()
	o.Domain, o.Gateway = c.Instance.Domain, c.Instance.Name
	o.Uses = func(runner string) bool { return p.peers.Uses(runner) }
	o.GatewaysOf = func(runner string) []string { return p.peers.GatewaysOf(runner) }
	o.Changed = func() { p.peers.Notify() }
	o.Connected = p.client.HasIdle
	return o
}

// confirmedFraction is the fraction of RevokeWithin for which API keys are accepted without a newer
// confirmation of the configuration. The rest allows for clocks that run at different rates.
const confirmedFraction = 0.95

// revocation returns how long API keys are accepted without a newer confirmation of the
// configuration. The time of a confirmation is that of the request, see relay.History.Confirm.
func (p *Ingress) revocation(c *config.Ingress) ingress.Revocation {
	r := ingress.Revocation{Confirmed: func() time.Time { return p.feed.history.Confirmed() }}
	if c.Workspaces.FailClosed {
		r.After = time.Duration(confirmedFraction * float64(c.Workspaces.RevokeWithin.D()))
	}
	return r
}

// budgetLimits returns the retry budget of the settings.
func budgetLimits(c *config.Ingress) retrybudget.Limits {
	return retrybudget.Limits{Share: c.RetryBudget.Share, Slack: c.RetryBudget.Slack, Window: c.RetryBudget.Window.D()}
}

var connectionsOpened = metrics.GetOrCreateCounter("hopwell_ingress_connections_opened_total")

func countOpened(string) { connectionsOpened.Inc() }

// coldShare returns how many requests in any coldstart.Window this gateway may send to a cold runner,
// and false if the number is unlimited.
func (p *Ingress) coldShare(r runners.Runner) (int, bool) {
	table := p.Ingress.Table()
	if table == nil {
		return 0, false
	}
	settings := p.settings.Load()
	limit := coldstart.Limit{
		PerSecond: table.Config.Services[r.Service].ColdPerSecond,
		Overshoot: settings.ColdRunners.Overshoot, Slack: settings.ColdRunners.Slack,
	}
	if !limit.Bounded() {
		return 0, false
	}
	return coldstart.Share(limit, settings.Instance.Name, p.peers.Names(), r.ID), true
}

// newStager returns the stager, which assigns the engines' stages.
func (p *Ingress) newStager(r *platform.Runners) *stager {
	lease := p.settings.Load().Lease.D()
	return &stager{
		ingress: p.Ingress, calls: r, log: p.log, policy: staging.DefaultPolicy(), wait: lease, rank: p.peers.Rank,
		report: p.peers.SendStageChanges, refusals: map[string]refusalSpan{}, busy: map[string]time.Time{},
		lockForeign: p.lockForeign,
		lock:        &store.Lock{Store: p.feed.currentStore(), Key: orderKey, Holder: p.settings.Load().Instance.Name, TTL: lease},
	}
}

// lockForeign reports whether the key of the order lock names no gateway. Another writer may have written it.
func (p *Ingress) lockForeign() bool {
	item, exists := p.feed.storeCopy.get(orderKey)
	holder := string(item.Value)
	return exists && holder != p.settings.Load().Instance.Name && !slices.Contains(p.peers.Names(), holder)
}

func (p *Ingress) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if p.watchdog.Hung() || !p.Ingress.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Ingress) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	p.Ingress.WriteMetrics(w)
	metrics.WritePrometheus(w, true)
}

func (p *Ingress) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			p.client.Sweep(now)
			gateways := max(p.peers.MemberCount()+1, minGateways)
			p.Ingress.Gateways(gateways)
			p.client.SetMaxIdle(p.idleConnShare(gateways))
		}
	}
}

// idleConnShare returns how many idle connections this gateway may keep to one runner: its share of the
// connections that the runner accepts from all gateways.
func (p *Ingress) idleConnShare(gateways int) int {
	share := maxIdleConns
	table := p.Ingress.Table()
	if table == nil {
		return share
	}
	for _, s := range table.Config.Services {
		if s.MaxConnections > 0 {
			share = min(share, s.MaxConnections/(idleConnDivisor*gateways))
		}
	}
	return max(share, minIdleConns)
}

// Reload applies new settings: the store's address, the retry budget, the drain, the limits for
// cold runners, the seeds, and the instance name in what the process writes from then on. The other
// settings are read only when the process starts. Invalid settings are rejected, and the last valid
// ones stay.
func (p *Ingress) Reload(file string) error {
	c, err := config.LoadIngress(file)
	if err != nil {
		p.log.Write(decisionlog.KindProcess, "reload_refused", decisionlog.F("error", err))
		return err
	}
	p.settings.Store(c)
	p.feed.useStore(p.feed.openStore(c.Store, p.memory), c.Store)
	p.Ingress.LimitRetries(budgetLimits(c))
	p.log.Write(decisionlog.KindProcess, "reload", decisionlog.F("store", c.Store),
		decisionlog.F("retry_share", c.RetryBudget.Share), decisionlog.F("retry_slack", c.RetryBudget.Slack),
		decisionlog.F("drain", c.Drain.Longest.D()))
	return nil
}
