package enginepool

import "math"

// profile is the distribution of the memory that requests on an engine take, from now on until all
// have ended. All responses of an engine grow at the same rate, so that time is counted in tokens
// by which each has grown. Only when they end is uncertain.
type profile struct {
	// mean and variance are of the memory in use after each of growthSteps, in tokens.
	mean, variance [len(growthSteps)]float64
}

// growthSteps are the times for which a profile is computed, as multiples of the time that a response
// of typical length takes.
var growthSteps = [...]float64{0, 0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875, 1, 1.25, 1.5, 2, 2.5, 3, 4, 6}

// add adds a request.
func (p *profile) add(f footprint, typical float64) {
	tail := 0.0
	if f.length.median > 0 {
		tail = normalAbove(f.length.deviations(f.generated))
	}
	for k, step := range growthSteps {
		grown := step * typical
		running := 1.0
		if k > 0 {
			if f.length.median <= 0 {
				return
			}
			running = f.length.running(f.generated, tail, f.generated+grown)
		}
		memory := f.now + grown
		p.mean[k] += memory * running
		p.variance[k] += memory * memory * running * (1 - running)
		if running < negligible {
			return
		}
	}
}

// negligible is a probability below which a response counts as ended.
const negligible = 1e-3

// most returns the most memory that the requests of both profiles take at any time, with a margin in
// standard deviations.
func (p *profile) most(other *profile, deviations float64) float64 {
	most := 0.0
	for k := range growthSteps {
		most = max(most, p.mean[k]+other.mean[k]+deviations*math.Sqrt(p.variance[k]+other.variance[k]))
	}
	return most
}
