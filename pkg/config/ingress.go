package config

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/hopwell/hopwell/pkg/fleet"
)

// IngressListen gives the addresses that an ingress listens on.
type IngressListen struct {
	// Callers is the public address, Health that of the page for the balancer.
	Callers string `yaml:"callers"`
	Health  string `yaml:"health"`
	// Metrics and Peers belong on the operators' network only.
	Metrics string `yaml:"metrics"`
	Peers   string `yaml:"peers"`
}

// RetryBudget bounds the requests that go to a second runner.
type RetryBudget struct {
	Share  float64        `yaml:"share"`
	Slack  float64        `yaml:"slack"`
	Window fleet.Duration `yaml:"window"`
}

// Changes says by when what operators or runners write to the store is in force at all gateways.
type Changes struct {
	// ConfigWithin is for a configuration, DrainWithin for a runner that leaves, EvacuateWithin for
	// a failure domain that is evacuated.
	ConfigWithin   fleet.Duration `yaml:"config_within"`
	DrainWithin    fleet.Duration `yaml:"drain_within"`
	EvacuateWithin fleet.Duration `yaml:"evacuate_within"`
}

// Bound returns the shortest of these times, and of that for revoked keys where they count.
func (c *Changes) Bound(w Workspaces) time.Duration {
	bound := min(c.ConfigWithin.D(), c.DrainWithin.D(), c.EvacuateWithin.D())
	if w.FailClosed {
		bound = min(bound, w.RevokeWithin.D())
	}
	return bound
}

// ColdRunners says how many requests in one second a runner gets that is still cold, over all
// gateways: what its service says, times Overshoot, and Slack more.
type ColdRunners struct {
	Overshoot float64 `yaml:"overshoot"`
	Slack     float64 `yaml:"slack"`
}

// Workspaces says how strictly keys and limits of workspaces are kept.
type Workspaces struct {
	// FailClosed refuses requests with a key that may have been taken away: when the
	// store was last known to be as it is here longer ago than RevokeWithin allows.
	FailClosed   bool           `yaml:"fail_closed"`
	RevokeWithin fleet.Duration `yaml:"revoke_within"`
	Quota        Quota          `yaml:"quota"`
}

// Quota says how much more than its limit a workspace may use in a window, over all
// gateways.
type Quota struct {
	Window fleet.Duration `yaml:"window"`
	// Overshoot is a part of what the limit allows in the window, Slack an amount beside
	// it, in units of the limit.
	Overshoot float64 `yaml:"overshoot"`
	Slack     float64 `yaml:"slack"`
}

// IngressLimits bounds what an ingress takes on.
type IngressLimits struct {
	OpenRequests int            `yaml:"open_requests"`
	MemoryMB     int            `yaml:"memory_mb"`
	HeaderTime   fleet.Duration `yaml:"header_time"`
	IdleTime     fleet.Duration `yaml:"idle_time"`
}

// Ingress is the settings file of `hopwelld ingress`.
type Ingress struct {
	Instance Instance `yaml:"instance"`
	// Regions names the region of each failure domain.
	Regions map[string]string `yaml:"regions"`
	Store   string            `yaml:"store"`
	// Seeds are addresses of other gateways, which a process asks that starts while
	// the store does not answer. Only the hosts count: all listen for each other on
	// the same port.
	Seeds       []string       `yaml:"seeds"`
	Listen      IngressListen  `yaml:"listen"`
	RetryBudget RetryBudget    `yaml:"retry_budget"`
	Changes     Changes        `yaml:"changes"`
	ColdRunners ColdRunners    `yaml:"cold_runners"`
	Workspaces  Workspaces     `yaml:"workspaces"`
	Lease       fleet.Duration `yaml:"lease"`
	Limits      IngressLimits  `yaml:"limits"`
	Drain       Drain          `yaml:"drain"`
}

// LoadIngress reads and checks an ingress's settings file.
func LoadIngress(file string) (*Ingress, error) {
	data, err := read(file)
	if err != nil {
		return nil, err
	}
	return ParseIngress(file, data)
}

// ParseIngress reads and checks an ingress's settings; file is for errors.
func ParseIngress(file string, data []byte) (*Ingress, error) {
	var c Ingress
	must(yaml.Unmarshal([]byte(IngressDefault), &c))
	c.Instance, c.Store, c.Listen, c.Seeds, c.Regions = Instance{}, "", IngressListen{}, nil, nil
	if err := decode(file, data, &c); err != nil {
		return nil, err
	}
	return &c, place(file, data, c.check())
}

// check returns the first fault of an ingress's settings.
func (c *Ingress) check() *fault {
	return first(
		c.Instance.check(),
		checkAddress("store", c.Store),
		c.checkSeeds(),
		checkAddress("listen.callers", c.Listen.Callers),
		checkAddress("listen.health", c.Listen.Health),
		checkAddress("listen.metrics", c.Listen.Metrics),
		checkAddress("listen.peers", c.Listen.Peers),
		c.RetryBudget.check(),
		c.Changes.check(),
		c.ColdRunners.check(),
		c.Workspaces.check(),
		checkDuration("lease", c.Lease, minLease, maxLease),
		checkCount("limits.open_requests", c.Limits.OpenRequests),
		checkCount("limits.memory_mb", c.Limits.MemoryMB),
		checkDuration("limits.header_time", c.Limits.HeaderTime, time.Second, time.Hour),
		checkDuration("limits.idle_time", c.Limits.IdleTime, time.Second, time.Hour),
		c.Drain.check(),
	)
}

func (c *Ingress) checkSeeds() *fault {
	for i, seed := range c.Seeds {
		if f := checkAddress(fmt.Sprintf("seeds[%d]", i), seed); f != nil {
			return f
		}
	}
	return nil
}

func (b *RetryBudget) check() *fault {
	if b.Share < 0 || b.Share > 1 {
		return &fault{"retry_budget.share", "a number from 0 to 1"}
	}
	if b.Slack < 0 {
		return &fault{"retry_budget.slack", "a number of 0 or more"}
	}
	return checkDuration("retry_budget.window", b.Window, time.Second, time.Hour)
}

// minChange is the shortest time that may be asked for a change. Below relay.ShortestBound it holds
// as long as no relay is lost.
const minChange = 100 * time.Millisecond

func (c *Changes) check() *fault {
	return first(
		checkDuration("changes.config_within", c.ConfigWithin, minChange, time.Hour),
		checkDuration("changes.drain_within", c.DrainWithin, minChange, time.Hour),
		checkDuration("changes.evacuate_within", c.EvacuateWithin, minChange, time.Hour),
	)
}

func (c *ColdRunners) check() *fault {
	if c.Overshoot < 0 {
		return &fault{"cold_runners.overshoot", "a number of 0 or more"}
	}
	if c.Slack < 0 {
		return &fault{"cold_runners.slack", "a number of 0 or more"}
	}
	return nil
}

// minRevoke is the shortest time in which a revoked key can be refused everywhere: what
// relays confirm is up to 2.5 s old.
const minRevoke = 3 * time.Second

func (w *Workspaces) check() *fault {
	return first(
		checkDuration("workspaces.revoke_within", w.RevokeWithin, minRevoke, time.Hour),
		w.Quota.check(),
	)
}

func (q *Quota) check() *fault {
	if q.Overshoot < 0 || q.Overshoot > 1 {
		return &fault{"workspaces.quota.overshoot", "a number from 0 to 1"}
	}
	if q.Slack < 0 {
		return &fault{"workspaces.quota.slack", "a number of 0 or more"}
	}
	return checkDuration("workspaces.quota.window", q.Window, time.Second, time.Hour)
}
