package forecast

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkForecast measures a new forecast of 33 engines with 9 answers each, and of the share of
// them that a gateway uses if there are many gateways. All gateways have promised returns.
func BenchmarkForecast(b *testing.B) {
	for _, gateways := range []int{25, 103, 356} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			p, now := NewPlanner(), time.Unix(1000, 0)
			for i := range min(gateways, maxHeard) {
				r := Report{Since: now, Counts: make([]int, 24)}
				for k := range r.Counts {
					r.Counts[k] = 1
				}
				p.Promises.Receive(fmt.Sprint(i), r, now)
			}
			var running []Load
			for i := range 33 * 9 * min(gateways, maxHeard) / gateways {
				running = append(running, Load{Memory: 7000, Left: time.Duration(i) * 10 * time.Millisecond})
			}
			observe := func() Observation {
				return Observation{Capacity: 33 * 73006, Running: running, Here: 1, Gateways: gateways}
			}
			b.ReportAllocs()
			for b.Loop() {
				p.forecast = nil
				p.Forecast(observe, now)
			}
		})
	}
}

// BenchmarkCachedForecast measures a forecast that is reused.
func BenchmarkCachedForecast(b *testing.B) {
	p, now := NewPlanner(), time.Unix(1000, 0)
	observe := func() Observation { return Observation{Capacity: 1000} }
	b.ReportAllocs()
	for b.Loop() {
		p.Forecast(observe, now)
	}
}
