package plainload

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace takes and gives back a place at a runner under pressure.
func BenchmarkPlace(b *testing.B) {
	table := NewTable()
	table.Claim("s", "r", start)
	table.End("r", TurnedAway, time.Millisecond, 120*time.Millisecond, start)
	now := start.Add(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		if table.Claim("s", "r", now) {
			table.End("r", Answered, 20*time.Millisecond, 120*time.Millisecond, now)
		}
	}
}

// BenchmarkJudge decides on one of several waiting requests.
func BenchmarkJudge(b *testing.B) {
	for _, n := range []int{4, 32, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := NewTable().Queue("s")
			var w *Waiter
			for range n {
				w = q.Enter(newRequest())
			}
			b.ReportAllocs()
			for b.Loop() {
				q.First(w, start)
				q.Judge(w, start)
			}
		})
	}
}
