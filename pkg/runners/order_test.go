package runners

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against lists in the iteration order of a map, which made choices among equals differ from run to
// run, and against one order at all gateways, which would make them choose the same runners.
func TestListsHaveAnOrderOfTheGateway(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1e9, 0)
	list := func(gateway string, first int) (out []string) {
		d := NewDirectory(gateway)
		for i := range 40 {
			d.Put(Runner{ID: fmt.Sprint("d", (first+i)%40), Service: "llm", Stage: Decode}, now)
		}
		for _, s := range d.Stage("llm", Decode) {
			out = append(out, s.ID)
		}
		return out
	}
	a := list("a", 0)
	g.Expect(a).To(HaveLen(40))
	g.Expect(list("a", 0)).To(Equal(a))
	g.Expect(list("a", 17)).To(Equal(a), "in another order of registration")
	b := list("b", 0)
	g.Expect(b).To(ConsistOf(a))
	same := 0
	for i := range a {
		if a[i] == b[i] {
			same++
		}
	}
	g.Expect(same).To(BeNumerically("<", 10), "places that are the same at another gateway")
}
