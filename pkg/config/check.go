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

// Limits of the values in settings.
const (
	minLease = time.Second
	maxLease = 30 * time.Second
	maxCount = 1 << 20
)

// check returns the first invalid field of a gateway's settings, or nil.
func (g *Gateway) check() *invalidField {
	return firstInvalid(
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

// check returns the first invalid field of a sidecar's settings, or nil.
func (s *Sidecar) check() *invalidField {
	return firstInvalid(
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

func (s *Sidecar) checkRunner() *invalidField {
	if (s.Engine == "") == (s.Service == "") {
		return &invalidField{"engine", "exactly one of engine and service, with the URL of the runner"}
	}
	if s.Engine != "" {
		return checkURL("engine", s.Engine)
	}
	return checkURL("service", s.Service)
}

func (i *Instance) check() *invalidField {
	return firstInvalid(
		checkName("instance.name", i.Name),
		checkName("instance.domain", i.Domain),
		checkName("instance.region", i.Region),
		checkLabels(i.Labels),
	)
}

func (d *Drain) check() *invalidField {
	return firstInvalid(
		checkDuration("drain.balancer_wait", d.BalancerWait, 0, time.Hour),
		checkDuration("drain.longest", d.Longest, time.Second, 24*time.Hour),
	)
}

func (g *Guesses) check() *invalidField {
	if g.PrefillRate <= 0 {
		return &invalidField{"guesses.prefill_rate", "a number above 0, in tokens per second"}
	}
	if g.LinkRate <= 0 {
		return &invalidField{"guesses.link_rate", "a number above 0, in bytes per second"}
	}
	return firstInvalid(
		checkDuration("guesses.step_base", g.StepBase, time.Microsecond, time.Second),
		checkDuration("guesses.step_slope", g.StepSlope, 0, time.Second),
	)
}

func firstInvalid(fields ...*invalidField) *invalidField {
	for _, f := range fields {
		if f != nil {
			return f
		}
	}
	return nil
}

func checkName(field, v string) *invalidField {
	if !fleet.ValidInstance(v) {
		return &invalidField{field, "a name of letters, digits and -_.:, at most 63 characters"}
	}
	return nil
}

func checkLabels(l map[string]string) *invalidField {
	for k, v := range l {
		if !fleet.ValidLabel(k, v) {
			return &invalidField{"instance.labels." + k, "a key and a value of letters, digits and -_./:"}
		}
	}
	return nil
}

func checkURL(field, v string) *invalidField {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return &invalidField{field, "a URL such as http://10.0.0.1:7400"}
	}
	return nil
}

func checkAddress(field, v string) *invalidField {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return &invalidField{field, "an IP address and port such as 10.0.0.1:7480"}
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return &invalidField{field, "a port from 0 to 65535"}
	}
	return nil
}

func checkOneOf(field, v string, names []string) *invalidField {
	if !slices.Contains(names, v) {
		return &invalidField{field, "one of " + strings.Join(names, ", ")}
	}
	return nil
}

func checkDuration(field string, v fleet.Duration, low, high time.Duration) *invalidField {
	if v.D() < low || v.D() > high {
		return &invalidField{field, "a duration from " + low.String() + " to " + high.String()}
	}
	return nil
}

func checkCount(field string, v int) *invalidField {
	if v < 1 || v > maxCount {
		return &invalidField{field, "a number from 1 to " + strconv.Itoa(maxCount)}
	}
	return nil
}

func checkLog(v string) *invalidField {
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
