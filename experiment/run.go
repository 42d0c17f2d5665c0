package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/fleettest"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/sidecar"
)

// Setting is a combination of a routing policy and an admission policy.
type Setting struct {
	Name, Policy, Admission string
}

// Settings returns the settings to compare. The baselines admit every request, as simple
// routers do. One baseline also runs with hopwell's admission, to separate the effect of
// the routing choice from that of admission.
func Settings() []Setting {
	return []Setting{
		{"round_robin", route.NameRoundRobin, sidecar.AdmitFIFO},
		{"least_loaded", route.NameLeastLoaded, sidecar.AdmitFIFO},
		{"cache_aware", route.NameCacheAware, sidecar.AdmitFIFO},
		{"least+admission", route.NameLeastLoaded, sidecar.AdmitDeadline},
		{"hopwell", route.NameHopwell, sidecar.AdmitDeadline},
	}
}

// Scene is a load with an optional fault.
type Scene struct {
	Name string
	// Load is the request rate as a share of the deployment's capacity, unlike Deployment.Load,
	// which returns the arrivals. Flood is the
	// share of the requests that come from one workspace.
	Load, Flood float64
	// Fault injects the fault; nil means no fault.
	Fault func(r *Run)
	// Prefills and Decodes are the numbers of engines that the fault removes
	// permanently.
	Prefills, Decodes int
}

// faultAt is the time from the start of the load to the fault.
const faultAt = 15 * time.Second

// Run is a running experiment.
type Run struct {
	Fleet *fleettest.Fleet
	Spec  fleettest.Spec

	mu      sync.Mutex
	calls   []*fleettest.Call
	cancels []context.CancelFunc
}

// drainTime is how long clients wait for responses after the end of the load.
const drainTime = 25 * time.Second

// Do runs the load of a scene under a setting and returns the outcome. It must be called
// inside a synctest bubble.
func Do(d Deployment, set Setting, scene Scene, seed uint64, length time.Duration) Outcome {
	spec := fleettest.Spec{
		Gateways: 3, Prefills: d.Prefills, Decodes: d.Decodes, Services: d.Services,
		Domains: d.Domains, Delay: d.Delay, Prefill: d.Engine, Decode: d.Engine,
		ServiceTime: d.ServiceTime, ServiceSlots: 64, Selectors: d.Selectors(),
		Policy: set.Policy, Admission: set.Admission, Seed: seed, MaxOpen: 100000,
	}
	r := &Run{Fleet: fleettest.Start(spec), Spec: spec}
	defer r.Fleet.Close()
	load := d.Load(seed, scene.Load*d.Capacity(), scene.Flood, length)
	reads, writes := r.Fleet.KV.Calls()
	r.offer(load, scene, length)
	reads2, writes2 := r.Fleet.KV.Calls()
	out := summarize(d, load, r.calls, scene, length)
	out.addEngineUse(r.Fleet, length)
	out.KVReads = float64(reads2-reads) / (length + drainTime).Seconds()
	out.KVWrites = float64(writes2-writes) / (length + drainTime).Seconds()
	return out
}

// offer sends the load, injects the fault and waits for the responses.
func (r *Run) offer(load []Arrival, scene Scene, length time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	began := time.Now()
	var wg sync.WaitGroup
	if scene.Fault != nil {
		wg.Go(func() {
			time.Sleep(faultAt)
			scene.Fault(r)
		})
	}
	for i := range load {
		time.Sleep(time.Until(began.Add(load[i].At)))
		wg.Go(func() { r.send(ctx, &load[i], i) })
	}
	stop := time.AfterFunc(time.Until(began.Add(length+drainTime)), cancel)
	defer stop.Stop()
	wg.Wait()
	time.Sleep(time.Until(began.Add(length + drainTime)))
}

// send sends the i-th request. It spreads the requests round-robin over the gateways, as a
// load balancer in front of them would.
func (r *Run) send(ctx context.Context, a *Arrival, i int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.cancels = append(r.cancels, cancel)
	r.mu.Unlock()
	g := r.Fleet.Gateway(i)
	var c *fleettest.Call
	if a.Service != nil {
		c = r.Fleet.Order(ctx, g, a.Service)
	} else {
		c = r.Fleet.Generate(ctx, g, a.Request)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// Scenes returns the scenes: several load levels without a fault, a flood by one
// workspace, and faults, at full load or close to it.
func Scenes(d Deployment) []Scene {
	out := []Scene{{Name: "60%", Load: 0.6}, {Name: "100%", Load: 1}, {Name: "150%", Load: 1.5}}
	return append(out,
		Scene{Name: "flood 150%", Load: 1.5, Flood: 0.5},
		Scene{Name: "runner lost", Load: 1, Decodes: 1, Fault: func(r *Run) { r.Fleet.Lose("decode-1") }},
		domainLost(d),
		Scene{Name: "link stalled", Load: 1, Fault: func(r *Run) {
			resume := r.Fleet.Engines["prefill-1"].Stall()
			time.Sleep(8 * time.Second)
			resume()
		}},
		Scene{Name: "reports late", Load: 1, Fault: reportsLate},
		Scene{Name: "KV down", Load: 1, Fault: func(r *Run) {
			r.Fleet.KV.SetDown(true)
			time.Sleep(15 * time.Second)
			r.Fleet.KV.SetDown(false)
		}},
		Scene{Name: "leaving", Load: 0.8, Decodes: 1, Prefills: 1, Fault: reclaimTwoInstances},
		Scene{Name: "cancels", Load: 1, Fault: func(r *Run) {
			r.mu.Lock()
			defer r.mu.Unlock()
			for i, cancel := range r.cancels {
				if i%2 == 0 {
					cancel()
				}
			}
		}},
	)
}

// reportsLate delays the instance list and the engines' reports by 5 s and drops every
// second cache event.
func reportsLate(r *Run) {
	r.Fleet.List.SetLag(5 * time.Second)
	for _, e := range r.Fleet.Engines {
		e.SetReports(5*time.Second, 2)
	}
}

// domainLost returns a scene that stops all instances of one failure domain. The clients
// of the gateway in that domain use the other gateways.
func domainLost(d Deployment) Scene {
	lost := d.Domains[1]
	count := func(n int) int {
		c := 0
		for i := range n {
			if d.Domains[i%len(d.Domains)] == lost {
				c++
			}
		}
		return c
	}
	return Scene{Name: "domain lost", Load: 1, Prefills: count(d.Prefills), Decodes: count(d.Decodes), Fault: func(r *Run) {
		r.Fleet.LoseDomain(lost)
	}}
}

// reclaimTwoInstances reclaims two instances, 3 s apart, with 15 s notice each.
func reclaimTwoInstances(r *Run) {
	for _, name := range []string{"decode-1", "prefill-1"} {
		deadline := time.Now().Add(15 * time.Second)
		r.Fleet.List.Reclaim(name, deadline)
		p := r.Fleet.Process(name)
		p.Sidecar.Leave(deadline, "notice")
		time.Sleep(3 * time.Second)
	}
	time.Sleep(12 * time.Second)
	for _, name := range []string{"decode-1", "prefill-1"} {
		r.Fleet.Lose(name)
	}
}
