package route

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/admission"
)

// Penalties of the choice, and the bounds on its cost.
const (
	// shortlist is how many prefill and decode candidates are paired.
	shortlist = 6
	// domainDelay and regionDelay are the assumed one-way delays between
	// failure domains and between regions, in seconds.
	domainDelay = 0.001
	regionDelay = 0.030
	// stepWeight is what slowing a batch down costs against first-token time.
	stepWeight = 8
	// latePerToken is the cost of a decode runner whose step would miss the
	// target, for each multiple of the target.
	latePerToken = 10
	// shedFactor is by how much the best estimate must miss the target before
	// the gateway refuses without asking any sidecar.
	shedFactor = 2
	// affinityBonus is what the runner that all gateways agree on for a cold
	// prefix is preferred by, in seconds.
	affinityBonus = 0.02
)

// Hopwell is hopwell's own policy: it estimates for each pair the time to the
// first token and between tokens and takes the cheapest.
type Hopwell struct{}

// scored is one candidate of the first pass.
type scored struct {
	index int
	cost  float64
}

// Choose implements Policy.
func (Hopwell) Choose(r *Request, s *Scratch) (Choice, error) {
	s.pre = score(s.pre[:0], s.Prefills, func(x *State) float64 { return prefillCost(r, x) })
	if len(s.pre) == 0 {
		return Choice{}, &ErrNoRunner{Role: "prefill"}
	}
	s.dec = score(s.dec[:0], s.Decodes, func(x *State) float64 { return decodeCost(r, x) })
	if len(s.dec) == 0 {
		return Choice{}, &ErrNoRunner{Role: "decode"}
	}
	c := pair(r, s)
	late := c.Estimate.FirstToken > shedFactor*max(r.FirstToken, idle(r, &s.Prefills[c.Prefill], &s.Decodes[c.Decode]))
	if late && !r.Paid {
		return Choice{}, &ErrLate{Estimate: c.Estimate.FirstToken, Target: r.FirstToken}
	}
	return c, nil
}

// score fills the shortlist of candidates with the least cost.
func score(out []scored, all []State, cost func(*State) float64) []scored {
	for i := range all {
		if all[i].Shunned {
			continue
		}
		out = append(out, scored{i, cost(&all[i])})
	}
	slices.SortFunc(out, func(a, b scored) int { return cmp.Compare(a.cost, b.cost) })
	return out[:min(len(out), shortlist)]
}

// prefillCost is the time until the KV cache is ready to leave.
func prefillCost(r *Request, p *State) float64 {
	if r.Exported {
		return 0
	}
	return queueTime(r, p) + computeTime(r, p) + distance(r, p) + coldCost(r, p)
}

// queueTime is the wait for work that goes before the request. Runners order
// their queue by deadline, so a request due soon waits for urgent work only.
func queueTime(r *Request, p *State) float64 {
	ahead := p.Queued
	if r.FirstToken <= admission.UrgentWithin.Seconds() {
		ahead = p.Urgent
	}
	return ahead / p.Rate
}

func computeTime(r *Request, p *State) float64 {
	return float64(r.PromptTokens-p.Cached) / p.Rate
}

func distance(r *Request, x *State) float64 {
	switch {
	case x.Region != r.Region:
		return regionDelay
	case x.Domain != r.Domain:
		return domainDelay
	}
	return 0
}

// coldCost spreads cold prefixes so that gateways agree without a shared
// state: each prefix has one preferred runner, by rendezvous hashing.
func coldCost(r *Request, p *State) float64 {
	if len(r.Blocks) == 0 || p.Cached > 0 {
		return 0
	}
	return affinityBonus * rendezvous(r.Blocks[0], p.Hash)
}

// rendezvous returns a number in [0, 1) that depends on both arguments.
func rendezvous(block, runner uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], block)
	binary.LittleEndian.PutUint64(b[8:], runner)
	return float64(xxhash.Sum64(b[:])>>11) / (1 << 53)
}

// decodeCost is the wait for a slot and the cost of a larger batch.
func decodeCost(r *Request, d *State) float64 {
	step := stepTime(d)
	cost := slotTime(r, d) + stepWeight*step + distance(r, d)
	if r.PerToken > 0 && step > r.PerToken {
		cost += latePerToken * (step/r.PerToken - 1)
	}
	return cost
}

func stepTime(d *State) float64 {
	return d.StepBase + d.StepSlope*float64(d.Running+d.Reserved+1)
}

// slotTime is how long the runner has no room for the answer.
func slotTime(r *Request, d *State) float64 {
	bytes := float64(r.PromptTokens+r.MaxTokens) * d.KVPerToken
	if d.Running+d.Reserved < d.Batch && bytes <= d.KVFree {
		return 0
	}
	return max(d.SlotWait, d.StepBase)
}

// pair weighs the shortlisted pairs.
func pair(r *Request, s *Scratch) Choice {
	c := Choice{Candidates: len(s.Prefills) * len(s.Decodes)}
	for _, p := range s.pre {
		for _, d := range s.dec {
			e := estimate(r, &s.Prefills[p.index], &s.Decodes[d.index])
			c.weigh(s, p.index, d.index, e)
		}
	}
	return c
}

// weigh keeps the best candidates in order of cost.
func (c *Choice) weigh(s *Scratch, p, d int, e Estimate) {
	at := c.N
	for at > 0 && e.Cost < c.Weighed[at-1].Estimate.Cost {
		at--
	}
	if at >= maxWeighed {
		return
	}
	if at == 0 {
		c.Prefill, c.Decode, c.Estimate = p, d, e
	}
	c.N = min(c.N+1, maxWeighed)
	copy(c.Weighed[at+1:c.N], c.Weighed[at:c.N-1])
	c.Weighed[at] = Weighed{Prefill: s.Prefills[p].Name, Decode: s.Decodes[d].Name, Estimate: e}
}

// estimate adds up the times of a pair.
func estimate(r *Request, p, d *State) Estimate {
	e := Estimate{PerToken: stepTime(d), Step: stepTime(d), Cached: p.Cached}
	if !r.Exported {
		e.Queue, e.Prefill = queueTime(r, p), computeTime(r, p)
	}
	e.Transfer = transferTime(r, p, d)
	e.Network = distance(r, p) + distance(r, d)
	ready := e.Queue + e.Prefill + e.Transfer
	e.Slot = max(0, slotTime(r, d)-ready)
	e.FirstToken = ready + e.Slot + e.Step + e.Network
	e.Cost = e.FirstToken + decodeCost(r, d) - slotTime(r, d)
	if !r.Exported {
		e.Cost += coldCost(r, p)
	}
	return e
}

// transferTime is the KV cache's time on the prefill runner's link.
func transferTime(r *Request, p, d *State) float64 {
	if p.LinkRate <= 0 {
		return 0
	}
	return float64(r.PromptTokens) * d.KVPerToken * (1 + p.Transfers) / p.LinkRate
}

// idle is the first-token time that the pair would need with no other work.
func idle(r *Request, p, d *State) float64 {
	alone := *p
	alone.Queued, alone.Urgent, alone.Transfers = 0, 0, 0
	empty := *d
	empty.Running, empty.Reserved, empty.SlotWait = 0, 0, 0
	return estimate(r, &alone, &empty).FirstToken
}
