package process

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against plans for thousands of engines that take most of a small instance's processor.
func TestPlansTakeASmallShareOfTheTime(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1e9, 0)
	plans := func(took time.Duration) int {
		var p planPacing
		n := 0
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(stagerInterval) {
			if p.due(now) {
				n++
				p.record(now, took)
			}
		}
		return n
	}
	g.Expect(plans(50*time.Microsecond)).To(Equal(100), "every check of a small fleet plans")
	g.Expect(plans(20 * time.Millisecond)).To(Equal(50))
	g.Expect(plans(time.Second)).To(Equal(10), "the interval is bounded")
}
