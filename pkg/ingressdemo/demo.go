// Package ingressdemo runs what the users run, in one process on loopback: some
// ingresses before stand-ins of the platform's store, its model engines and its plain
// runners, with clients that ask all the time, faults on request, and a view of what
// goes on.
package ingressdemo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/process"
	"github.com/hopwell/hopwell/platform/standin"
)

const (
	// engineService and plainService are the services of the stand-in's configuration.
	engineService, plainService = "llm", "app"
	// engineMemory is an engine's, in tokens, as the configuration says.
	engineMemory = 20000
	// readRate is how many prompt tokens an engine reads in a millisecond, stride how
	// many tokens an event holds, and eventPause the time of an event: engines as
	// fast as those of the users' sheets.
	readRate   = 30
	stride     = 12
	eventPause = 60 * time.Millisecond
	// changeTime is how long a change of stage takes.
	changeTime = 2 * time.Second
	// gatewayMemory is a gateway's limit, in MB.
	gatewayMemory = 512
	// lease is the right to order's.
	lease = time.Second
	// startTime bounds the time until a gateway serves, startLook is between two looks.
	startTime = 10 * time.Second
	startLook = 20 * time.Millisecond
	// prefillPart of prefillOf engines read prompts at first.
	prefillPart, prefillOf = 1, 3
)

// domains are the failure domains.
var domains = []string{"hall-a", "hall-b", "hall-c"}

// Options are the demo's sizes.
type Options struct {
	// Gateways, Engines and Plain are how many of each there are.
	Gateways, Engines, Plain int
	// Rate is how many requests all clients begin in a second.
	Rate float64
	// Log receives the gateways' decision logs.
	Log io.Writer
	// Workspaces has the clients belong to three workspaces, of which one sends more than
	// its limit.
	Workspaces bool
	// Seed makes the clients' choices and the random faults repeat.
	Seed uint64
}

// DefaultOptions are the sizes of a small deployment.
func DefaultOptions() Options {
	return Options{Gateways: 3, Engines: 6, Plain: 2, Rate: 12, Log: io.Discard, Seed: 1}
}

// ErrOption reports a size that the demo can't have.
type ErrOption struct {
	Option   string
	Expected string
}

// Error implements error.
func (e *ErrOption) Error() string {
	return fmt.Sprintf("bad option: option=%s expected=%s", e.Option, e.Expected)
}

// check fails with *ErrOption.
func (o Options) check() error {
	const leastEngines = 2
	switch {
	case o.Gateways < 1:
		return &ErrOption{Option: "gateways", Expected: "1 or more"}
	case o.Engines < leastEngines:
		return &ErrOption{Option: "engines", Expected: "2 or more"}
	case o.Plain < 1:
		return &ErrOption{Option: "plain", Expected: "1 or more"}
	case o.Rate <= 0 || o.Rate > maxRate:
		return &ErrOption{Option: "rate", Expected: fmt.Sprintf("more than 0, at most %d", maxRate)}
	}
	return nil
}

// maxRate is the most requests a second that one process of stand-ins bears.
const maxRate = 500

// Demo is the running fleet.
type Demo struct {
	options Options
	tally   *tally
	began   time.Time
	client  *http.Client
	done    sync.WaitGroup
	cancel  context.CancelFunc

	mu       sync.Mutex
	standIns *standin.Fleet
	gateways []*process.Ingress
	// down are the runners and gateways that a fault took away, by name, with the time
	// when they come back.
	down   map[string]time.Time
	closed bool // set by Close: nothing comes back after it
	// burst is by how much the clients' rate is raised until burstEnd.
	burst    float64
	burstEnd time.Time
}

// Start brings the fleet up and starts the clients once it serves.
func Start(ctx context.Context, o Options) (*Demo, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	d := &Demo{
		options: o, tally: &tally{}, began: time.Now(), standIns: standin.NewFleet(), down: map[string]time.Time{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxRate}},
	}
	config := standin.Config(1)
	if o.Workspaces {
		config = standin.WithWorkspaces(config, workspaces()...)
	}
	d.standIns.Configure(config)
	d.addRunners()
	for i := range o.Gateways {
		if err := d.startGateway(i); err != nil {
			d.Close()
			return nil, err
		}
	}
	if err := d.await(ctx); err != nil {
		d.Close()
		return nil, err
	}
	run, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.done.Go(func() { d.load(run) })
	return d, nil
}

// addRunners starts the engines and the plain runners.
func (d *Demo) addRunners() {
	for i := range d.options.Engines {
		stage := "decode"
		if i%prefillOf < prefillPart {
			stage = "prefill"
		}
		d.standIns.Add(newEngine(fmt.Sprintf("engine-%d", i+1), domains[i%len(domains)], stage))
	}
	for i := range d.options.Plain {
		d.standIns.Add(standin.NewRunner(fmt.Sprintf("plain-%d", i+1), plainService, domains[i%len(domains)], ""))
	}
}

func newEngine(id, domain, stage string) *standin.Runner {
	r := standin.NewRunner(id, engineService, domain, stage)
	r.Memory, r.ReadRate, r.Stride, r.Pause, r.ChangeTime = engineMemory, readRate, stride, eventPause, changeTime
	return r
}

// gatewayName names the i-th gateway.
func gatewayName(i int) string { return fmt.Sprintf("gateway-%d", i+1) }

// startGateway starts the i-th gateway, or starts it again.
func (d *Demo) startGateway(i int) error {
	const anyPort = "127.0.0.1:0"
	c, err := config.ParseIngress("default", []byte(config.IngressDefault))
	if err != nil {
		return err
	}
	c.Instance = config.Instance{Name: gatewayName(i), Domain: domains[i%len(domains)], Region: "loopback"}
	c.Store = d.standIns.Address
	c.Seeds = nil
	c.Listen = config.IngressListen{Callers: anyPort, Health: anyPort, Metrics: anyPort, Peers: anyPort}
	c.Limits.MemoryMB = gatewayMemory
	c.Lease = fleet.Duration(lease)
	p, err := process.StartIngress(c, d.options.Log)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if i < len(d.gateways) {
		d.gateways[i] = p
	} else {
		d.gateways = append(d.gateways, p)
	}
	return nil
}

// await waits until all gateways serve and know all runners.
func (d *Demo) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for !d.ready() {
		select {
		case <-time.After(startLook):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (d *Demo) ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range d.gateways {
		if g == nil || !g.Ingress.Ready() || g.Ingress.Directory.Len() < len(d.standIns.Runners) {
			return false
		}
	}
	return true
}

// Callers returns where the gateways that are up take requests.
func (d *Demo) Callers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, g := range d.gateways {
		if g != nil {
			out = append(out, "http://"+g.Ports().Callers)
		}
	}
	return out
}

// Close ends the whole fleet.
func (d *Demo) Close() {
	if d.cancel != nil {
		d.cancel()
	}
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.client.CloseIdleConnections()
	d.done.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range d.gateways {
		if g != nil {
			g.Close()
		}
	}
	d.standIns.Close()
}
