package enginepool

import (
	"cmp"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// maxLooked bounds the runners that one choice looks at, and compared how many
	// that can take a job are compared: the cost of a choice does not grow with the
	// number of runners.
	maxLooked = 32
	compared  = 16
	// leastUsed is how many runners of a stage that take work a gateway needs at least to
	// choose from; with fewer in its share, as when its domain is evacuated, it uses all.
	leastUsed = 4
	// shareFor is how long a gateway's share is used while the runners stay the same:
	// it changes with the set of gateways.
	shareFor = 200 * time.Millisecond
)

// candidate is a runner that can take a job; the one with the most merit is the best.
type candidate struct {
	runner *runners.State
	merit  float64
}

// best returns the candidate with the most merit; there is at least one.
func best(list []candidate) *runners.State {
	return slices.MaxFunc(list, func(a, b candidate) int { return cmp.Compare(a.merit, b.merit) }).runner
}

// share is the runners of a stage that this gateway uses.
type share struct {
	list       []*runners.State
	generation uint64
	at         time.Time
}

// shareOf returns the runners of a stage that this gateway uses, those that take no work
// too. The caller holds the lock.
func (p *Pool) shareOf(stage runners.Stage, now time.Time) []*runners.State {
	s, generation := p.shares[stage], p.directory.Generation()
	if s.list != nil && s.generation == generation && now.Sub(s.at) < shareFor {
		return s.list
	}
	all := p.directory.Stage(p.service, stage)
	used := all
	if p.options.Uses != nil {
		used = nil
		there := 0
		for _, r := range all {
			if !p.options.Uses(r.ID) {
				continue
			}
			used = append(used, r)
			if r.Usable(now) {
				there++
			}
		}
		if there < leastUsed {
			used = all
		}
	}
	p.shares[stage] = share{list: used, generation: generation, at: now}
	return used
}

// allowed returns the runners of a stage that this gateway uses and a job may run on. Where its
// share has too few of those, it uses all of them. The caller holds the lock.
func (p *Pool) allowed(stage runners.Stage, allows func(domain string) bool, now time.Time) []*runners.State {
	used := p.shareOf(stage, now)
	if allows == nil {
		return used
	}
	within := func(list []*runners.State) (out []*runners.State) {
		for _, r := range list {
			if allows(r.Domain) && r.Usable(now) {
				out = append(out, r)
			}
		}
		return out
	}
	if out := within(used); len(out) >= leastUsed {
		return out
	}
	return within(p.directory.Stage(p.service, stage))
}

// look returns up to maxLooked healthy runners of a stage that this gateway uses, in
// random order; only those in the failure domains that allows reports, nil for all. The caller
// holds the lock.
func (p *Pool) look(stage runners.Stage, allows func(domain string) bool, now time.Time) []*runners.State {
	from := p.allowed(stage, allows, now)
	order := slices.Clone(from)
	out := make([]*runners.State, 0, min(len(from), maxLooked))
	for i := range order {
		k := i + p.options.Pick(len(order)-i)
		order[i], order[k] = order[k], order[i]
		if order[i].Usable(now) {
			out = append(out, order[i])
		}
		if len(out) == maxLooked {
			break
		}
	}
	return runners.Healthy(out, now)
}
