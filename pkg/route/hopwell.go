package route

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/admission"
)

// Penalties of the cost function, and the maximum number of candidates for whose
// pairs it is computed.
const (
	// shortlist is the maximum number of prefill candidates, and of decode
	// candidates, that are combined into pairs.
	shortlist = 6
	// domainDelay and regionDelay are the assumed one-way delays between
	// failure domains and between regions, in seconds.
	domainDelay = 0.001
	regionDelay = 0.030
	// stepWeight is the weight of the decode step time relative to the
	// first-token time. It penalizes slowing down a batch.
	stepWeight = 8
	// slowStepPenalty is the penalty, in seconds, for a decode step time above the
	// target, per multiple of the target by which it is exceeded.
	slowStepPenalty = 10
	// shedFactor is the ratio of estimated to target first-token time above
	// which the gateway rejects a request without calling any sidecar. The
	// target is taken to be at least the first-token time of an idle pair.
	shedFactor = 2
	// maxAffinityCost is the largest cost, in seconds, that rendezvous hashing adds
	// to a candidate for an uncached prefix. The runner that all gateways prefer
	// for the prefix gets the smallest share of it.
	maxAffinityCost = 0.02
)

// Hopwell is the default policy. It estimates the time to the first token and
// the time between tokens for each shortlisted pair and selects the pair with
// the lowest cost.
type Hopwell struct{}

// scored is a candidate with its cost in the first pass, before pairing.
type scored struct {
	index int
	cost  float64
}

// Choose implements Policy.
func (Hopwell) Choose(r *Request, s *Scratch) (Choice, error) {
	s.prefillShortlist = score(s.prefillShortlist[:0], s.Prefills, func(x *State) float64 { return prefillCost(r, x) })
	if len(s.prefillShortlist) == 0 {
		return Choice{}, &ErrNoRunner{Role: "prefill"}
	}
	s.decodeShortlist = score(s.decodeShortlist[:0], s.Decodes, func(x *State) float64 { return decodeCost(r, x) })
	if len(s.decodeShortlist) == 0 {
		return Choice{}, &ErrNoRunner{Role: "decode"}
	}
	c := cheapestPair(r, s)
	late := c.Estimate.FirstToken > shedFactor*max(r.FirstToken, idleFirstToken(r, &s.Prefills[c.Prefill], &s.Decodes[c.Decode]))
	if late && !r.Paid {
		return Choice{}, &ErrLate{Estimate: c.Estimate.FirstToken, Target: r.FirstToken}
	}
	return c, nil
}

// score returns up to shortlist usable candidates (not Shunned) with the lowest cost,
// in the memory of out, which must be empty.
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

// prefillCost estimates the time until the KV cache is ready for transfer, plus
// the network delay and the affinity cost.
func prefillCost(r *Request, p *State) float64 {
	if r.Exported {
		return 0
	}
	return queueTime(r, p) + computeTime(r, p) + networkDelay(r, p) + affinityCost(r, p)
}

// queueTime estimates the wait for work that is queued ahead of the request.
// Runners order their queue by deadline, so a request that is due soon waits for
// urgent work only.
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

func networkDelay(r *Request, x *State) float64 {
	switch {
	case x.Region != r.Region:
		return regionDelay
	case x.Domain != r.Domain:
		return domainDelay
	}
	return 0
}

// affinityCost distributes uncached prefixes over the runners. Rendezvous hashing
// gives each prefix one preferred runner, so that all gateways prefer the same
// one without shared state.
func affinityCost(r *Request, p *State) float64 {
	if len(r.Blocks) == 0 || p.Cached > 0 {
		return 0
	}
	return maxAffinityCost * rendezvous(r.Blocks[0], p.Hash)
}

// rendezvous hashes a block and a runner to a number in [0, 1).
func rendezvous(block, runner uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], block)
	binary.LittleEndian.PutUint64(b[8:], runner)
	return float64(xxhash.Sum64(b[:])>>11) / (1 << 53)
}

// decodeCost adds up the wait for a decode slot, the network delay and the
// penalties for the step time.
func decodeCost(r *Request, d *State) float64 {
	step := stepTime(d)
	cost := slotWait(r, d) + stepWeight*step + networkDelay(r, d)
	if r.PerToken > 0 && step > r.PerToken {
		cost += slowStepPenalty * (step/r.PerToken - 1)
	}
	return cost
}

func stepTime(d *State) float64 {
	return d.StepBase + d.StepSlope*float64(d.Running+d.Reserved+1)
}

// slotWait estimates the wait until the runner has a batch slot and KV memory
// for the response.
func slotWait(r *Request, d *State) float64 {
	bytes := float64(r.PromptTokens+r.MaxTokens) * d.KVPerToken
	if d.Running+d.Reserved < d.Batch && bytes <= d.KVFree {
		return 0
	}
	return max(d.SlotWait, d.StepBase)
}

// cheapestPair estimates all shortlisted pairs and selects the one with the
// lowest cost.
func cheapestPair(r *Request, s *Scratch) Choice {
	c := Choice{Candidates: len(s.Prefills) * len(s.Decodes)}
	for _, p := range s.prefillShortlist {
		for _, d := range s.decodeShortlist {
			e := estimate(r, &s.Prefills[p.index], &s.Decodes[d.index])
			c.insertPair(s, p.index, d.index, e)
		}
	}
	return c
}

// insertPair inserts a pair into the list of the best pairs, which is sorted by cost.
func (c *Choice) insertPair(s *Scratch, p, d int, e Estimate) {
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

// estimate computes the expected times and the cost of a pair. The cost adds
// decodeCost without its slot wait, because FirstToken already contains the slot
// wait. The network delay of the decode runner counts in both.
func estimate(r *Request, p, d *State) Estimate {
	e := Estimate{PerToken: stepTime(d), Step: stepTime(d), Cached: p.Cached}
	if !r.Exported {
		e.Queue, e.Prefill = queueTime(r, p), computeTime(r, p)
	}
	e.Transfer = transferTime(r, p, d)
	e.Network = networkDelay(r, p) + networkDelay(r, d)
	ready := e.Queue + e.Prefill + e.Transfer
	e.Slot = max(0, slotWait(r, d)-ready)
	e.FirstToken = ready + e.Slot + e.Step + e.Network
	e.Cost = e.FirstToken + decodeCost(r, d) - slotWait(r, d)
	if !r.Exported {
		e.Cost += affinityCost(r, p)
	}
	return e
}

// transferTime estimates the transfer time of the KV cache over the prefill
// runner's link, which the running transfers share.
func transferTime(r *Request, p, d *State) float64 {
	if p.LinkRate <= 0 {
		return 0
	}
	return float64(r.PromptTokens) * d.KVPerToken * (1 + p.Transfers) / p.LinkRate
}

// idleFirstToken estimates the first-token time of the pair if both runners had
// no other work.
func idleFirstToken(r *Request, p, d *State) float64 {
	alone := *p
	alone.Queued, alone.Urgent, alone.Transfers = 0, 0, 0
	empty := *d
	empty.Running, empty.Reserved, empty.SlotWait = 0, 0, 0
	return estimate(r, &alone, &empty).FirstToken
}
