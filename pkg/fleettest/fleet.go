package fleettest

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/node"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/sidecar"
	"github.com/hopwell/hopwell/pkg/wire"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// The names of the model, the plain service and the region of every test fleet.
const (
	Model   = "model"
	Service = "orders"
	Region  = "region"
)

// Spec describes a fleet.
type Spec struct {
	Gateways, Prefills, Decodes, Services int
	// Domains are the failure domains. Instances are assigned to them round-robin.
	Domains []string
	// Delay is the one-way network delay between domains. Within a domain it is a
	// tenth of that.
	Delay time.Duration
	// Prefill and Decode are the engines' speeds and sizes.
	Prefill, Decode fake.Spec
	// ServiceTime is the duration of a call of a plain service, ServiceSlots the
	// number of calls that one service runs concurrently.
	ServiceTime  time.Duration
	ServiceSlots int
	// Selectors is the first configuration; nil means DefaultSelectors.
	Selectors []fleet.Selector
	// Policy names the routing policy of gateways, Admission the admission policy
	// of sidecars.
	Policy, Admission string
	// Seed seeds all random choices.
	Seed uint64
	// Tweak may change a sidecar's options, to break a mechanism on purpose.
	Tweak func(*sidecar.Options)
	// WrapKV may wrap the key-value service that processes use.
	WrapKV func(platform.KV) platform.KV
	// MaxOpen limits the open requests of a gateway; 0 means the default.
	MaxOpen int
}

// DefaultSpec describes a small fleet.
func DefaultSpec() Spec {
	return Spec{
		Gateways: 2, Prefills: 3, Decodes: 3, Services: 2,
		Domains: []string{"a", "b", "c"}, Delay: time.Millisecond,
		Prefill: fake.DefaultSpec(), Decode: fake.DefaultSpec(),
		ServiceTime: 20 * time.Millisecond, ServiceSlots: 16,
		Policy: route.NameHopwell, Admission: sidecar.AdmitDeadline, Seed: 1,
	}
}

// Process is one running gateway or sidecar.
type Process struct {
	Entry   platform.Instance
	Node    *node.Node
	Gateway *gateway.Gateway
	Sidecar *sidecar.Sidecar
	cancel  context.CancelFunc
	done    chan struct{}
	crashed atomic.Bool
	Died    time.Time
}

// Fleet is a running fleet.
type Fleet struct {
	Spec    Spec
	Net     *Network
	KV      *fake.KV
	List    *fake.List
	Weights *fake.Weights
	Fabric  *fake.Fabric
	Engines map[string]*fake.Engine
	Calls   map[string]*fake.Service

	mu        sync.Mutex
	processes map[string]*Process
	// past holds the processes that have ended.
	past  []*Process
	epoch uint64
}

// Start starts a fleet. It must be called inside a synctest bubble.
func Start(spec Spec) *Fleet {
	f := &Fleet{
		Spec: spec, Net: NewNetwork(), KV: fake.NewKV(), List: fake.NewList(),
		Weights: fake.NewWeights(50), Fabric: fake.NewFabric(),
		Engines: map[string]*fake.Engine{}, Calls: map[string]*fake.Service{},
		processes: map[string]*Process{},
	}
	f.Net.Delay = f.delay
	for i := range spec.Prefills {
		f.addEngine(fmt.Sprintf("prefill-%d", i+1), i, "prefill", spec.Prefill)
	}
	for i := range spec.Decodes {
		f.addEngine(fmt.Sprintf("decode-%d", i+1), i, "decode", spec.Decode)
	}
	for i := range spec.Services {
		name := fmt.Sprintf("service-%d", i+1)
		f.Calls[name] = fake.NewService(spec.ServiceTime)
		f.StartSidecar(f.entry(name, i, platform.RoleSidecar, "service"))
	}
	for i := range spec.Gateways {
		f.StartGateway(f.entry(fmt.Sprintf("gateway-%d", i+1), i, platform.RoleGateway, ""))
	}
	f.configure()
	time.Sleep(startupTime)
	return f
}

// startupTime is the time in which the processes of a new fleet discover one
// another and receive the first configuration.
const startupTime = 4 * time.Second

func (f *Fleet) addEngine(name string, i int, pool string, spec fake.Spec) {
	f.Engines[name] = fake.NewEngine(name, spec, f.Fabric)
	f.StartSidecar(f.entry(name, i, platform.RoleSidecar, pool))
}

// entry returns a process's entry in the instance list. The process's name
// serves as its addresses.
func (f *Fleet) entry(name string, i int, role, pool string) platform.Instance {
	in := platform.Instance{
		Name: name, Role: role, Region: Region, Domain: f.Spec.Domains[i%len(f.Spec.Domains)],
		Inner: name, Admin: name,
	}
	if pool != "" {
		in.Labels = map[string]string{"pool": pool}
	}
	return in
}

// delay returns the network delay between two processes, which depends on their
// failure domains.
func (f *Fleet) delay(from, to string) time.Duration {
	a, b := f.Process(from), f.Process(to)
	if a == nil || b == nil || a.Entry.Domain == b.Entry.Domain {
		return f.Spec.Delay / 10
	}
	return f.Spec.Delay
}

// Process returns the live process with a name, or nil.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// Processes returns all processes, live and ended, sorted by name.
func (f *Fleet) Processes() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := append([]*Process(nil), f.past...)
	for _, p := range f.processes {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *Process) int { return strings.Compare(a.Entry.Name, b.Entry.Name) })
	return out
}

// Live returns the live processes of a role.
func (f *Fleet) Live(role string) []*Process {
	var out []*Process
	for _, p := range f.Processes() {
		if p.Entry.Role == role && f.Process(p.Entry.Name) == p {
			out = append(out, p)
		}
	}
	return out
}

func (f *Fleet) newNode(in platform.Instance) *node.Node {
	f.mu.Lock()
	f.epoch++
	epoch := f.epoch
	f.mu.Unlock()
	var kv platform.KV = f.KV
	if f.Spec.WrapKV != nil {
		kv = f.Spec.WrapKV(kv)
	}
	return node.New(node.Options{Self: in, Epoch: epoch, KV: kv, List: f.List, Dial: f.Net.Dialer(in.Inner), Seed: f.Spec.Seed*1000 + epoch})
}

// StartGateway starts a gateway and adds it to the instance list.
func (f *Fleet) StartGateway(in platform.Instance) *Process {
	policy, err := route.New(f.Spec.Policy)
	if err != nil {
		panic(err)
	}
	n := f.newNode(in)
	maxOpen := f.Spec.MaxOpen
	if maxOpen == 0 {
		maxOpen = gateway.DefaultMaxOpen
	}
	g := gateway.New(n, gateway.Options{
		Policy: policy, Lease: gateway.DefaultLease, ReserveFirst: f.Spec.Policy == route.NameHopwell,
		MaxOpen: maxOpen, MaxPerWorkspace: maxOpen, MaxPrompt: gateway.DefaultMaxPrompt,
	})
	return f.run(&Process{Entry: in, Node: n, Gateway: g}, g.Run, nil)
}

// StartSidecar starts a sidecar for the runner with the same name and adds it to
// the instance list.
func (f *Fleet) StartSidecar(in platform.Instance) *Process {
	n := f.newNode(in)
	o := sidecar.Options{
		Slots: f.Spec.ServiceSlots, Admission: f.Spec.Admission, Weights: f.Weights,
		PrefillRate: 8000, StepBase: 20 * time.Millisecond, StepSlope: time.Millisecond, LinkRate: 10e9,
	}
	p := &Process{Entry: in, Node: n}
	if e := f.Engines[in.Name]; e != nil {
		o.Engine = &gated{Engine: e, crashed: func() bool { return p.crashed.Load() }}
	} else {
		o.Service = f.Calls[in.Name]
	}
	if f.Spec.Tweak != nil {
		f.Spec.Tweak(&o)
	}
	p.Sidecar = sidecar.New(n, o)
	return f.run(p, p.Sidecar.Run, p.Sidecar)
}

// run serves a process's inner port, adds the process to the instance list and
// runs its role.
func (f *Fleet) run(p *Process, role func(context.Context), runner wirepb.DRPCRunnerServer) *Process {
	server, err := wire.NewServer(node.PeerServer{N: p.Node}, runner)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel, p.done = cancel, make(chan struct{})
	f.mu.Lock()
	f.processes[p.Entry.Name] = p
	f.mu.Unlock()
	f.Net.Serve(ctx, p.Entry.Inner, server)
	f.List.Put(p.Entry)
	go func() {
		defer close(p.done)
		role(ctx)
	}()
	return p
}

// configure applies the first configuration.
func (f *Fleet) configure() {
	list := f.Spec.Selectors
	if list == nil {
		list = DefaultSelectors()
	}
	if _, err := f.Change(&fleet.Change{ID: "first", Apply: list}); err != nil {
		panic(err)
	}
}

// DefaultSelectors returns one selector per pool, which gives the pool its role
// for requests of every kind.
func DefaultSelectors() []fleet.Selector {
	return []fleet.Selector{
		{Name: "prefill", Kind: fleet.AnyKind, Role: fleet.RolePrefill, Model: Model, Match: "pool=prefill"},
		{Name: "decode", Kind: fleet.AnyKind, Role: fleet.RoleDecode, Model: Model, Match: "pool=decode"},
		{Name: "orders", Kind: fleet.AnyKind, Role: fleet.RoleServe, Model: Service, Match: "pool=service", NotRepeatable: true},
	}
}

// Change applies an operator's change through the first live gateway. A change
// without a base is based on that gateway's revision.
func (f *Fleet) Change(c *fleet.Change) (*fleet.Document, error) {
	g := f.Live(platform.RoleGateway)[0]
	if c.Base == 0 {
		c.Base = g.Node.Keeper.Document().Revision
	}
	return g.Node.Agent.Change(context.Background(), c, func(_, _ *fleet.Document) error { return nil })
}
