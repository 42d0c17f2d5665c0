// Package demo runs a small fleet in one process on loopback: stand-ins for the
// platform and the runners, a sidecar beside each runner, and two gateways. They
// communicate over TCP as in a real fleet.
package demo

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/process"
)

// Model and Service name the model and the plain service that the demo serves.
const (
	Model   = "translate-1"
	Service = "memory"
)

// Sizes of the demo's fleet.
const (
	gateways = 2
	prefills = 3
	decodes  = 3
	services = 1
)

// region is the region of all instances of the demo.
const region = "loopback"

// domains are the demo's failure domains.
var domains = []string{"hall-a", "hall-b", "hall-c"}

// Options configures the listen addresses of the demo. An empty or missing address
// selects a free port.
type Options struct {
	// Platform is the stand-in platform's address.
	Platform string
	// Callers and Admin are the gateways' addresses for clients and for administration,
	// in order of the gateways.
	Callers, Admin []string
}

// Demo is a running fleet.
type Demo struct {
	KV       *fake.KV
	List     *fake.List
	Gateways []*process.Process
	Sidecars []*process.Process
	// PlatformURL is the URL of the stand-in platform, through which the `hopwell`
	// command finds the fleet.
	PlatformURL string

	servers []*httpd.Server
	engines []*fake.Engine
}

// Start starts and configures the fleet and waits until it is ready.
func Start(ctx context.Context, o Options) (*Demo, error) {
	d := &Demo{KV: fake.NewKV(), List: fake.NewList()}
	if err := d.start(o); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.configure(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, d.await(ctx)
}

func (d *Demo) start(o Options) error {
	s, err := process.ListenHTTP(addressOrFreePort(o.Platform), fake.PlatformHandler(d.KV, d.List, fake.NewWeights(20)))
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	d.PlatformURL = "http://" + s.Addr()
	fabric := fake.NewFabric()
	for i := range prefills + decodes {
		if err := d.startEngine(i, fabric); err != nil {
			return err
		}
	}
	for i := range services {
		if err := d.startService(i); err != nil {
			return err
		}
	}
	for i := range gateways {
		if err := d.startGateway(i, o); err != nil {
			return err
		}
	}
	return nil
}

// addressOrFreePort returns the address, or a loopback address with port 0 if it is empty.
func addressOrFreePort(address string) string {
	if address == "" {
		return "127.0.0.1:0"
	}
	return address
}

// addressAt returns the i-th address of a list, or a loopback address with port 0 if the
// list is shorter.
func addressAt(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return addressOrFreePort("")
}

func instance(name string, i int, labels map[string]string) config.Instance {
	return config.Instance{Name: name, Domain: domains[i%len(domains)], Region: region, Labels: labels}
}

// startEngine starts a model engine and its sidecar.
func (d *Demo) startEngine(i int, fabric *fake.Fabric) error {
	pool, n := "prefill", i
	if i >= prefills {
		pool, n = "decode", i-prefills
	}
	name := fmt.Sprintf("%s-%d", pool, n+1)
	e := fake.NewEngine(name, fake.DefaultSpec(), fabric)
	d.engines = append(d.engines, e)
	s, err := process.ListenHTTP(addressOrFreePort(""), fake.EngineHandler(e))
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	c, err := sidecarSettings()
	if err != nil {
		return err
	}
	c.Instance = instance(name, n, map[string]string{"pool": pool})
	c.Engine = "http://" + s.Addr()
	return d.startSidecar(c)
}

// startService starts a plain service and its sidecar.
func (d *Demo) startService(i int) error {
	s, err := process.ListenHTTP(addressOrFreePort(""), fake.NewService(5*time.Millisecond))
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	c, err := sidecarSettings()
	if err != nil {
		return err
	}
	c.Instance = instance(fmt.Sprintf("service-%d", i+1), i, map[string]string{"pool": "service"})
	c.Service = "http://" + s.Addr()
	return d.startSidecar(c)
}

// sidecarSettings returns the default sidecar settings with free ports and no engine.
func sidecarSettings() (*config.Sidecar, error) {
	c, err := config.ParseSidecar("default", []byte(config.SidecarDefault))
	if err != nil {
		return nil, err
	}
	c.Engine = ""
	c.Listen = config.Listen{Inner: addressOrFreePort(""), Admin: addressOrFreePort("")}
	return c, nil
}

func (d *Demo) startSidecar(c *config.Sidecar) error {
	p, err := process.StartSidecar(c, process.FromURL(d.PlatformURL))
	if err != nil {
		return err
	}
	d.Sidecars = append(d.Sidecars, p)
	d.List.Put(p.Entry())
	return nil
}

func (d *Demo) startGateway(i int, o Options) error {
	c, err := config.ParseGateway("default", []byte(config.GatewayDefault))
	if err != nil {
		return err
	}
	c.Instance = instance(fmt.Sprintf("gateway-%d", i+1), i, nil)
	c.Listen = config.Listen{Callers: addressAt(o.Callers, i), Inner: addressOrFreePort(""), Admin: addressAt(o.Admin, i)}
	c.Drain.BalancerWait = 0
	p, err := process.StartGateway(c, process.FromURL(d.PlatformURL))
	if err != nil {
		return err
	}
	d.Gateways = append(d.Gateways, p)
	d.List.Put(p.Entry())
	return nil
}

// configure applies the first configuration, as an operator would.
func (d *Demo) configure(ctx context.Context) error {
	_, err := d.Gateways[0].Node.Agent.Change(ctx, &fleet.Change{ID: "demo", Apply: Selectors()},
		func(_, _ *fleet.Document) error { return nil })
	return err
}

// Selectors returns the selectors of the demo's first configuration.
func Selectors() []fleet.Selector {
	return []fleet.Selector{
		{Name: "prefill", Kind: fleet.AnyKind, Role: fleet.RolePrefill, Model: Model, Match: "pool=prefill"},
		{Name: "decode", Kind: fleet.AnyKind, Role: fleet.RoleDecode, Model: Model, Match: "pool=decode"},
		{Name: "memory", Kind: fleet.AnyKind, Role: fleet.RoleServe, Model: Service, Match: "pool=service"},
	}
}

// await waits until all processes have the configuration and each gateway has all
// processes in its membership list.
func (d *Demo) await(ctx context.Context) error {
	for {
		if d.ready() {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Demo) ready() bool {
	for _, p := range append(d.Gateways, d.Sidecars...) {
		if p.Node.Keeper.Document().Revision == 0 {
			return false
		}
	}
	for _, g := range d.Gateways {
		if len(g.Node.View().Members) < len(d.Gateways)+len(d.Sidecars) {
			return false
		}
	}
	return true
}

// Close stops all processes and stand-ins.
func (d *Demo) Close() {
	for _, p := range append(d.Gateways, d.Sidecars...) {
		p.Close()
	}
	for _, s := range d.servers {
		s.Close()
	}
	for _, e := range d.engines {
		e.Close()
	}
}

const (
	// firstPort and portRange are the start and the size of the port range of FreePorts. The
	// range lies below the system's ephemeral ports, because an outgoing connection
	// could otherwise take the port of a process while that process restarts.
	firstPort, portRange = 12000, 16000
	// portTries bounds the number of ports tried per requested port.
	portTries = 200
	// portStride separates the port ranges of processes that start one after the other
	// and so have consecutive process IDs.
	portStride = 397
)

// portCounter counts the ports tried, so that FreePorts doesn't return a port again within
// one process: a returned port looks free until its user listens on it. The start depends
// on the process ID, so that processes start at different ports.
var portCounter atomic.Uint32

func init() { portCounter.Store(uint32(os.Getpid()) * portStride) }

// ErrNoPort reports that FreePorts found too few free ports.
type ErrNoPort struct {
	Tries int
	Err   error
}

// Error implements error.
func (e *ErrNoPort) Error() string {
	return fmt.Sprintf("no free port: tries=%d cause=%v", e.Tries, e.Err)
}

func (e *ErrNoPort) Unwrap() error { return e.Err }

// FreePorts returns n loopback addresses whose ports are free for both TCP and UDP. It
// serves tests that must know an address before the process that uses it starts.
func FreePorts(n int) ([]string, error) {
	var out []string
	var last error
	for tries := 0; len(out) < n; tries++ {
		if tries == n*portTries {
			return nil, &ErrNoPort{Tries: tries, Err: last}
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portCounter.Add(1)%portRange)
		l, err := net.Listen("tcp", address)
		if err != nil {
			last = err
			continue
		}
		defer l.Close()
		c, err := net.ListenPacket("udp4", address)
		if err != nil {
			last = err
			continue
		}
		defer c.Close()
		out = append(out, address)
	}
	return out, nil
}
