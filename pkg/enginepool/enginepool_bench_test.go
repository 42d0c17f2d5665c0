package enginepool

import (
	"fmt"
	"testing"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// BenchmarkPlace tells what one choice of a decode runner costs, with ten
// answers on each runner.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{12, 64, 730} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			d := runners.NewDirectory()
			for i := range n {
				d.Put(runners.Runner{ID: fmt.Sprintf("d%d", i), Service: "llm", Stage: runners.Decode})
			}
			p := New("llm", d, Options{Fill: 1})
			p.Configure(Spec{Memory: 37745, Slots: 64})
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
					delete(p.engine(s.ID).own, "a")
				}
				p.mu.Unlock()
			}
		})
	}
}
