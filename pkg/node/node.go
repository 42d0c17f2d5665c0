// Package node is what every hopwell process has, whatever its role: an
// identity, the newest configuration, a view of the fleet, connections to
// peers, a time line, and the answers to peers.
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
	// pollEvery is the time between two looks at the instance list.
	pollEvery = 1500 * time.Millisecond
	// pollTime bounds one look.
	pollTime = 2 * time.Second
	// eventsKept is the size of the time line's ring.
	eventsKept = 16384
)

// Options are what a node needs.
type Options struct {
	// Self is the process's own entry, from its settings.
	Self platform.Instance
	// Epoch tells this process from earlier ones on the instance. It must grow.
	Epoch uint64
	KV    platform.KV
	List  platform.List
	Dial  wire.Dial
	// Seed decides the node's random choices.
	Seed uint64
}

// Node is the common part of a process.
type Node struct {
	Self    platform.Instance
	Epoch   uint64
	Log     *trace.Log
	Keeper  *gossip.Keeper
	Agent   *gossip.Agent
	Members *fleet.Membership
	Pool    *wire.Pool
	Claims  *claim.Store

	metrics *metrics.Set
	list    platform.List
	logs    *logs.Logger

	mu     sync.Mutex
	view   *fleet.View
	viewOf viewKey
	rng    *rand.Rand
}

// viewKey names what a view was made from.
type viewKey struct {
	digest gossip.Digest
	change uint64
}

// New makes a node; Run brings it to life.
func New(o Options) *Node {
	set := metrics.NewSet()
	kv := platform.NewCountedKV(o.KV, set)
	n := &Node{
		Self:    o.Self,
		Epoch:   o.Epoch,
		Log:     trace.NewLog(o.Self.Name, eventsKept),
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

// Run follows the configuration and the instance list until the context ends.
func (n *Node) Run(ctx context.Context) {
	n.Log.Add(trace.Event{Type: trace.ProcessStart, Instance: n.Self.Name})
	var wg sync.WaitGroup
	wg.Go(func() { n.Agent.Run(ctx) })
	wg.Go(func() { n.poll(ctx) })
	wg.Go(func() { n.noteRevisions(ctx) })
	wg.Wait()
	_ = n.Pool.Close()
}

// poll looks at the instance list now and then. A failed look changes nothing.
func (n *Node) poll(ctx context.Context) {
	for ctx.Err() == nil {
		n.look(ctx)
		select {
		case <-time.After(pollEvery + time.Duration(n.Jitter()*float64(pollEvery)/4)):
		case <-ctx.Done():
		}
	}
}

func (n *Node) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	all, err := n.list.Instances(ctx)
	if err != nil {
		n.logs.Info("instance list unavailable", "err", err)
		return
	}
	n.Members.Observe(all, time.Now())
}

// noteRevisions puts each revision that comes into force on the time line.
func (n *Node) noteRevisions(ctx context.Context) {
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

// Jitter returns a random number in [0, 1).
func (n *Node) Jitter() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

// View returns the fleet under the newest configuration.
func (n *Node) View() *fleet.View {
	digest, _ := n.Keeper.Digest()
	key := viewKey{digest, n.Members.Change()}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view == nil || n.viewOf != key {
		n.view, n.viewOf = fleet.NewView(n.Keeper.Document(), n.Members.Members()), key
	}
	return n.view
}

// WriteMetrics writes the metrics of the common part in the Prometheus text format.
func (n *Node) WriteMetrics(w io.Writer) { n.metrics.WritePrometheus(w) }

// Ready reports whether the node knows a configuration.
func (n *Node) Ready() bool {
	_, known := n.Keeper.Digest()
	return known
}
