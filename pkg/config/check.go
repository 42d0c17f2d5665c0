package config

import (
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/logs"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/sidecar"
)

// Bounds of the settings.
const (
	minLease = time.Second
	maxLease = 30 * time.Second
	maxCount = 1 << 20
)

// check returns the first fault of a gateway's settings.
func (g *Gateway) check() *fault {
	return first(
		g.Instance.check(),
		checkURL("platform", g.Platform),
		checkAddress("listen.callers", g.Listen.Callers),
		checkAddress("listen.inner", g.Listen.Inner),
		checkAddress("listen.admin", g.Listen.Admin),
		checkOneOf("policy", g.Policy, route.Names),
		checkDuration("lease", g.Lease, minLease, maxLease),
		checkCount("limits.open_requests", g.Limits.OpenRequests),
		checkCount("limits.open_requests_per_workspace", g.Limits.OpenRequestsPerWorkspace),
		checkCount("limits.prompt_tokens", g.Limits.PromptTokens),
		g.Drain.check(),
		checkLog(g.Log),
	)
}

// check returns the first fault of a sidecar's settings.
func (s *Sidecar) check() *fault {
	return first(
		s.Instance.check(),
		checkURL("platform", s.Platform),
		checkAddress("listen.inner", s.Listen.Inner),
		checkAddress("listen.admin", s.Listen.Admin),
		s.checkRunner(),
		checkCount("slots", s.Slots),
		checkOneOf("admission", s.Admission, []string{sidecar.AdmitDeadline, sidecar.AdmitFIFO}),
		s.Guesses.check(),
		s.Drain.check(),
		checkLog(s.Log),
	)
}

func (s *Sidecar) checkRunner() *fault {
	if (s.Engine == "") == (s.Service == "") {
		return &fault{"engine", "either engine or service, the URL of the runner"}
	}
	if s.Engine != "" {
		return checkURL("engine", s.Engine)
	}
	return checkURL("service", s.Service)
}

func (i *Instance) check() *fault {
	return first(
		checkName("instance.name", i.Name),
		checkName("instance.domain", i.Domain),
		checkName("instance.region", i.Region),
		checkLabels(i.Labels),
	)
}

func (d *Drain) check() *fault {
	return first(
		checkDuration("drain.balancer_wait", d.BalancerWait, 0, time.Hour),
		checkDuration("drain.longest", d.Longest, time.Second, 24*time.Hour),
	)
}

func (g *Guesses) check() *fault {
	if g.PrefillRate <= 0 {
		return &fault{"guesses.prefill_rate", "a number above 0, in tokens a second"}
	}
	if g.LinkRate <= 0 {
		return &fault{"guesses.link_rate", "a number above 0, in bytes a second"}
	}
	return first(
		checkDuration("guesses.step_base", g.StepBase, time.Microsecond, time.Second),
		checkDuration("guesses.step_slope", g.StepSlope, 0, time.Second),
	)
}

func first(faults ...*fault) *fault {
	for _, f := range faults {
		if f != nil {
			return f
		}
	}
	return nil
}

func checkName(field, v string) *fault {
	if !fleet.ValidInstance(v) {
		return &fault{field, "a name of letters, digits and -_.:, at most 63"}
	}
	return nil
}

func checkLabels(l map[string]string) *fault {
	for k, v := range l {
		if !fleet.ValidLabel(k, v) {
			return &fault{"instance.labels." + k, "a key and a value of letters, digits and -_./:"}
		}
	}
	return nil
}

func checkURL(field, v string) *fault {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return &fault{field, "a URL as http://10.0.0.1:7400"}
	}
	return nil
}

func checkAddress(field, v string) *fault {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return &fault{field, "an IP number and port as 10.0.0.1:7480"}
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return &fault{field, "a port from 0 to 65535"}
	}
	return nil
}

func checkOneOf(field, v string, names []string) *fault {
	if !slices.Contains(names, v) {
		return &fault{field, "one of " + strings.Join(names, ", ")}
	}
	return nil
}

func checkDuration(field string, v fleet.Duration, low, high time.Duration) *fault {
	if v.D() < low || v.D() > high {
		return &fault{field, "a duration from " + low.String() + " to " + high.String()}
	}
	return nil
}

func checkCount(field string, v int) *fault {
	if v < 1 || v > maxCount {
		return &fault{field, "a number from 1 to " + strconv.Itoa(maxCount)}
	}
	return nil
}

func checkLog(v string) *fault {
	if v == "" {
		return nil
	}
	for _, name := range strings.Split(v, ",") {
		if f := checkOneOf("log", strings.TrimSpace(name), logs.Layers); f != nil {
			return f
		}
	}
	return nil
}
