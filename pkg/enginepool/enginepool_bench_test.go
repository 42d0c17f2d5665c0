package enginepool

import (
	"fmt"
	"testing"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// BenchmarkPlace measures the choice of a decode runner with ten requests on each runner, with
// room on all runners and on none.
func BenchmarkPlace(b *testing.B) {
	for _, c := range []struct{ runners, memory int }{{12, 37745}, {64, 37745}, {730, 37745}, {730, 26000}} {
		n := c.runners
		b.Run(fmt.Sprintf("runners=%d,memory=%d", n, c.memory), func(b *testing.B) {
			d := runners.NewDirectory("a")
			for i := range n {
				d.Put(runners.Runner{ID: fmt.Sprintf("d%d", i), Service: "llm", Stage: runners.Decode}, time.Now())
			}
			p := New("llm", d, Options{Fill: 1})
			p.Configure(Spec{Memory: c.memory, Slots: 64})
			now := time.Now()
			loads := make([]EngineLoad, n)
			for i := range 10 * n {
				e := &loads[i%n]
				e.Runner = fmt.Sprintf("d%d", i%n)
				e.Loads = append(e.Loads, Load{Now: 2500, Left: 100 + i%500})
			}
			p.ReceiveSnapshot("other", Snapshot{Full: true, Engines: loads}, now)
			j := job("a", 3000, 800)
			for b.Loop() {
				p.mu.Lock()
				if s := p.place(&Waiter{job: j}, now); s != nil {
					p.engine(s.ID).own.remove("a")
				}
				p.mu.Unlock()
			}
		})
	}
}

// BenchmarkFullSnapshotAndStatus measures the two operations that iterate over all engines: a
// full snapshot for another gateway (in each period in which one is due), and the status for the
// log (once a second). The engines have no reservations.
func BenchmarkFullSnapshotAndStatus(b *testing.B) {
	for _, n := range []int{300, 3000} {
		d := runners.NewDirectory("a")
		for i := range n {
			d.Put(runners.Runner{ID: fmt.Sprintf("d%d", i), Service: "llm", Stage: runners.Decode}, time.Now())
		}
		p := New("llm", d, Options{Fill: 1})
		p.Configure(Spec{Memory: 42833, Slots: 64})
		now := time.Now()
		for _, s := range d.All("llm") {
			p.mu.Lock()
			p.engine(s.ID)
			p.mu.Unlock()
		}
		b.Run(fmt.Sprintf("full snapshot, %d engines", n), func(b *testing.B) {
			for b.Loop() {
				p.Snapshot(0, now)
			}
		})
		b.Run(fmt.Sprintf("status, %d engines", n), func(b *testing.B) {
			for b.Loop() {
				p.Status(now)
			}
		})
	}
}

// BenchmarkReceiveFullSnapshot measures the receipt of another gateway's full snapshot, with load on
// 8 of a number of engines. Each gateway sends one to each other every few seconds.
func BenchmarkReceiveFullSnapshot(b *testing.B) {
	for _, n := range []int{300, 3000} {
		b.Run(fmt.Sprintf("%d engines", n), func(b *testing.B) {
			p := New("llm", runners.NewDirectory("a"), Options{Fill: 1})
			p.Configure(Spec{Memory: 42833, Slots: 64})
			p.mu.Lock()
			for i := range n {
				p.engine(fmt.Sprintf("d%d", i))
			}
			p.mu.Unlock()
			all := Snapshot{Full: true}
			for i := range 8 {
				all.Engines = append(all.Engines, EngineLoad{Runner: fmt.Sprintf("d%d", i), Loads: []Load{{Now: 4000, Left: 500}}})
			}
			now := time.Now()
			for b.Loop() {
				p.ReceiveSnapshot("other", all, now)
			}
		})
	}
}

// BenchmarkPlaceAmongGateways measures a choice of an engine with a number of gateways that have waiting
// jobs, and 24 responses on each of 33 engines. The models of half of the engines are out of date.
func BenchmarkPlaceAmongGateways(b *testing.B) {
	for _, n := range []int{25, 103, 356} {
		b.Run(fmt.Sprintf("%d gateways", n), func(b *testing.B) {
			const engines = 33
			d, now := runners.NewDirectory("a"), time.Now()
			for i := range engines {
				d.Put(runners.Runner{ID: fmt.Sprintf("d%d", i), Service: "llm", Stage: runners.Decode}, now)
			}
			o := DefaultOptions()
			o.Gateway = "g"
			p := New("llm", d, o)
			p.Configure(Spec{Memory: 73000, Slots: 1 << 20})
			for k := range n {
				s := Snapshot{Full: true, Waiting: 1}
				if k < 2*12 {
					for i := range engines {
						s.Engines = append(s.Engines, EngineLoad{Runner: fmt.Sprintf("d%d", i), Loads: []Load{{Now: 4000, Left: 500, Generated: 1000}}})
					}
				}
				p.ReceiveSnapshot(fmt.Sprintf("g%d", k), s, now)
			}
			j := job("a", 5000, 3000)
			b.ReportAllocs()
			for b.Loop() {
				p.mu.Lock()
				for _, e := range p.engines.values {
					if e.idHash%2 == 0 {
						e.changed()
					}
					e.fullAt = now
				}
				if s := p.place(&Waiter{job: j}, now); s != nil {
					p.engine(s.ID).own.remove("a")
				}
				p.mu.Unlock()
			}
		})
	}
}
