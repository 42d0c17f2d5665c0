package enginepool

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

// profileOfJob returns the profile of one job.
func profileOfJob(j Job, typical float64) *profile {
	p := &profile{}
	p.add(j.footprint(), typical)
	return p
}

// Compares a profile with the mean and the variance of simulated lengths.
func TestProfileMatchesSimulation(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const samples, typical = 4000, 300.0
		random := rand.New(rand.NewPCG(uint64(rapid.IntRange(0, 1000).Draw(t, "seed")), 1))
		var p profile
		var requests []footprint
		for range rapid.IntRange(1, 8).Draw(t, "n") {
			f := footprint{
				now:       float64(rapid.IntRange(1, 500).Draw(t, "now")),
				generated: float64(rapid.IntRange(0, 250).Draw(t, "generated")),
				length:    Estimate{median: rapid.Float64Range(200, 600).Draw(t, "median"), spread: rapid.Float64Range(0.1, 0.8).Draw(t, "spread")},
			}
			// Longer lengths than generated must be common enough to be sampled.
			f.generated = min(f.generated, f.length.median*math.Exp(f.length.spread))
			requests = append(requests, f)
			p.add(f, typical)
		}
		var sum, squares [len(growthSteps)]float64
		for range samples {
			var memory [len(growthSteps)]float64
			for _, f := range requests {
				length := 0.0
				for length <= f.generated {
					length = f.length.median * math.Exp(f.length.spread*random.NormFloat64())
				}
				for k, step := range growthSteps {
					if k == 0 || length > f.generated+step*typical {
						memory[k] += f.now + step*typical
					}
				}
			}
			for k, m := range memory {
				sum[k] += m
				squares[k] += m * m
			}
		}
		for k, step := range growthSteps {
			mean := sum[k] / samples
			variance := squares[k]/samples - mean*mean
			// One response that still runs weighs at most this much.
			most := 500 + step*typical
			g.Expect(p.mean[k]).To(BeNumerically("~", mean, 5*math.Sqrt(variance/samples)+most*0.005))
			g.Expect(p.variance[k]).To(BeNumerically("~", variance, 0.15*variance+most*most*0.02))
		}
	})
}

// Responses of nearly known lengths: the profile reaches the memory that they take just before the
// first of them ends, and later ones take their place in the maximum.
func TestProfileFindsPeakOfKnownLengths(t *testing.T) {
	g := NewWithT(t)
	var p profile
	for _, length := range []int{280, 280, 590} {
		p.add(footprint{now: 100, length: exact(length)}, 400)
	}
	// All three have grown by 250 before two end. The last one takes 600 just before it ends.
	g.Expect(p.most(&profile{}, 0)).To(BeNumerically("~", 3*(100+250), 30))
	g.Expect(p.mean[8]).To(BeNumerically("~", 500, 1))
}

// Estimates that follow from a report give the expected length that was reported.
func TestEstimateFromReportedLength(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		spread := rapid.Float64Range(minSpread, 0.8).Draw(t, "spread")
		sent := Estimate{median: rapid.Float64Range(20, 4000).Draw(t, "median"), spread: spread}
		generated := int(sent.median * rapid.Float64Range(0, math.Exp(2*spread)).Draw(t, "generated"))
		total := sent.Expected(generated)
		received := estimateFrom(float64(generated), total, spread)
		g.Expect(received.Expected(generated)).To(BeNumerically("~", total, 0.02*total+1))
	})
}
