package peers

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/enginepool"
)

// BenchmarkDatagram measures the time to encode one datagram and its size, for states of several
// sizes.
func BenchmarkDatagram(b *testing.B) {
	for _, size := range []struct{ runners, streams int }{{1, 2}, {12, 20}, {18, 30}, {64, 140}} {
		b.Run(fmt.Sprintf("runners=%d,streams=%d", size.runners, size.streams), func(b *testing.B) {
			p := enginepool.Snapshot{Full: true, Engines: make([]enginepool.EngineLoad, size.runners)}
			for i := range size.streams {
				e := &p.Engines[i%size.runners]
				e.Runner = fmt.Sprintf("i-%010d", i%size.runners)
				e.Loads = append(e.Loads, enginepool.Load{Now: 4000, Left: 400})
			}
			bytes := 0
			for b.Loop() {
				data, err := proto.Marshal(encodeSnapshots(map[string]enginepool.Snapshot{"llm": p}))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}
