package fleettest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/platform"
)

// Fault is a kind of injected fault.
type Fault int

// The faults that RandomPlan draws from.
const (
	CrashSidecar Fault = iota
	CrashGateway
	FreezeSidecar
	FreezeGateway
	LoseRunner
	StallLink
	KVOutage
	LostAnswers
	EmptyList
	LagList
	Reclaim
	Relabel
	CancelBurst
	CutWay
	faultKinds
)

// String returns the name of a fault.
func (f Fault) String() string {
	return [...]string{
		"crash_sidecar", "crash_gateway", "freeze_sidecar", "freeze_gateway", "lose_runner", "stall_link",
		"kv_outage", "lost_answers", "empty_list", "lag_list", "reclaim", "relabel", "cancel_burst", "cut_way",
	}[f]
}

// Step is one fault of a plan. At is its time since the start of the run and For
// its duration. Pick selects its target among the candidates.
type Step struct {
	At, For time.Duration
	Fault   Fault
	Pick    int
}

// RandomPlan draws n faults that begin within a run's length.
func RandomPlan(rng *rand.Rand, n int, length time.Duration) []Step {
	var out []Step
	for range n {
		out = append(out, Step{
			At:    time.Duration(rng.Int64N(int64(length))),
			For:   time.Duration(rng.Int64N(int64(6 * time.Second))),
			Fault: Fault(rng.IntN(int(faultKinds))),
			Pick:  rng.IntN(1 << 16),
		})
	}
	return out
}

// Chaos runs load under a fault plan.
type Chaos struct {
	F      *Fleet
	Record *Record
	// Length is the time during which requests are sent, Rate the average number
	// of requests per second.
	Length time.Duration
	Rate   float64

	mu      sync.Mutex
	cancels []context.CancelFunc
	wg      sync.WaitGroup
	changes int
}

// Run sends requests while the plan's faults occur, heals the faults, waits for
// the fleet to come to rest, and returns the violations.
func (c *Chaos) Run(rng *rand.Rand, plan []Step) []Violation {
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { c.F.Watch(c.Record, stop) })
	for _, s := range plan {
		c.wg.Go(func() { c.injectFault(s) })
	}
	c.sendLoad(rng)
	c.wg.Wait()
	time.Sleep(quiescence)
	close(stop)
	watch.Wait()
	return c.F.Judge(c.Record)
}

// quiescence is the time that a run waits after the last request and fault.
// At its end no engine may hold memory for a request and no process may have an
// old revision.
const quiescence = 12 * time.Second

// sendLoad sends generation requests of several sizes, and orders, some of which
// repeat the key of another order.
func (c *Chaos) sendLoad(rng *rand.Rand) {
	n := int(c.Rate * c.Length.Seconds())
	gap := time.Duration(float64(time.Second) / c.Rate)
	for i := range n {
		time.Sleep(time.Duration(float64(gap) * rng.ExpFloat64()))
		g := c.F.Gateway(rng.IntN(1 << 10))
		if rng.IntN(4) == 0 {
			c.order(g, fmt.Sprintf("o%d", i), fmt.Sprintf("key%d", i-rng.IntN(3)))
			continue
		}
		prompt := 20 + rng.IntN(200)
		if rng.IntN(8) == 0 {
			prompt = 4000 + rng.IntN(4000)
		}
		c.generate(g, NewRequest(fmt.Sprintf("r%d", i), prompt, 8+rng.IntN(120)), rng.IntN(10) == 0)
	}
}

// context returns a context that cancelHalf may cancel.
func (c *Chaos) context() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels = append(c.cancels, cancel)
	return ctx
}

func (c *Chaos) recordCall(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Record.Calls = append(c.Record.Calls, call)
}

func (c *Chaos) order(g *Process, id, key string) {
	c.wg.Go(func() { c.recordCall(c.F.Order(c.context(), g, NewOrder(id, key))) })
}

// impatientTimeout is the time after which an impatient client disconnects.
const impatientTimeout = 700 * time.Millisecond

func (c *Chaos) generate(g *Process, req *gateway.Request, impatient bool) {
	c.wg.Go(func() {
		ctx := c.context()
		if impatient {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, impatientTimeout)
			defer cancel()
		}
		c.recordCall(c.F.Generate(ctx, g, req))
	})
}

// injectFault waits for the time of a fault, injects it, and heals it if the fault
// has a duration.
func (c *Chaos) injectFault(s Step) {
	time.Sleep(s.At)
	f := c.F
	switch s.Fault {
	case CrashSidecar:
		c.crash(f.Live(platform.RoleSidecar), s, 1)
	case CrashGateway:
		c.crash(f.Live(platform.RoleGateway), s, 2)
	case FreezeSidecar:
		r := pick(f.Live(platform.RoleSidecar), s.Pick)
		c.recordCutOff(r.Entry.Name)
		c.freeze(r.Entry.Inner, s)
	case FreezeGateway:
		g := pick(f.Live(platform.RoleGateway), s.Pick)
		c.recordCutOff(g.Entry.Name)
		c.freeze(g.Entry.Inner, s)
	case CutWay:
		g, r := pick(f.Live(platform.RoleGateway), s.Pick), pick(f.Live(platform.RoleSidecar), s.Pick/7)
		c.recordCutOff(g.Entry.Name)
		c.freeze(g.Entry.Inner+">"+r.Entry.Inner, s)
	case LoseRunner:
		if live := f.Sidecars("decode"); len(live) > 2 {
			f.Lose(live[s.Pick%len(live)])
		}
	case StallLink:
		c.stall(s)
	case KVOutage:
		f.KV.SetDown(true)
		time.Sleep(s.For)
		f.KV.SetDown(false)
	case LostAnswers:
		f.KV.LoseAnswers(1 + s.Pick%3)
	case EmptyList:
		f.List.SetEmpty(true)
		time.Sleep(s.For)
		f.List.SetEmpty(false)
	case LagList:
		f.List.SetLag(2 * time.Second)
	case Reclaim:
		c.reclaim(s)
	case Relabel:
		c.relabel(s)
	case CancelBurst:
		c.cancelHalf()
	}
}

func pick(all []*Process, n int) *Process { return all[n%len(all)] }

// recordCutOff records the time from which other processes cannot reach a process.
func (c *Chaos) recordCutOff(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Record.CutOff[name] = time.Now()
}

// crash ends one of the live processes and starts it again after the duration of
// the fault. It does nothing if fewer than minLive processes would stay alive.
func (c *Chaos) crash(live []*Process, s Step, minLive int) {
	if len(live) < minLive+1 {
		return
	}
	p := pick(live, s.Pick)
	c.F.Crash(p.Entry.Name)
	time.Sleep(s.For)
	if c.F.Process(p.Entry.Name) == nil {
		c.F.Restart(p.Entry)
	}
}

func (c *Chaos) freeze(target string, s Step) {
	thaw := c.F.Net.Freeze(target)
	time.Sleep(s.For)
	thaw()
}

func (c *Chaos) stall(s Step) {
	live := c.F.Sidecars("prefill")
	resume := c.F.Engines[live[s.Pick%len(live)]].Stall()
	time.Sleep(s.For)
	resume()
}

// reclaim makes an instance leave: the list shows it as leaving and its sidecar
// receives a notice. It does nothing if the pool has fewer than 3 sidecars.
func (c *Chaos) reclaim(s Step) {
	live := c.F.Live(platform.RoleSidecar)
	p := pick(live, s.Pick)
	pool := c.F.Sidecars(p.Entry.Labels["pool"])
	if len(pool) < 3 {
		return
	}
	c.mu.Lock()
	c.Record.Left[p.Entry.Name] = time.Now()
	c.mu.Unlock()
	deadline := time.Now().Add(30 * time.Second)
	c.F.List.Reclaim(p.Entry.Name, deadline)
	p.Sidecar.Leave(deadline, "notice")
}

// relabel changes the configuration by a label that has no effect.
func (c *Chaos) relabel(s Step) {
	c.mu.Lock()
	c.changes++
	id := fmt.Sprintf("change%d", c.changes)
	c.mu.Unlock()
	p := pick(c.F.Live(platform.RoleSidecar), s.Pick)
	doc, err := c.F.Change(&fleet.Change{ID: id, SetLabels: map[string]fleet.Labels{p.Entry.Name: {"rack": id}}})
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Record.Accepted[doc.Revision] = time.Now()
}

// cancelHalf cancels half of all requests at once.
func (c *Chaos) cancelHalf() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, cancel := range c.cancels {
		if i%2 == 0 {
			cancel()
		}
	}
}
