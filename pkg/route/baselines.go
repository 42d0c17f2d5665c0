package route

import "sync/atomic"

// RoundRobin selects the prefill and decode runners in round-robin order.
type RoundRobin struct {
	prefill, decode atomic.Uint64
}

// Choose implements Policy.
func (b *RoundRobin) Choose(_ *Request, s *Scratch) (Choice, error) {
	return choosePair(s, func(all []State) int { return nextUsable(all, &b.prefill) }, func(all []State) int { return nextUsable(all, &b.decode) })
}

// nextUsable advances the counter and returns the index of the first usable
// candidate (not Shunned) from there on, or -1 if there is none.
func nextUsable(all []State, last *atomic.Uint64) int {
	n := int(last.Add(1) % uint64(max(len(all), 1)))
	for i := range all {
		if k := (n + i) % len(all); !all[k].Shunned {
			return k
		}
	}
	return -1
}

// LeastLoaded selects the prefill runner with the least queued work and the
// decode runner with the fewest streams.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(_ *Request, s *Scratch) (Choice, error) {
	return choosePair(s, leastQueued, leastStreams)
}

func leastQueued(all []State) int {
	return lowestCost(all, func(x *State) float64 { return x.Queued })
}

func leastStreams(all []State) int {
	return lowestCost(all, func(x *State) float64 { return float64(x.Running + x.Reserved) })
}

// CacheAware implements the rule of "sgl-model-gateway and cache-aware routing"
// (SGLang manual, edition 2026.10). It selects the runner with the longest prefix
// match if the cached share of the prompt is above 0.3, and the least loaded runner
// otherwise or when the load is imbalanced.
type CacheAware struct{}

// Thresholds of the CacheAware rule, from the SGLang manual.
const (
	cacheThreshold      = 0.3
	balanceAbsThreshold = 64
	balanceRelThreshold = 1.5
)

// Choose implements Policy.
func (CacheAware) Choose(r *Request, s *Scratch) (Choice, error) {
	return choosePair(s, func(all []State) int { return cacheAware(r, all) }, leastStreams)
}

func cacheAware(r *Request, all []State) int {
	load := func(x *State) float64 { return float64(x.InFlight) }
	least := lowestCost(all, load)
	if least < 0 {
		return -1
	}
	most := lowestCost(all, func(x *State) float64 { return -load(x) })
	low, high := load(&all[least]), load(&all[most])
	if high-low > balanceAbsThreshold && high > balanceRelThreshold*low {
		return least
	}
	best := lowestCost(all, func(x *State) float64 { return -float64(x.Cached) })
	if float64(all[best].Cached) > cacheThreshold*float64(r.PromptTokens) {
		return best
	}
	return least
}

// choosePair selects the prefill and the decode runner independently.
func choosePair(s *Scratch, prefill, decode func([]State) int) (Choice, error) {
	p := prefill(s.Prefills)
	if p < 0 {
		return Choice{}, &ErrNoRunner{Role: "prefill"}
	}
	d := decode(s.Decodes)
	if d < 0 {
		return Choice{}, &ErrNoRunner{Role: "decode"}
	}
	c := Choice{Prefill: p, Decode: d, N: 1, Candidates: len(s.Prefills) * len(s.Decodes)}
	c.Weighed[0] = Weighed{Prefill: s.Prefills[p].Name, Decode: s.Decodes[d].Name}
	return c, nil
}
