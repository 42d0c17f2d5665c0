package fairness

import (
	"cmp"
	"slices"
)

// Shares is the weighted max-min division of the memory in use among workspaces. A workspace that needs
// less than its share lends the rest to the others. The zero value has one share for all.
type Shares struct {
	// level is the share of a workspace per unit of weight, in tokens; 0 if all needs are met.
	level   float64
	uses    map[uint64]Use
	weights map[uint64]float64
}

// NewShares divides the memory that all workspaces use together. A workspace that weights does not
// contain has weight 1. Uses of the same workspace add up.
func NewShares(uses []Use, weights map[uint64]float64) *Shares {
	s := &Shares{uses: map[uint64]Use{}, weights: weights}
	for _, u := range uses {
		sum := s.uses[u.Workspace]
		s.uses[u.Workspace] = Use{u.Workspace, sum.Used + u.Used, sum.Waiting + u.Waiting}
	}
	s.level = s.fill()
	return s
}

// fill returns the level at which the shares of all workspaces add up to the memory in use, 0 if no
// workspace needs more than it has. Workspaces that need less than their share are removed in order of
// what they need per weight, the rest is divided among the others.
func (s *Shares) fill() float64 {
	type need struct{ tokens, weight float64 }
	var needs []need
	left, weights, waiting := 0.0, 0.0, 0
	for id, u := range s.uses {
		needs = append(needs, need{float64(u.Used + u.Waiting), s.weight(id)})
		left += float64(u.Used)
		weights += s.weight(id)
		waiting += u.Waiting
	}
	if waiting == 0 || len(needs) < 2 {
		return 0
	}
	slices.SortFunc(needs, func(a, b need) int { return cmp.Compare(a.tokens/a.weight, b.tokens/b.weight) })
	for _, n := range needs {
		level := left / weights
		if n.tokens/n.weight >= level {
			return level
		}
		left -= n.tokens
		weights -= n.weight
	}
	return 0
}

func (s *Shares) weight(workspace uint64) float64 {
	if w := s.weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// Excess returns by which fraction a workspace exceeds its share, 0 if it does not.
func (s *Shares) Excess(workspace uint64) float64 {
	if s == nil || s.level <= 0 {
		return 0
	}
	return max(0, float64(s.uses[workspace].Used)/(s.weight(workspace)*s.level)-1)
}

// Add records memory that was granted to a workspace. The level stays as it is.
func (s *Shares) Add(workspace uint64, tokens int) {
	u := s.uses[workspace]
	s.uses[workspace] = Use{workspace, u.Used + tokens, max(0, u.Waiting-tokens)}
}

// Compare implements Order: the class first, then the request on which more has been spent, then the
// one whose workspace exceeds its share less, then the earlier arrival.
func (s *Shares) Compare(a, b Request) int {
	return cmp.Or(a.Class.Compare(b.Class), cmp.Compare(b.Spent, a.Spent),
		cmp.Compare(s.Excess(a.Workspace), s.Excess(b.Workspace)), cmp.Compare(a.Arrival, b.Arrival))
}
