package enginepool

import (
	"cmp"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// maxSampled limits how many usable runners one choice samples, and maxCandidates how
	// many of them that have room for the job are compared: the cost of a choice does not
	// grow with the number of runners.
	maxSampled    = 32
	maxCandidates = 16
	// minSubset is the least number of usable runners of a stage that a gateway needs to
	// choose from. It uses all runners if its subset has fewer, for example because its
	// failure domain is evacuated.
	minSubset = 4
	// subsetTTL is how long a computed subset is reused while the runners stay the same.
	// The subset also changes with the set of gateways.
	subsetTTL = 200 * time.Millisecond
)

// candidate is a runner that can take a job; the highest score is the best.
type candidate struct {
	runner *runners.State
	score  float64
}

// best returns the candidate with the highest score. The list must not be empty.
func best(list []candidate) *runners.State {
	return slices.MaxFunc(list, func(a, b candidate) int { return cmp.Compare(a.score, b.score) }).runner
}

// oneOfBest returns the best candidate, or a random one of the best if other gateways are expected to
// choose the same one before they report it: as many as are expected to compare it among theirs, of a
// number of runners. The list must not be empty. The caller holds the lock.
func (p *Pool) oneOfBest(list []candidate, of int, now time.Time) *runners.State {
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	others := p.unreported(now) * min(1, maxCandidates/float64(max(1, of)))
	return list[p.options.Pick(min(len(list), max(1, int(others))))].runner
}

// stageSubset is the cached subset of a stage's runners that this gateway uses.
type stageSubset struct {
	list       []*runners.State
	generation uint64
	at         time.Time
}

// subsetOf returns the runners of a stage that this gateway uses, including those that
// take no work now. The caller holds the lock.
func (p *Pool) subsetOf(stage runners.Stage, now time.Time) []*runners.State {
	s, generation := p.subsets[stage], p.directory.Generation()
	if s.list != nil && s.generation == generation && now.Sub(s.at) < subsetTTL {
		return s.list
	}
	all := p.directory.Stage(p.service, stage)
	used := all
	if p.options.Uses != nil {
		used = nil
		usable := 0
		for _, r := range all {
			if !p.options.Uses(r.ID) {
				continue
			}
			used = append(used, r)
			if r.Usable(now) {
				usable++
			}
		}
		if usable < minSubset {
			used = all
		}
	}
	p.subsets[stage] = stageSubset{list: used, generation: generation, at: now}
	return used
}

// allowed returns the runners of a stage that this gateway uses and that are allowed. If fewer
// than minSubset of its subset qualify, it considers all runners of the stage. If allows is
// nil, all are allowed, and the result includes unusable runners; otherwise it leaves them
// out. The caller holds the lock.
func (p *Pool) allowed(stage runners.Stage, allows func(*runners.State) bool, now time.Time) []*runners.State {
	used := p.subsetOf(stage, now)
	if allows == nil {
		return used
	}
	within := func(list []*runners.State) (out []*runners.State) {
		for _, r := range list {
			if allows(r) && r.Usable(now) {
				out = append(out, r)
			}
		}
		return out
	}
	if out := within(used); len(out) >= minSubset {
		return out
	}
	return within(p.directory.Stage(p.service, stage))
}

// sample returns up to maxSampled usable runners of a stage that this gateway uses, in
// random order, without the ejected ones, see runners.Healthy. Only the runners
// for which allows returns true are considered; nil allows all. The caller holds the lock.
func (p *Pool) sample(stage runners.Stage, allows func(*runners.State) bool, now time.Time) []*runners.State {
	from := p.allowed(stage, allows, now)
	order := slices.Clone(from)
	out := make([]*runners.State, 0, min(len(from), maxSampled))
	for i := range order {
		k := i + p.options.Pick(len(order)-i)
		order[i], order[k] = order[k], order[i]
		if order[i].Usable(now) {
			out = append(out, order[i])
		}
		if len(out) == maxSampled {
			break
		}
	}
	return runners.Healthy(out, now)
}
