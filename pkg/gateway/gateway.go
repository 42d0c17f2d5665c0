// Package gateway receives requests from clients, chooses runners, and combines their output into
// one response for each request. The decisions are made in packages route and request; this package
// does the I/O.
package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/logs"
	"github.com/hopwell/hopwell/pkg/node"
	"github.com/hopwell/hopwell/pkg/route"
)

// Options are the settings of a gateway in addition to those of its node.
type Options struct {
	// Policy chooses the runners.
	Policy route.Policy
	// Lease is how long a runner holds memory for this gateway without a renewal.
	Lease time.Duration
	// MaxOpen limits the open requests of the gateway, MaxPerWorkspace those of one workspace.
	MaxOpen, MaxPerWorkspace int
	// MaxPrompt limits the length of a prompt, in tokens.
	MaxPrompt int
	// ReserveFirst makes the gateway reserve a decode runner before it starts the prefill. Only
	// the baselines for comparison disable it.
	ReserveFirst bool
}

// Defaults for Options.
const (
	DefaultLease           = 4 * time.Second
	DefaultMaxOpen         = 5000
	DefaultMaxPerWorkspace = 1000
	DefaultMaxPrompt       = 128 << 10
	prefixBlocks           = 1 << 20
)

// Gateway serves requests.
type Gateway struct {
	*node.Node
	opt          Options
	log          *logs.Logger
	meters       *meters
	tracker      *route.Tracker
	prefixes     *route.Prefixes
	explanations *explanations
	limits       *limits
	access       *access
	budget       *retryBudget
	scratch      sync.Pool
	draining     atomic.Bool

	subsetMu   sync.Mutex
	subsetView *fleet.View
	subsets    map[subsetKey][]fleet.Grant
}

// New returns a gateway on the given node. Run starts it.
func New(n *node.Node, o Options) *Gateway {
	g := &Gateway{
		Node: n, opt: o,
		log:          logs.For(logs.LayerGateway),
		meters:       newMeters(),
		tracker:      route.NewTracker(),
		prefixes:     route.NewPrefixes(prefixBlocks),
		explanations: newExplanations(),
		limits:       newLimits(o.MaxOpen, o.MaxPerWorkspace),
		access:       newAccess(),
		budget:       newRetryBudget(),
	}
	g.scratch.New = func() any { return &route.Scratch{} }
	g.meters.registerGauges(g)
	return g
}

// Run runs the node and probes runners until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.Node.Run(ctx) })
	wg.Go(func() { g.probe(ctx) })
	wg.Wait()
}

// Ready reports whether the gateway may receive new requests. The health check returns it.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.Node.Ready() }

// StartDrain makes the health check fail, so that the load balancer stops sending requests.
// Requests that still arrive are served.
func (g *Gateway) StartDrain() { g.draining.Store(true) }

// Drain starts a drain and waits until no request is open or the context ends. It reports whether
// all requests ended.
func (g *Gateway) Drain(ctx context.Context) bool {
	g.StartDrain()
	for g.limits.Open() > 0 {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// drainPoll is the interval at which a drain checks for open requests.
const drainPoll = 20 * time.Millisecond
