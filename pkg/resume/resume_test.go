package resume

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against requests that a split gives to its services in other shares than their weights.
func TestDrawsOfIDsAreSpreadEvenly(t *testing.T) {
	const ids, tenth = 20000, 10
	g := NewWithT(t)
	counts := map[int]int{}
	for i := range ids {
		for _, form := range []string{"s%d-0", "%016x"} {
			draw := Draw(fmt.Sprintf(form, i))
			g.Expect(draw).To(And(BeNumerically(">=", 0), BeNumerically("<", 1)))
			counts[int(draw*tenth)]++
		}
	}
	for _, n := range counts {
		g.Expect(n).To(BeNumerically("~", 2*ids/tenth, 2*ids/tenth/20))
	}
	g.Expect(Draw("a")).To(Equal(Draw("a")))
}
