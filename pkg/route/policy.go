package route

// Policy selects a pair of runners from the candidates in a Scratch. Choose
// returns *ErrNoRunner or *ErrLate on failure. Implementations are safe for
// concurrent use as long as concurrent calls use different Scratches.
type Policy interface {
	Choose(r *Request, s *Scratch) (Choice, error)
}

// Policy names.
const (
	NameHopwell     = "hopwell"
	NameRoundRobin  = "round_robin"
	NameLeastLoaded = "least_loaded"
	NameCacheAware  = "cache_aware"
)

// Names lists the names of all policies.
var Names = []string{NameHopwell, NameRoundRobin, NameLeastLoaded, NameCacheAware}

// New returns the policy with the given name, or *ErrPolicy if there is none.
func New(name string) (Policy, error) {
	switch name {
	case NameHopwell:
		return &Hopwell{}, nil
	case NameRoundRobin:
		return &RoundRobin{}, nil
	case NameLeastLoaded:
		return LeastLoaded{}, nil
	case NameCacheAware:
		return CacheAware{}, nil
	}
	return nil, &ErrPolicy{Name: name}
}

// lowestCost returns the index of the usable candidate with the lowest cost, or -1
// if there is none. A candidate is usable if it is not Shunned.
func lowestCost(all []State, cost func(*State) float64) int {
	best, bestCost := -1, 0.0
	for i := range all {
		if all[i].Shunned {
			continue
		}
		if c := cost(&all[i]); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	return best
}
