// Package process turns settings into running processes: it opens the ports, connects the components,
// and carries out the planned stop.
package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/admin"
	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/httpapi"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/node"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/sidecar"
	"github.com/hopwell/hopwell/pkg/wire"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// maxAdminBody bounds requests to the admin port, in bytes.
const maxAdminBody = 2 << 20

// Process is one running process.
type Process struct {
	// Either Gateway or Sidecar is nil.
	Gateway *gateway.Gateway
	Sidecar *sidecar.Sidecar
	Node    *node.Node

	drain   config.Drain
	callers *httpd.Server
	admin   *httpd.Server
	inner   net.Listener
	cancel  context.CancelFunc
	done    sync.WaitGroup
	stop    sync.Once
	stopped chan struct{}
}

// Ports are the addresses that a process listens on. Inner is for RPCs between gateways and
// sidecars.
type Ports struct {
	Callers, Inner, Admin string
}

// Services are the three services of the platform. One client may implement all of them.
type Services struct {
	KV      platform.KV
	List    platform.List
	Weights platform.Weights
}

// FromURL returns the services of a platform at a base URL.
func FromURL(base string) Services {
	c := platform.NewClient(base)
	return Services{KV: c, List: c, Weights: c}
}

// instanceEntry returns a process's own entry in the instance list. Its addresses are those that the
// process listens on.
func instanceEntry(i config.Instance, role, inner, adminAddr string) platform.Instance {
	return platform.Instance{
		Name: i.Name, Role: role, Domain: i.Domain, Region: i.Region,
		Inner: inner, Admin: adminAddr, Labels: i.Labels,
	}
}

// newNode creates the node that both roles use. The epoch must be greater than that of every
// earlier process of the instance. The processes of one instance run one after another, so their
// start times serve as epochs; a sidecar uses sidecar.NextEpoch.
func newNode(me platform.Instance, s Services, epoch uint64) *node.Node {
	return node.New(node.Options{
		Self: me, Epoch: epoch, KV: s.KV, List: s.List, Dial: wire.TCP,
		Seed: xxhash.Sum64String(fmt.Sprintf("%s/%d", me.Name, epoch)),
	})
}

// StartGateway starts a gateway.
func StartGateway(c *config.Gateway, s Services) (*Process, error) {
	policy, err := route.New(c.Policy)
	if err != nil {
		return nil, err
	}
	p, err := listen(c.Listen, c.Drain)
	if err != nil {
		return nil, err
	}
	me := instanceEntry(c.Instance, platform.RoleGateway, p.inner.Addr().String(), c.Listen.Admin)
	p.Node = newNode(me, s, uint64(time.Now().UnixMilli()))
	p.Gateway = gateway.New(p.Node, gateway.Options{
		Policy: policy, Lease: c.Lease.D(), ReserveFirst: c.Policy == route.NameHopwell,
		MaxOpen: c.Limits.OpenRequests, MaxPerWorkspace: c.Limits.OpenRequestsPerWorkspace, MaxPrompt: c.Limits.PromptTokens,
	})
	if p.callers, err = httpd.ListenCallers(c.Listen.Callers, httpapi.New(p.Gateway)); err != nil {
		p.closePorts()
		return nil, err
	}
	return p, p.run(p.Gateway.Run, nil, c.Listen.Admin)
}

// StartSidecar starts a sidecar.
func StartSidecar(c *config.Sidecar, s Services) (*Process, error) {
	p, err := listen(c.Listen, c.Drain)
	if err != nil {
		return nil, err
	}
	o := sidecar.Options{
		Slots: c.Slots, Admission: c.Admission, Weights: s.Weights,
		PrefillRate: c.Guesses.PrefillRate, LinkRate: c.Guesses.LinkRate,
		StepBase: c.Guesses.StepBase.D(), StepSlope: c.Guesses.StepSlope.D(),
	}
	if c.Engine != "" {
		o.Engine = engine.NewClient(c.Engine)
	} else if o.Service, err = engine.NewServiceClient(c.Service); err != nil {
		p.closePorts()
		return nil, err
	}
	me := instanceEntry(c.Instance, platform.RoleSidecar, p.inner.Addr().String(), c.Listen.Admin)
	p.Node = newNode(me, s, sidecar.NextEpoch(o.Engine))
	p.Sidecar = sidecar.New(p.Node, o)
	return p, p.run(p.Sidecar.Run, p.Sidecar, c.Listen.Admin)
}

// listen opens the inner port, for RPCs between gateways and sidecars.
func listen(l config.Listen, d config.Drain) (*Process, error) {
	inner, err := net.Listen("tcp", l.Inner)
	if err != nil {
		return nil, &httpd.ErrListen{Address: l.Inner, Err: err}
	}
	return &Process{inner: inner, drain: d, stopped: make(chan struct{})}, nil
}

// run serves the inner and the admin port and runs the role.
func (p *Process) run(role func(context.Context), runner wirepb.DRPCRunnerServer, adminAddr string) error {
	h := &admin.Handler{Node: p.Node, Gateway: p.Gateway, Sidecar: p.Sidecar, Drain: func(deadline time.Time) { go p.Stop(deadline) }}
	var err error
	if p.admin, err = httpd.Listen(adminAddr, h.Mux(), maxAdminBody); err != nil {
		p.closePorts()
		return err
	}
	p.Node.Self.Admin = p.admin.Addr()
	server, err := wire.NewServer(node.PeerServer{N: p.Node}, runner)
	if err != nil {
		p.closePorts()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() { role(ctx) })
	p.done.Go(func() { _ = server.Serve(ctx, p.inner) })
	return nil
}

// Ports returns the addresses that the process listens on.
func (p *Process) Ports() Ports {
	out := Ports{Inner: p.inner.Addr().String(), Admin: p.admin.Addr()}
	if p.callers != nil {
		out.Callers = p.callers.Addr()
	}
	return out
}

// Entry returns the entry of the process for the platform's instance list.
func (p *Process) Entry() platform.Instance { return p.Node.Self }

// Stop carries out the planned stop, which interrupts no requests: the process refuses new work,
// finishes or moves running work, and only then closes the ports. A non-zero deadline is when the
// platform ends the instance.
func (p *Process) Stop(deadline time.Time) {
	p.stop.Do(func() {
		p.drainRole(deadline)
		p.Close()
		close(p.stopped)
	})
}

func (p *Process) drainRole(deadline time.Time) {
	longest := p.drain.Longest.D()
	if !deadline.IsZero() {
		longest = min(longest, time.Until(deadline))
	}
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	if p.Sidecar != nil {
		p.Sidecar.Drain(ctx, deadline)
		return
	}
	p.Gateway.StartDrain()
	select {
	case <-time.After(p.drain.BalancerWait.D()):
	case <-ctx.Done():
	}
	p.Gateway.Drain(ctx)
}

// Stopped is closed when the planned stop is over.
func (p *Process) Stopped() <-chan struct{} { return p.stopped }

// Close ends the process at once.
func (p *Process) Close() {
	p.cancel()
	p.closePorts()
	p.done.Wait()
}

func (p *Process) closePorts() {
	_ = p.inner.Close()
	if p.callers != nil {
		p.callers.Close()
	}
	if p.admin != nil {
		p.admin.Close()
	}
}

// ListenHTTP serves the handler of a stand-in, so that the demo and tests need no other way to open
// ports.
func ListenHTTP(address string, h http.Handler) (*httpd.Server, error) {
	return httpd.Listen(address, h, 4*httpapi.MaxBody)
}
