package ingressdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hopwell/hopwell/platform/standin"
)

// Fault is a kind of fault that the demo can inject.
type Fault string

// The kinds of faults.
const (
	// Kill stops a runner and later replaces it by one with an empty cache.
	Kill Fault = "kill"
	// Silent makes a runner accept requests and never respond.
	Silent Fault = "silent"
	// Failing makes a runner respond to requests with 500.
	Failing Fault = "failing"
	// Leaving drains a runner and later replaces it.
	Leaving Fault = "leaving"
	// Restart stops a gateway without draining it and later starts it again.
	Restart Fault = "restart"
	// Outage makes the store respond to all calls with 503.
	Outage Fault = "outage"
	// Burst doubles the clients' request rate.
	Burst Fault = "burst"
)

// Faults lists all faults.
var Faults = []Fault{Kill, Silent, Failing, Leaving, Restart, Outage, Burst}

const (
	// DefaultFault is the default duration of a fault.
	DefaultFault = 5 * time.Second
	// LongestFault is the maximum duration of a fault.
	LongestFault = time.Minute
	// burstFactor multiplies the clients' request rate during a burst.
	burstFactor = 2
	// allRequests exceeds the number of requests that a runner receives during a fault.
	allRequests = 1 << 30
)

// ErrFault reports a fault that can't be injected.
type ErrFault struct {
	Fault  Fault
	Target string
	Why    string
}

// Error implements error.
func (e *ErrFault) Error() string {
	return fmt.Sprintf("no such fault: fault=%s target=%s reason=%s", e.Fault, e.Target, e.Why)
}

// Strike injects a fault and returns the name of its target. The target is a runner or a
// gateway; if it is empty, Strike picks one that is up. Errors are of type *ErrFault.
func (d *Demo) Strike(f Fault, target string, lasts time.Duration) (string, error) {
	if lasts <= 0 || lasts > LongestFault {
		return "", &ErrFault{Fault: f, Target: target, Why: "lasts more than 0, at most " + LongestFault.String()}
	}
	switch f {
	case Kill, Silent, Failing, Leaving:
		return d.injectRunnerFault(f, target, lasts)
	case Restart:
		return d.restartGateway(target, lasts)
	case Outage:
		d.standIns.Store.Fail("busy")
		d.afterDelay(lasts, func() { d.standIns.Store.Fail("") })
		return "store", nil
	case Burst:
		d.mu.Lock()
		defer d.mu.Unlock()
		d.rateFactor, d.burstEnd = burstFactor, time.Now().Add(lasts)
		return "clients", nil
	}
	return "", &ErrFault{Fault: f, Target: target, Why: "expected one of " + fmt.Sprint(Faults)}
}

// afterDelay calls do after a delay, unless the demo has been closed by then.
func (d *Demo) afterDelay(after time.Duration, do func()) {
	time.AfterFunc(after, func() {
		d.mu.Lock()
		closed := d.closed
		d.mu.Unlock()
		if !closed {
			do()
		}
	})
}

// injectRunnerFault injects a fault into one runner.
func (d *Demo) injectRunnerFault(f Fault, target string, lasts time.Duration) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if target == "" {
		target = d.anyRunner()
	}
	r := d.standIns.Runners[target]
	if r == nil {
		return "", &ErrFault{Fault: f, Target: target, Why: "no such runner is up"}
	}
	d.faultEnds[target] = time.Now().Add(lasts)
	switch f {
	case Kill:
		d.standIns.Kill(target)
		d.afterDelay(lasts, func() { d.replaceRunner(r) })
		return target, nil
	case Leaving:
		d.standIns.Drain(target)
		d.afterDelay(lasts, func() { d.killRunner(target); d.replaceRunner(r) })
		return target, nil
	case Silent:
		r.Break(standin.Mute, allRequests)
		d.afterDelay(lasts, func() { r.Break(standin.Mute, 0); d.clearFault(target) })
	case Failing:
		r.Break(standin.Errors, allRequests)
		d.afterDelay(lasts, func() { r.Break(standin.Errors, 0); d.clearFault(target) })
	}
	return target, nil
}

// anyRunner returns the ID of a random runner without a fault, or "" if there is none.
// The caller holds d.mu.
func (d *Demo) anyRunner() string {
	var up []string
	for id := range d.standIns.Runners {
		if _, down := d.faultEnds[id]; !down {
			up = append(up, id)
		}
	}
	if len(up) == 0 {
		return ""
	}
	slices.Sort(up)
	return up[rand.IntN(len(up))]
}

// killRunner stops a runner.
func (d *Demo) killRunner(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.standIns.Kill(id)
}

// replaceRunner starts a runner with an empty cache in place of a stopped one.
func (d *Demo) replaceRunner(old *standin.Runner) {
	stage, _ := old.Stage()
	fresh := standin.NewRunner(old.ID, old.Service, old.Zone, stage)
	if stage != "" {
		fresh = newEngine(old.ID, old.Zone, stage)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.standIns.Add(fresh)
	delete(d.faultEnds, old.ID)
}

func (d *Demo) clearFault(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.faultEnds, name)
}

// restartGateway stops a gateway without draining it and starts it again when the fault ends.
// An empty target selects the first running gateway.
func (d *Demo) restartGateway(target string, lasts time.Duration) (string, error) {
	d.mu.Lock()
	at := -1
	for i, g := range d.gateways {
		if g != nil && (target == "" || target == gatewayName(i)) {
			at = i
			break
		}
	}
	if at < 0 {
		d.mu.Unlock()
		return "", &ErrFault{Fault: Restart, Target: target, Why: "no such gateway is up"}
	}
	g := d.gateways[at]
	d.gateways[at] = nil
	d.faultEnds[gatewayName(at)] = time.Now().Add(lasts)
	d.mu.Unlock()
	g.Close()
	d.afterDelay(lasts, func() {
		if err := d.startGateway(at); err != nil {
			fmt.Fprintf(d.options.Log, "gateway not started: gateway=%s error=%v\n", gatewayName(at), err)
		}
		d.clearFault(gatewayName(at))
	})
	return gatewayName(at), nil
}

// InjectRandomFaults injects a random fault at each interval until the context ends. It calls
// injected after each injected fault and skips faults that can't be injected.
func (d *Demo) InjectRandomFaults(ctx context.Context, every time.Duration, injected func(f Fault, target string)) {
	random := rand.New(rand.NewPCG(d.options.Seed, 2))
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		f := Faults[random.IntN(len(Faults))]
		if target, err := d.Strike(f, "", DefaultFault); err == nil {
			injected(f, target)
		}
	}
}

// ParseFault parses the name of a fault, in any case.
func ParseFault(name string) (Fault, error) {
	f := Fault(strings.ToLower(name))
	if !slices.Contains(Faults, f) {
		return "", &ErrFault{Fault: f, Why: "expected one of " + fmt.Sprint(Faults)}
	}
	return f, nil
}
