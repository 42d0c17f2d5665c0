package fairness

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// largeShare is the share of requests that count as large, and largeDeviations the number of standard
	// deviations by which the logarithm of their size exceeds the mean, for a normal distribution.
	largeShare      = 0.1
	largeDeviations = 1.2816
	// sizeMemory is the number of requests over which sizes are averaged, minSizes the number that must
	// have been observed before memory is kept free. It is small, since a gateway receives only one or two
	// requests a second.
	sizeMemory = 200
	minSizes   = 8
	// minLargeRatio is the ratio of the mean size of large requests to that of all from which large
	// ones need memory of their own: below it they fit about where the others do.
	minLargeRatio = 1.4
	// reserveFactor is the ratio of the share of engines with memory kept free to the share of tokens that
	// large requests ask for. Smaller requests hold about half of the memory of these engines.
	reserveFactor = 2
)

// Sizes learns how many tokens requests need, and keeps memory free for the large ones on a part of the
// engines, see Reserve. Otherwise smaller requests of all gateways take each free part of an engine before it is
// large enough. All gateways choose about the same engines without any messages, by hashes of their
// names. The zero value is ready to use.
type Sizes struct {
	observed int
	// mean and variance are those of the logarithms of sizes.
	mean, variance float64
}

// Observe records the size of a request that asks for room, in tokens.
func (s *Sizes) Observe(size int) {
	s.observed++
	x := math.Log(float64(max(1, size)))
	weight := 1 / float64(min(s.observed, sizeMemory))
	difference := x - s.mean
	s.mean += difference * weight
	s.variance += (difference*(x-s.mean) - s.variance) * weight
}

// threshold is the size from which a request is large.
func (s *Sizes) threshold() float64 {
	return math.Exp(s.mean + largeDeviations*math.Sqrt(s.variance))
}

// largeTokens returns the share of all tokens that large requests ask for.
func (s *Sizes) largeTokens() float64 {
	return math.Erfc((largeDeviations-math.Sqrt(s.variance))/math.Sqrt2) / 2
}

// largeMean returns the mean size of large requests.
func (s *Sizes) largeMean() float64 {
	return math.Exp(s.mean+s.variance/2) * s.largeTokens() / largeShare
}

// Large reports whether a request of a size is one of the largest.
func (s *Sizes) Large(size int) bool { return s.apart() && float64(size) >= s.threshold() }

// apart reports whether large requests need memory of their own.
func (s *Sizes) apart() bool {
	return s.observed >= minSizes && s.largeTokens() >= minLargeRatio*largeShare
}

// Reserve chooses the engines on which memory is kept free for large requests, of those that a gateway
// uses: reserveFactor times the share of all tokens that large requests ask for.
func (s *Sizes) Reserve(engines []string) Reserve {
	if !s.apart() {
		return Reserve{}
	}
	n := int(math.Round(reserveFactor * s.largeTokens() * float64(len(engines))))
	byHash := slices.Clone(engines)
	slices.SortFunc(byHash, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	r := Reserve{engines: map[string]bool{}, large: s.threshold(), memory: s.largeMean()}
	for _, id := range byHash[:min(n, len(byHash))] {
		r.engines[id] = true
	}
	return r
}

// Reserve is the memory kept free for large requests. The zero value keeps none.
type Reserve struct {
	engines map[string]bool
	// large is the size from which a request is large, memory what is kept free on an engine.
	large, memory float64
}

// KeepFree returns the memory, in tokens, that a request of a size must leave free on an engine.
func (r Reserve) KeepFree(size int, engine string) float64 {
	if !r.engines[engine] || float64(size) >= r.large {
		return 0
	}
	return r.memory
}
