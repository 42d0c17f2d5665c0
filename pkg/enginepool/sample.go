package enginepool

import (
	"cmp"
	"slices"

	"github.com/hopwell/hopwell/pkg/runners"
)

// sampling says how many runners a gateway compares: factor times the number of
// runners for each gateway, least at least.
type sampling struct {
	least, factor int
}

var (
	// decodeSampling and prefillSampling were measured best; docs/POLICY.md.
	decodeSampling  = sampling{least: 2, factor: 2}
	prefillSampling = sampling{least: 4, factor: 5}
)

// candidate is a runner that can take a job; the one with the most merit is the
// best.
type candidate struct {
	runner *runners.State
	merit  float64
}

// pick returns the best runner of a random sample of the candidates, of which
// there is at least one; it changes their order. Reservations of other gateways
// are known late: were all to take the best of all, they would meet there. The more
// gateways there are for each runner, the fewer are compared. The caller holds the lock.
func (p *Pool) pick(from []candidate, s sampling) *runners.State {
	n := min(len(from), max(s.least, s.factor*len(from)/(len(p.others)+1)))
	for i := range n {
		k := i + p.options.Pick(len(from)-i)
		from[i], from[k] = from[k], from[i]
	}
	best := slices.MaxFunc(from[:n], func(a, b candidate) int { return cmp.Compare(a.merit, b.merit) })
	return best.runner
}
