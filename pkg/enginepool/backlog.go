package enginepool

import (
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// Backlog is what waits for memory of a service's decode engines, and what they have. Memory is in
// tokens, of the kind that Job.MeanMemory returns.
type Backlog struct {
	// Capacity is the memory of the usable decode engines of this gateway's subset.
	Capacity int
	// Engines holds the IDs of these engines.
	Engines map[string]bool
	// Waiting is the memory that the requests need that wait at this gateway, Here their number.
	Waiting, Here int
	// Peers is the number of requests that wait at other gateways.
	Peers int
}

// MeanMemory is the memory that the job holds on average over its run, in tokens: the response
// grows evenly.
func (j Job) MeanMemory() int { return j.Prompt + int(j.Length.Expected(0)/2) }

// Backlog returns what waits for memory.
func (p *Pool) Backlog(now time.Time) Backlog {
	p.mu.Lock()
	defer p.unlock()
	b := Backlog{Engines: map[string]bool{}}
	for _, r := range p.subsetOf(runners.Decode, now) {
		if r.Usable(now) {
			b.Capacity += p.capacity()
			b.Engines[r.ID] = true
		}
	}
	for _, w := range p.waiting {
		b.Waiting += w.job.MeanMemory()
		b.Here++
	}
	for _, n := range p.peerWaiting {
		b.Peers += n
	}
	return b
}
