package forecast

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestServingFollowsABurstOfPrompts(t *testing.T) {
	g := NewWithT(t)
	var s Serving
	g.Expect(s.Reserve(500 * time.Millisecond)).To(Equal(500 * time.Millisecond))
	for range 20 {
		s.Learn(150 * time.Millisecond)
	}
	g.Expect(s.Reserve(0)).To(BeNumerically("~", 150*time.Millisecond, 5*time.Millisecond))
	for range 5 {
		s.Learn(600 * time.Millisecond)
	}
	g.Expect(s.Reserve(0)).To(BeNumerically(">", 500*time.Millisecond))
}
