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

// Fault is what may be made to happen.
type Fault string

// The faults.
const (
	// Kill ends a runner; an empty one comes back.
	Kill Fault = "kill"
	// Silent lets a runner leave requests unanswered.
	Silent Fault = "silent"
	// Failing lets a runner fail requests.
	Failing Fault = "failing"
	// Leaving takes a runner out in an orderly way, and brings it back.
	Leaving Fault = "leaving"
	// Restart ends a gateway at once and starts it again.
	Restart Fault = "restart"
	// Outage keeps the store from answering.
	Outage Fault = "outage"
	// Burst doubles the requests.
	Burst Fault = "burst"
)

// Faults lists all faults.
var Faults = []Fault{Kill, Silent, Failing, Leaving, Restart, Outage, Burst}

const (
	// DefaultFault is how long a fault lasts.
	DefaultFault = 5 * time.Second
	// LongestFault bounds it.
	LongestFault = time.Minute
	// burstRate is by how much a burst raises the rate.
	burstRate = 2
	// allRequests is more requests than a fault meets.
	allRequests = 1 << 30
)

// ErrFault reports a fault that can't be made to happen.
type ErrFault struct {
	Fault  Fault
	Target string
	Why    string
}

// Error implements error.
func (e *ErrFault) Error() string {
	return fmt.Sprintf("no such fault: fault=%s target=%s reason=%s", e.Fault, e.Target, e.Why)
}

// Strike makes a fault happen. The target is a runner or a gateway; empty takes one that
// is up. It fails with *ErrFault.
func (d *Demo) Strike(f Fault, target string, lasts time.Duration) (string, error) {
	if lasts <= 0 || lasts > LongestFault {
		return "", &ErrFault{Fault: f, Target: target, Why: "lasts more than 0, at most " + LongestFault.String()}
	}
	switch f {
	case Kill, Silent, Failing, Leaving:
		return d.strikeRunner(f, target, lasts)
	case Restart:
		return d.restart(target, lasts)
	case Outage:
		d.standIns.Store.Fail("busy")
		d.later(lasts, func() { d.standIns.Store.Fail("") })
		return "store", nil
	case Burst:
		d.mu.Lock()
		defer d.mu.Unlock()
		d.burst, d.burstEnd = burstRate, time.Now().Add(lasts)
		return "clients", nil
	}
	return "", &ErrFault{Fault: f, Target: target, Why: "expected one of " + fmt.Sprint(Faults)}
}

// later does something after a time, unless the demo ends before.
func (d *Demo) later(after time.Duration, do func()) {
	time.AfterFunc(after, func() {
		d.mu.Lock()
		closed := d.closed
		d.mu.Unlock()
		if !closed {
			do()
		}
	})
}

// strikeRunner makes a fault of one runner happen.
func (d *Demo) strikeRunner(f Fault, target string, lasts time.Duration) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if target == "" {
		target = d.anyRunner()
	}
	r := d.standIns.Runners[target]
	if r == nil {
		return "", &ErrFault{Fault: f, Target: target, Why: "no such runner is up"}
	}
	d.down[target] = time.Now().Add(lasts)
	switch f {
	case Kill:
		d.standIns.Kill(target)
		d.later(lasts, func() { d.replace(r) })
		return target, nil
	case Leaving:
		d.standIns.Drain(target)
		d.later(lasts, func() { d.standIns.Kill(target); d.replace(r) })
		return target, nil
	case Silent:
		r.Break(standin.Mute, allRequests)
		d.later(lasts, func() { r.Break(standin.Mute, 0); d.recovered(target) })
	case Failing:
		r.Break(standin.Errors, allRequests)
		d.later(lasts, func() { r.Break(standin.Errors, 0); d.recovered(target) })
	}
	return target, nil
}

// anyRunner returns a runner that no fault has met. The caller holds the lock.
func (d *Demo) anyRunner() string {
	var up []string
	for id := range d.standIns.Runners {
		if _, down := d.down[id]; !down {
			up = append(up, id)
		}
	}
	if len(up) == 0 {
		return ""
	}
	slices.Sort(up)
	return up[rand.IntN(len(up))]
}

// replace starts an empty runner in place of one that has gone.
func (d *Demo) replace(old *standin.Runner) {
	stage, _ := old.Stage()
	fresh := standin.NewRunner(old.ID, old.Service, old.Zone, stage)
	if stage != "" {
		fresh = newEngine(old.ID, old.Zone, stage)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.standIns.Add(fresh)
	delete(d.down, old.ID)
}

func (d *Demo) recovered(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.down, name)
}

// restart ends a gateway at once and starts it again after a time.
func (d *Demo) restart(target string, lasts time.Duration) (string, error) {
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
	d.down[gatewayName(at)] = time.Now().Add(lasts)
	d.mu.Unlock()
	g.Close()
	d.later(lasts, func() {
		if err := d.startGateway(at); err != nil {
			fmt.Fprintf(d.options.Log, "gateway not started: gateway=%s error=%v\n", gatewayName(at), err)
		}
		d.recovered(gatewayName(at))
	})
	return gatewayName(at), nil
}

// InjectRandomFaults makes random faults happen until the context ends; struck is called
// after each.
func (d *Demo) InjectRandomFaults(ctx context.Context, every time.Duration, struck func(f Fault, target string)) {
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
			struck(f, target)
		}
	}
}

// ParseFault reads a fault's name.
func ParseFault(name string) (Fault, error) {
	f := Fault(strings.ToLower(name))
	if !slices.Contains(Faults, f) {
		return "", &ErrFault{Fault: f, Why: "expected one of " + fmt.Sprint(Faults)}
	}
	return f, nil
}
