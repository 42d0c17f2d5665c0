// Package node contains the parts that every hopwell process has, gateway or sidecar:
// an identity, the newest configuration, a view of the fleet, connections to other
// processes, a time line, and the server for calls from other processes.
package node

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hopwell/hopwell/pkg/claim"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/gossip"
	"github.com/hopwell/hopwell/pkg/logs"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire"
)

const (
	// pollInterval is the time between two reads of the instance list, before jitter.
	pollInterval = 1500 * time.Millisecond
	// pollTimeout limits one read of the instance list.
	pollTimeout = 2 * time.Second
	// traceCapacity is the number of events that the time line keeps.
	traceCapacity = 16384
)

// Options configure a node.
type Options struct {
	// Self is the process's own entry in the instance list, from its settings.
	Self platform.Instance
	// Epoch distinguishes this process from earlier ones on the same instance. It
	// must increase with each start.
	Epoch uint64
	KV    platform.KV
	List  platform.List
	Dial  wire.Dial
	// Seed seeds the node's random choices.
	Seed uint64
}

// Node is the part of a process that does not depend on its role.
type Node struct {
	Self  platform.Instance
	Epoch uint64
	// Log is the time line.
	Log     *trace.Log
	Keeper  *gossip.Keeper
	Agent   *gossip.Agent
	Members *fleet.Membership
	Pool    *wire.Pool
	Claims  *claim.Store

	metrics *metrics.Set
	list    platform.List
	logs    *logs.Logger

	mu            sync.Mutex
	view          *fleet.View
	cachedViewKey viewKey
	rng           *rand.Rand
}

// viewKey identifies the configuration and the membership that a view was built
// from.
type viewKey struct {
	digest gossip.Digest
	change uint64
}

// New returns a node, which does nothing until Run is called.
func New(o Options) *Node {
	set := metrics.NewSet()
	kv := platform.NewCountedKV(o.KV, set)
	n := &Node{
		Self:    o.Self,
		Epoch:   o.Epoch,
		Log:     trace.NewLog(o.Self.Name, traceCapacity),
		Keeper:  gossip.NewKeeper(),
		Members: fleet.NewMembership(),
		Pool:    wire.NewPool(o.Dial),
		Claims:  claim.NewStore(kv),
		metrics: set,
		list:    o.List,
		logs:    logs.For(logs.LayerFleet),
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
	}
	n.Agent = gossip.NewAgent(n.Keeper, kv, peers{n}, o.Seed)
	return n
}

// Run keeps the configuration and the instance list up to date until the context
// ends. Then it closes the unused connections of the pool.
func (n *Node) Run(ctx context.Context) {
	n.Log.Add(trace.Event{Type: trace.ProcessStart, Instance: n.Self.Name})
	var wg sync.WaitGroup
	wg.Go(func() { n.Agent.Run(ctx) })
	wg.Go(func() { n.poll(ctx) })
	wg.Go(func() { n.recordRevisions(ctx) })
	wg.Wait()
	_ = n.Pool.Close()
}

// poll reads the instance list periodically. A failed read keeps the last list.
func (n *Node) poll(ctx context.Context) {
	for ctx.Err() == nil {
		n.pollOnce(ctx)
		select {
		case <-time.After(pollInterval + time.Duration(n.Jitter()*float64(pollInterval)/4)):
		case <-ctx.Done():
		}
	}
}

func (n *Node) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	all, err := n.list.Instances(ctx)
	if err != nil {
		n.logs.Info("instance list unavailable", "err", err)
		return
	}
	n.Members.Observe(all, time.Now())
}

// recordRevisions records in the time line each revision that comes into force.
func (n *Node) recordRevisions(ctx context.Context) {
	for {
		changed := n.Keeper.Changed()
		if d, known := n.Keeper.Digest(); known {
			n.Log.Add(trace.Event{Type: trace.Revision, Revision: d.Revision})
			n.logs.Info("configuration in force", "revision", d.Revision)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Jitter returns a random number in [0, 1) from the node's seeded generator.
func (n *Node) Jitter() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

// View returns the view of the fleet under the newest configuration. It is rebuilt
// only when the configuration or the membership has changed.
func (n *Node) View() *fleet.View {
	digest, _ := n.Keeper.Digest()
	key := viewKey{digest, n.Members.Change()}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view == nil || n.cachedViewKey != key {
		n.view, n.cachedViewKey = fleet.NewView(n.Keeper.Document(), n.Members.Members()), key
	}
	return n.view
}

// WriteMetrics writes the node's metrics in the Prometheus text format.
func (n *Node) WriteMetrics(w io.Writer) { n.metrics.WritePrometheus(w) }

// Ready reports whether the node has received a configuration.
func (n *Node) Ready() bool {
	_, known := n.Keeper.Digest()
	return known
}
