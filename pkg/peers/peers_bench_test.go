package peers

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/enginepool"
)

// BenchmarkDatagram tells what one telling costs, and its size.
func BenchmarkDatagram(b *testing.B) {
	for _, size := range []struct{ runners, streams int }{{12, 20}, {18, 30}, {64, 140}} {
		b.Run(fmt.Sprintf("runners=%d,streams=%d", size.runners, size.streams), func(b *testing.B) {
			p := enginepool.Snapshot{Reading: map[string]int{}}
			for i := range size.streams {
				p.Loads = append(p.Loads, enginepool.Load{Runner: fmt.Sprintf("i-%010d", i%size.runners), Now: 4000, Left: 400})
			}
			bytes := 0
			for b.Loop() {
				data, err := proto.Marshal(encode(map[string]enginepool.Snapshot{"llm": p}))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}
