package plainload

import (
	"fmt"
	"testing"
	"time"
)

func TestCompare(t *testing.T) {
	for _, g := range []int{25} {
		for _, over := range []float64{1.3, 2.0} {
			for _, c := range []struct {
				name            string
				limited, shared bool
				runners         int
			}{{"today", false, false, 1}, {"adaptive", true, false, 1}, {"shared", true, true, 1}, {"today", false, false, 2}, {"adaptive", true, false, 2}, {"shared", true, true, 2}} {
				s := newSim(1, g, c.runners, c.limited, c.shared)
				s.load(float64(c.runners)*simCapacity*over, 3*time.Second)
				s.run(2 * time.Second)
				fmt.Printf("%d gateways x%.1f %d %-9s %v\n", g, over, c.runners, c.name, s.counts)
			}
		}
	}
}
