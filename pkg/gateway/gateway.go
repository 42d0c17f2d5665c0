// Package gateway takes callers' requests, chooses runners, and joins what they
// produce into one answer for each request. The decisions are those of packages
// route and request; this package does the I/O between them.
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

// Options are what a gateway needs besides its node.
type Options struct {
	// Policy chooses runners.
	Policy route.Policy
	// Lease is how long a runner holds memory for this gateway without a
	// renewal.
	Lease time.Duration
	// MaxOpen bounds the open requests of the gateway, MaxPerWorkspace those of
	// one workspace.
	MaxOpen, MaxPerWorkspace int
	// MaxPrompt bounds a prompt, in tokens.
	MaxPrompt int
	// ReserveFirst makes the gateway reserve the decode before the prefill
	// starts. Only baselines switch it off.
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
	opt      Options
	log      *logs.Logger
	met      *meters
	tracker  *route.Tracker
	prefixes *route.Prefixes
	explains *explanations
	limits   *limits
	access   *access
	budget   *retryBudget
	scratch  sync.Pool
	draining atomic.Bool

	subsetMu sync.Mutex
	subsetOf *fleet.View
	subsets  map[subsetKey][]fleet.Grant
}

// New makes a gateway on a node; Run brings it to life.
func New(n *node.Node, o Options) *Gateway {
	g := &Gateway{
		Node: n, opt: o,
		log:      logs.For(logs.LayerGateway),
		met:      newMeters(),
		tracker:  route.NewTracker(),
		prefixes: route.NewPrefixes(prefixBlocks),
		explains: newExplanations(),
		limits:   newLimits(o.MaxOpen, o.MaxPerWorkspace),
		access:   newAccess(),
		budget:   newRetryBudget(),
	}
	g.scratch.New = func() any { return &route.Scratch{} }
	g.met.watch(g)
	return g
}

// Run keeps the gateway's knowledge fresh until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.Node.Run(ctx) })
	wg.Go(func() { g.probe(ctx) })
	wg.Wait()
}

// Ready reports whether the gateway may get new requests: its health page.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.Node.Ready() }

// StartDrain makes the health page fail, so that the balancer sends no more
// requests; those that still come are served.
func (g *Gateway) StartDrain() { g.draining.Store(true) }

// Drain waits until no request is open, or until the context ends; it reports
// whether all ended.
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

// drainPoll is how often a drain looks whether requests are open.
const drainPoll = 20 * time.Millisecond
