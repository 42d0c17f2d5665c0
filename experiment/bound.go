package experiment

import (
	"slices"
	"time"
)

// cost is the engine time that a request takes in each pool, in seconds of one engine.
type cost struct {
	prefill, decode float64
}

// costOf returns the minimum cost of an arrival. It assumes that the shared prefix is
// cached, and charges for each decode step StepSlope, the time of the stream itself, plus a share
// of StepBase, the fixed time of the step. StepBase is shared by as many streams as the
// batch limit or the memory allows.
func (d *Deployment) costOf(a *Arrival) cost {
	e := &d.Engine
	memory := float64(int64(a.Prompt+a.Out)*e.KVPerToken) / float64(e.KVTotal)
	fixedShare := max(1/float64(e.BatchLimit), memory)
	return cost{
		prefill: float64(a.Prompt-a.Shared) / e.PrefillRate,
		decode:  float64(a.Out) * (e.StepSlope.Seconds() + fixedShare*e.StepBase.Seconds()),
	}
}

// meanCost returns the mean cost of an arrival.
func (d *Deployment) meanCost() cost {
	const sample = 20000
	var sum cost
	load := d.Load(1, 1000, 0, sample*time.Millisecond)
	for i := range load {
		if load[i].Request != nil {
			c := d.costOf(&load[i])
			sum.prefill += c.prefill
			sum.decode += c.decode
		}
	}
	n := float64(len(load))
	return cost{sum.prefill / n, sum.decode / n}
}

// Capacity returns the request rate, per second, at which the busier pool is just fully
// used.
func (d *Deployment) Capacity() float64 {
	c := d.meanCost()
	return min(float64(d.Prefills)/c.prefill, float64(d.Decodes)/c.decode)
}

// Bound returns an upper bound on the number of good responses of any policy, even one
// that knows all arrivals in advance. It counts how many requests, cheapest first, fit
// into the engine time of the whole run, for each pool separately, with all prefixes
// cached and all batches full. prefills and decodes are the numbers of engines in the two
// pools.
func (d *Deployment) Bound(load []Arrival, length time.Duration, prefills, decodes float64) int {
	var plainRequests int
	var pre, dec []float64
	for i := range load {
		if load[i].Request == nil {
			plainRequests++
			continue
		}
		c := d.costOf(&load[i])
		pre = append(pre, c.prefill)
		dec = append(dec, c.decode)
	}
	return plainRequests + min(countFitting(pre, prefills*length.Seconds()), countFitting(dec, decodes*length.Seconds()))
}

// countFitting returns how many of the smallest costs fit into a budget.
func countFitting(costs []float64, budget float64) int {
	slices.Sort(costs)
	for i, c := range costs {
		if budget -= c; budget < 0 {
			return i
		}
	}
	return len(costs)
}
