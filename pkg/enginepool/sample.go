package enginepool

import (
	"cmp"
	"slices"

	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// leastSample is the least number of runners that are compared.
	leastSample = 2
	// sampleFactor is how many runners each gateway compares when there are as
	// many gateways as runners.
	sampleFactor = 2
)

// candidate is a runner that can take a job; the one with the most merit is the
// best.
type candidate struct {
	runner *runners.State
	merit  float64
}

// pick returns the best runner of a random sample of the candidates, of which
// there is at least one; it changes their order. What other gateways book is
// heard late: were all to take the best of all, they would meet there. The more
// gateways there are for each runner, the fewer are compared, two at least. The
// lock is held.
func (p *Pool) pick(from []candidate) *runners.State {
	n := min(len(from), max(leastSample, sampleFactor*len(from)/(len(p.others)+1)))
	for i := range n {
		k := i + p.options.Pick(len(from)-i)
		from[i], from[k] = from[k], from[i]
	}
	return bestOf(from[:n])
}

// bestOf returns the runner with the most merit.
func bestOf(list []candidate) *runners.State {
	return slices.MaxFunc(list, func(a, b candidate) int { return cmp.Compare(a.merit, b.merit) }).runner
}
