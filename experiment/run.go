package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/fleettest"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/sidecar"
)

// Setting is one way to decide.
type Setting struct {
	Name, Policy, Admission string
}

// Settings are compared in one run. The baselines admit everything, as simple
// routers do; one of them is run with hopwell's admission too, which shows what
// the choice itself adds.
func Settings() []Setting {
	return []Setting{
		{"round_robin", route.NameRoundRobin, sidecar.AdmitFIFO},
		{"least_loaded", route.NameLeastLoaded, sidecar.AdmitFIFO},
		{"cache_aware", route.NameCacheAware, sidecar.AdmitFIFO},
		{"least+admission", route.NameLeastLoaded, sidecar.AdmitDeadline},
		{"hopwell", route.NameHopwell, sidecar.AdmitDeadline},
	}
}

// Scene is a load with a fault.
type Scene struct {
	Name string
	// Load is the share of the deployment's capacity; Flood the part of it that
	// comes from one workspace.
	Load, Flood float64
	// Fault brings the fault about; nil for none.
	Fault func(r *Run)
	// Prefills and Decodes is what the fault takes for good.
	Prefills, Decodes int
}

// faultAt is when a scene's fault begins.
const faultAt = 15 * time.Second

// Run is one experiment on its way.
type Run struct {
	Fleet *fleettest.Fleet
	Spec  fleettest.Spec

	mu      sync.Mutex
	calls   []*fleettest.Call
	cancels []context.CancelFunc
}

// after is how long callers wait beyond the load's end.
const after = 25 * time.Second

// Do runs a load under a setting and a scene; call it inside a bubble.
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
	out.use(r.Fleet, length)
	out.KVReads = float64(reads2-reads) / (length + after).Seconds()
	out.KVWrites = float64(writes2-writes) / (length + after).Seconds()
	return out
}

// offer sends the load and waits for the answers.
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
	stop := time.AfterFunc(time.Until(began.Add(length+after)), cancel)
	defer stop.Stop()
	wg.Wait()
	time.Sleep(time.Until(began.Add(length + after)))
}

// send makes one call through a gateway, as a balancer deals them out.
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

// Scenes are the loads and the faults at full load.
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
		Scene{Name: "leaving", Load: 0.8, Decodes: 1, Prefills: 1, Fault: leaveOneAfterAnother},
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

// reportsLate makes the instance list and the engines' reports lag by 5 s and
// loses every second cache event.
func reportsLate(r *Run) {
	r.Fleet.List.SetLag(5 * time.Second)
	for _, e := range r.Fleet.Engines {
		e.SetReports(5*time.Second, 2)
	}
}

// domainLost ends all instances of one failure domain but its gateway's callers
// go to the others.
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

// leaveOneAfterAnother reclaims two instances with 15 s notice each.
func leaveOneAfterAnother(r *Run) {
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
