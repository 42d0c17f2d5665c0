// Package ingressdemo runs a deployment like those of the users in one process on
// loopback: several gateways in front of stand-ins for the platform's store, model
// engines and plain runners. Clients send requests continuously, faults are injected on
// request, and a text view shows the current state.
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
	// engineService and plainService are the services in the stand-ins' configuration.
	engineService, plainService = "llm", "app"
	// engineMemoryTokens is the memory of one engine in tokens, as in the configuration.
	engineMemoryTokens = 20000
	// prefillTokensPerMs is the prefill rate of an engine in prompt tokens per millisecond,
	// tokensPerEvent the number of tokens per stream event, and eventPause the time
	// between events. The engines are as fast as those in the users' sheets.
	prefillTokensPerMs = 30
	tokensPerEvent     = 12
	eventPause         = 60 * time.Millisecond
	// stageChangeTime is how long a stage change of an engine takes.
	stageChangeTime = 2 * time.Second
	// gatewayMemoryMB is the memory limit of one gateway, in MB.
	gatewayMemoryMB = 512
	// orderLease is the duration of the lease that lets a gateway order stage changes.
	orderLease = time.Second
	// startTimeout bounds the time until all gateways are ready; startPollInterval is
	// the time between two readiness checks.
	startTimeout      = 10 * time.Second
	startPollInterval = 20 * time.Millisecond
	// prefillPart in prefillOf engines (1 in 3) start in the prefill stage.
	prefillPart, prefillOf = 1, 3
)

// domains are the failure domains of the gateways and runners.
var domains = []string{"hall-a", "hall-b", "hall-c"}

// Options configures the size and load of the demo.
type Options struct {
	// Gateways, Engines and Plain are the numbers of gateways, engines and plain runners.
	Gateways, Engines, Plain int
	// Rate is the number of requests per second that all clients together start.
	Rate float64
	// Log receives the gateways' decision logs.
	Log io.Writer
	// Workspaces divides the clients among three workspaces, one of which exceeds its
	// rate limit.
	Workspaces bool
	// Seed seeds the random choices of the clients and of InjectRandomFaults.
	Seed uint64
}

// DefaultOptions returns the options of a small deployment.
func DefaultOptions() Options {
	return Options{Gateways: 3, Engines: 6, Plain: 2, Rate: 12, Log: io.Discard, Seed: 1}
}

// ErrOption reports an option that is out of range.
type ErrOption struct {
	Option   string
	Expected string
}

// Error implements error.
func (e *ErrOption) Error() string {
	return fmt.Sprintf("bad option: option=%s expected=%s", e.Option, e.Expected)
}

// check returns an *ErrOption if an option is out of range.
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

// maxRate is the highest request rate, per second, that the stand-ins of one process
// sustain.
const maxRate = 500

// Demo is a running fleet with its clients.
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
	// faultEnds maps the name of each runner and gateway with a fault to the time at
	// which the fault ends.
	faultEnds map[string]time.Time
	closed    bool // set by Close; no runner or gateway is restarted afterwards
	// rateFactor multiplies the clients' request rate until burstEnd.
	rateFactor float64
	burstEnd   time.Time
}

// Start starts the fleet, waits until it is ready, and then starts the clients.
func Start(ctx context.Context, o Options) (*Demo, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	d := &Demo{
		options: o, tally: &tally{}, began: time.Now(), standIns: standin.NewFleet(), faultEnds: map[string]time.Time{},
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
	r.Memory, r.ReadRate, r.Stride, r.Pause, r.ChangeTime = engineMemoryTokens, prefillTokensPerMs, tokensPerEvent, eventPause, stageChangeTime
	return r
}

// gatewayName returns the name of the i-th gateway.
func gatewayName(i int) string { return fmt.Sprintf("gateway-%d", i+1) }

// startGateway starts or restarts the i-th gateway.
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
	c.Limits.MemoryMB = gatewayMemoryMB
	c.Lease = fleet.Duration(orderLease)
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

// await waits until all gateways are ready and have all runners in their directory.
func (d *Demo) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !d.ready() {
		select {
		case <-time.After(startPollInterval):
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

// Callers returns the base URLs at which the running gateways accept client requests.
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

// Close stops the clients, the gateways and the stand-ins.
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
