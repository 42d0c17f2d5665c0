package config

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/hopwell/hopwell/pkg/fleet"
)

// IngressListen gives the addresses that an ingress listens on.
type IngressListen struct {
	// Callers is the public address for clients, Health the address of the health page for the
	// balancer.
	Callers string `yaml:"callers"`
	Health  string `yaml:"health"`
	// Metrics and Peers must be reachable from the operators' network only.
	Metrics string `yaml:"metrics"`
	Peers   string `yaml:"peers"`
}

// RetryBudget bounds the retries of a service's requests on a second runner, summed over all
// gateways: in each Window, the fraction Share of the requests plus Slack requests.
type RetryBudget struct {
	Share  float64        `yaml:"share"`
	Slack  float64        `yaml:"slack"`
	Window fleet.Duration `yaml:"window"`
}

// Changes limits the time until a change that operators or runners write to the store is in force
// at all gateways.
type Changes struct {
	// ConfigWithin applies to a new configuration, DrainWithin to a leaving runner, EvacuateWithin
	// to the evacuation of a failure domain.
	ConfigWithin   fleet.Duration `yaml:"config_within"`
	DrainWithin    fleet.Duration `yaml:"drain_within"`
	EvacuateWithin fleet.Duration `yaml:"evacuate_within"`
}

// Bound returns the shortest time limit in c, or w.RevokeWithin if w.FailClosed is set and that
// is shorter.
func (c *Changes) Bound(w Workspaces) time.Duration {
	bound := min(c.ConfigWithin.D(), c.DrainWithin.D(), c.EvacuateWithin.D())
	if w.FailClosed {
		bound = min(bound, w.RevokeWithin.D())
	}
	return bound
}

// ColdRunners bounds how many requests a cold runner gets in one second from all gateways
// together: the number that its service states, times Overshoot, plus Slack.
type ColdRunners struct {
	Overshoot float64 `yaml:"overshoot"`
	Slack     float64 `yaml:"slack"`
}

// Workspaces sets how strictly the keys and limits of workspaces are enforced.
type Workspaces struct {
	// FailClosed makes the gateway refuse requests whose key may have been revoked: those that
	// arrive when the last confirmation that the gateway's configuration matches the store is older
	// than RevokeWithin.
	FailClosed   bool           `yaml:"fail_closed"`
	RevokeWithin fleet.Duration `yaml:"revoke_within"`
	Quota        Quota          `yaml:"quota"`
}

// Quota is the tolerance above a workspace's limit: how much more than the limit the workspace may
// use in a window, at all gateways together.
type Quota struct {
	Window fleet.Duration `yaml:"window"`
	// Overshoot is a fraction of what the limit allows in the window. Slack is an additional
	// amount, in units of the limit.
	Overshoot float64 `yaml:"overshoot"`
	Slack     float64 `yaml:"slack"`
}

// IngressLimits bounds the load that an ingress accepts: the number of open requests, the memory
// of the process in MB, the time to read a request's header, and the time that a connection may
// be idle.
type IngressLimits struct {
	OpenRequests int            `yaml:"open_requests"`
	MemoryMB     int            `yaml:"memory_mb"`
	HeaderTime   fleet.Duration `yaml:"header_time"`
	IdleTime     fleet.Duration `yaml:"idle_time"`
}

// Ingress is the settings file of `hopwelld ingress`. An ingress is the gateway that this command
// runs; "gateways" in this file are all such processes.
type Ingress struct {
	Instance Instance `yaml:"instance"`
	// Regions maps each failure domain to its region.
	Regions map[string]string `yaml:"regions"`
	Store   string            `yaml:"store"`
	// Seeds are addresses of other gateways. A process that starts while the store does not
	// respond queries them instead. Only the hosts are used, because all gateways listen for
	// peers on the same port.
	Seeds       []string      `yaml:"seeds"`
	Listen      IngressListen `yaml:"listen"`
	RetryBudget RetryBudget   `yaml:"retry_budget"`
	Changes     Changes       `yaml:"changes"`
	ColdRunners ColdRunners   `yaml:"cold_runners"`
	Workspaces  Workspaces    `yaml:"workspaces"`
	// Lease is how long the right to control engines lasts without a renewal.
	Lease  fleet.Duration `yaml:"lease"`
	Limits IngressLimits  `yaml:"limits"`
	Drain  Drain          `yaml:"drain"`
}

// LoadIngress reads and checks an ingress's settings file.
func LoadIngress(file string) (*Ingress, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseIngress(file, data)
}

// ParseIngress parses and checks an ingress's settings. file is the file name to report in errors.
func ParseIngress(file string, data []byte) (*Ingress, error) {
	var c Ingress
	must(yaml.Unmarshal([]byte(IngressDefault), &c))
	c.Instance, c.Store, c.Listen, c.Seeds, c.Regions = Instance{}, "", IngressListen{}, nil, nil
	if err := decode(file, data, &c); err != nil {
		return nil, err
	}
	return &c, settingsError(file, data, c.check())
}

// check returns the first invalid field of an ingress's settings, or nil.
func (c *Ingress) check() *invalidField {
	return firstInvalid(
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

func (c *Ingress) checkSeeds() *invalidField {
	for i, seed := range c.Seeds {
		if f := checkAddress(fmt.Sprintf("seeds[%d]", i), seed); f != nil {
			return f
		}
	}
	return nil
}

func (b *RetryBudget) check() *invalidField {
	if b.Share < 0 || b.Share > 1 {
		return &invalidField{"retry_budget.share", "a number from 0 to 1"}
	}
	if b.Slack < 0 {
		return &invalidField{"retry_budget.slack", "a number of 0 or more"}
	}
	return checkDuration("retry_budget.window", b.Window, time.Second, time.Hour)
}

// minChangeBound is the shortest time limit that Changes accepts. A limit below
// relay.ShortestBound is met only as long as no gateway that relays changes to others fails.
const minChangeBound = 100 * time.Millisecond

func (c *Changes) check() *invalidField {
	return firstInvalid(
		checkDuration("changes.config_within", c.ConfigWithin, minChangeBound, time.Hour),
		checkDuration("changes.drain_within", c.DrainWithin, minChangeBound, time.Hour),
		checkDuration("changes.evacuate_within", c.EvacuateWithin, minChangeBound, time.Hour),
	)
}

func (c *ColdRunners) check() *invalidField {
	if c.Overshoot < 0 {
		return &invalidField{"cold_runners.overshoot", "a number of 0 or more"}
	}
	if c.Slack < 0 {
		return &invalidField{"cold_runners.slack", "a number of 0 or more"}
	}
	return nil
}

// minRevokeWithin is the shortest time in which a revoked key can be refused at all gateways:
// a confirmation from a relay is up to 2.5 s old.
const minRevokeWithin = 3 * time.Second

func (w *Workspaces) check() *invalidField {
	return firstInvalid(
		checkDuration("workspaces.revoke_within", w.RevokeWithin, minRevokeWithin, time.Hour),
		w.Quota.check(),
	)
}

func (q *Quota) check() *invalidField {
	if q.Overshoot < 0 || q.Overshoot > 1 {
		return &invalidField{"workspaces.quota.overshoot", "a number from 0 to 1"}
	}
	if q.Slack < 0 {
		return &invalidField{"workspaces.quota.slack", "a number of 0 or more"}
	}
	return checkDuration("workspaces.quota.window", q.Window, time.Second, time.Hour)
}
