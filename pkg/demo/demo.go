// Package demo runs a whole small fleet in one process on loopback: stand-ins
// for the platform and the runners, a sidecar beside each runner, and two
// gateways. Everything between them goes over TCP as it does in a real fleet.
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

// Model and Service are what the demo offers.
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

// region is where all of the demo is.
const region = "loopback"

// domains are the demo's failure domains.
var domains = []string{"hall-a", "hall-b", "hall-c"}

// Options choose the demo's addresses; empty ones take free ports.
type Options struct {
	// Platform is the stand-in platform's address.
	Platform string
	// Callers and Admin are addresses for the gateways, in order.
	Callers, Admin []string
}

// Demo is the running fleet.
type Demo struct {
	KV       *fake.KV
	List     *fake.List
	Gateways []*process.Process
	Sidecars []*process.Process
	// PlatformURL is where `hopwell` finds the fleet.
	PlatformURL string

	servers []*httpd.Server
	engines []*fake.Engine
}

// Start brings the fleet up and waits until it is ready.
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
	s, err := process.ListenHTTP(or(o.Platform), fake.PlatformHandler(d.KV, d.List, fake.NewWeights(20)))
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	d.PlatformURL = "http://" + s.Addr()
	fabric := fake.NewFabric()
	for i := range prefills + decodes {
		if err := d.startModel(i, fabric); err != nil {
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

// or returns an address, or a free port of loopback for an empty one.
func or(address string) string {
	if address == "" {
		return "127.0.0.1:0"
	}
	return address
}

// nth returns the i-th address of a list, or a free port.
func nth(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return or("")
}

func instance(name string, i int, labels map[string]string) config.Instance {
	return config.Instance{Name: name, Domain: domains[i%len(domains)], Region: region, Labels: labels}
}

// startModel starts a model engine and its sidecar.
func (d *Demo) startModel(i int, fabric *fake.Fabric) error {
	pool, n := "prefill", i
	if i >= prefills {
		pool, n = "decode", i-prefills
	}
	name := fmt.Sprintf("%s-%d", pool, n+1)
	e := fake.NewEngine(name, fake.DefaultSpec(), fabric)
	d.engines = append(d.engines, e)
	s, err := process.ListenHTTP(or(""), fake.EngineHandler(e))
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
	s, err := process.ListenHTTP(or(""), fake.NewService(5*time.Millisecond))
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

// sidecarSettings returns the default settings with free ports.
func sidecarSettings() (*config.Sidecar, error) {
	c, err := config.ParseSidecar("default", []byte(config.SidecarDefault))
	if err != nil {
		return nil, err
	}
	c.Engine = ""
	c.Listen = config.Listen{Inner: or(""), Admin: or("")}
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
	c.Listen = config.Listen{Callers: nth(o.Callers, i), Inner: or(""), Admin: nth(o.Admin, i)}
	c.Drain.BalancerWait = 0
	p, err := process.StartGateway(c, process.FromURL(d.PlatformURL))
	if err != nil {
		return err
	}
	d.Gateways = append(d.Gateways, p)
	d.List.Put(p.Entry())
	return nil
}

// configure makes the first configuration, as an operator would.
func (d *Demo) configure(ctx context.Context) error {
	_, err := d.Gateways[0].Node.Agent.Change(ctx, &fleet.Change{ID: "demo", Apply: Selectors()},
		func(_, _ *fleet.Document) error { return nil })
	return err
}

// Selectors are the demo's first selectors.
func Selectors() []fleet.Selector {
	return []fleet.Selector{
		{Name: "prefill", Kind: fleet.AnyKind, Role: fleet.RolePrefill, Model: Model, Match: "pool=prefill"},
		{Name: "decode", Kind: fleet.AnyKind, Role: fleet.RoleDecode, Model: Model, Match: "pool=decode"},
		{Name: "memory", Kind: fleet.AnyKind, Role: fleet.RoleServe, Model: Service, Match: "pool=service"},
	}
}

// await waits until all processes have the configuration and each gateway sees
// the runners.
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

// Close ends the whole fleet.
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
	// firstPort and ports are the range that FreePorts takes from: below those that
	// the system gives to outgoing connections, which would take a port away while
	// its process restarts.
	firstPort, ports = 12000, 16000
	// portTries bounds the ports that are tried for each that is wanted.
	portTries = 200
	// portStride keeps the ports of processes that start one after the other apart.
	portStride = 397
)

// lastPort counts the ports handed out, so that none is given twice before its process
// has taken it; processes begin at different places.
var lastPort atomic.Uint32

func init() { lastPort.Store(uint32(os.Getpid()) * portStride) }

// ErrNoPort reports that no free port was found.
type ErrNoPort struct {
	Tries int
	Err   error
}

// Error implements error.
func (e *ErrNoPort) Error() string {
	return fmt.Sprintf("no free port: tries=%d cause=%v", e.Tries, e.Err)
}

// Unwrap returns the cause.
func (e *ErrNoPort) Unwrap() error { return e.Err }

// FreePorts returns n addresses on loopback whose ports are free for TCP and UDP, for
// tests that must know an address before its process starts.
func FreePorts(n int) ([]string, error) {
	var out []string
	var last error
	for tries := 0; len(out) < n; tries++ {
		if tries == n*portTries {
			return nil, &ErrNoPort{Tries: tries, Err: last}
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort.Add(1)%ports)
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
