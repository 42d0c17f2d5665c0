package route

// Policy chooses a pair of runners from the candidates in a scratch. It fails
// with *ErrNoRunner or *ErrLate. Implementations are safe for concurrent use
// as long as no two calls share a scratch.
type Policy interface {
	Choose(r *Request, s *Scratch) (Choice, error)
}

// The names of the policies.
const (
	NameHopwell     = "hopwell"
	NameRoundRobin  = "round_robin"
	NameLeastLoaded = "least_loaded"
	NameCacheAware  = "cache_aware"
)

// Names lists all policies.
var Names = []string{NameHopwell, NameRoundRobin, NameLeastLoaded, NameCacheAware}

// New returns the policy with a name, or *ErrPolicy.
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

// usable returns the index of the best candidate that is not shunned, by a
// cost, or -1.
func usable(all []State, cost func(*State) float64) int {
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
