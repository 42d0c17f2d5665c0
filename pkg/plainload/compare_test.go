package plainload

import (
	"fmt"
	"testing"
	"time"
)

func TestCompare(t *testing.T) {
	for _, uneven := range []bool{false, true} {
		for _, g := range []int{4, 25, 100} {
			for _, c := range []struct {
				name            string
				limited, shared bool
			}{{"today", false, false}, {"adaptive", true, false}, {"shared", true, true}} {
				var sum simCounts
				for seed := range uint64(2) {
					s := newSim(seed, g, 1, c.limited, c.shared)
					if uneven {
						for i := range s.weights {
							s.weights[i] = 0.3 / float64(g-1)
						}
						s.weights[0] = 0.7
					}
					s.load(simCapacity*1.6, 3*time.Second)
					s.run(2 * time.Second)
					sum.asked += s.counts.asked
					sum.inTime += s.counts.inTime
					sum.again += s.counts.again
					sum.late += s.counts.late
					sum.refused += s.counts.refused
					sum.sends += s.counts.sends
					sum.turnedAway += s.counts.turnedAway
				}
				fmt.Printf("%d gateways uneven=%t %-9s %v\n", g, uneven, c.name, sum)
			}
		}
	}
}
