package experiment

import (
	"slices"
	"time"
)

// cost is what a request takes of the pools, in seconds of one engine.
type cost struct {
	prefill, decode float64
}

// costOf is the least that an arrival can take: its shared prefix cached, and of
// each decode step its own time and a part of the fixed time, which is shared by
// as many streams as the batch or the memory allows.
func (d *Deployment) costOf(a *Arrival) cost {
	e := &d.Engine
	memory := float64(int64(a.Prompt+a.Out)*e.KVPerToken) / float64(e.KVTotal)
	part := max(1/float64(e.BatchLimit), memory)
	return cost{
		prefill: float64(a.Prompt-a.Shared) / e.PrefillRate,
		decode:  float64(a.Out) * (e.StepSlope.Seconds() + part*e.StepBase.Seconds()),
	}
}

// demand is the mean cost of an arrival.
func (d *Deployment) demand() cost {
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

// Capacity is the rate at which the busier pool has just enough to do, in
// requests a second.
func (d *Deployment) Capacity() float64 {
	c := d.demand()
	return min(float64(d.Prefills)/c.prefill, float64(d.Decodes)/c.decode)
}

// Bound is an upper limit of the good answers that any policy could give, were
// all arrivals known ahead: as many requests as fit the engine time of the whole
// run, the cheapest first, for each pool by itself, with all prefixes cached and
// all batches full.
func (d *Deployment) Bound(load []Arrival, length time.Duration, prefills, decodes float64) int {
	var free int
	var pre, dec []float64
	for i := range load {
		if load[i].Request == nil {
			free++
			continue
		}
		c := d.costOf(&load[i])
		pre = append(pre, c.prefill)
		dec = append(dec, c.decode)
	}
	return free + min(fit(pre, prefills*length.Seconds()), fit(dec, decodes*length.Seconds()))
}

// fit returns how many of the smallest costs fit into a budget.
func fit(costs []float64, budget float64) int {
	slices.Sort(costs)
	for i, c := range costs {
		if budget -= c; budget < 0 {
			return i
		}
	}
	return len(costs)
}
