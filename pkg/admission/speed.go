package admission

import "time"

// Smoothing weights of the estimates: the share of a new observation.
const (
	rateWeight = 0.1
	stepWeight = 0.02
)

// Speed estimates an engine's prefill rate from observations.
type Speed struct {
	rate float64
}

// NewSpeed returns an estimator with an initial rate in tokens per second.
func NewSpeed(rate float64) *Speed { return &Speed{rate: rate} }

// Observe updates the rate from a prefill that had the engine to itself.
func (s *Speed) Observe(tokens int, took time.Duration) {
	if tokens < minObservedTokens || took <= 0 || took.Seconds()*s.rate > outlierFactor*float64(tokens) {
		return
	}
	s.rate += rateWeight * (float64(tokens)/took.Seconds() - s.rate)
}

// outlierFactor is how many times slower than expected an observation may be. A
// slower one was caused by a suspension of the process or of the machine and is
// no observation of the engine.
const outlierFactor = 8

// minObservedTokens is the size of the smallest prefill from which the rate can
// be estimated.
const minObservedTokens = 64

// Rate returns the estimated rate in tokens per second.
func (s *Speed) Rate() float64 { return s.rate }

// Step estimates how the time of a decode step grows with the batch size, by
// least squares with exponential forgetting.
type Step struct {
	n, x, y, xx, xy float64
	base, slope     float64
}

// NewStep starts from an initial base and slope.
func NewStep(base, slope time.Duration) *Step {
	return &Step{base: base.Seconds(), slope: slope.Seconds()}
}

// Observe adds the time of one step at a batch size.
func (s *Step) Observe(batch int, took time.Duration) {
	b, t := float64(batch), took.Seconds()
	if t > outlierFactor*(s.base+s.slope*b) {
		return
	}
	const decay = 1 - stepWeight
	s.n, s.x, s.y = s.n*decay+1, s.x*decay+b, s.y*decay+t
	s.xx, s.xy = s.xx*decay+b*b, s.xy*decay+b*t
	s.fit()
}

// fit solves for base and slope if the batch sizes vary enough. Otherwise it
// adjusts only the base.
func (s *Step) fit() {
	d := s.n*s.xx - s.x*s.x
	if d < s.n*s.n*minBatchVariance {
		s.base += stepWeight * (s.y/s.n - s.slope*s.x/s.n - s.base)
		return
	}
	slope := (s.n*s.xy - s.x*s.y) / d
	base := (s.y - slope*s.x) / s.n
	if slope < 0 || base < 0 {
		return
	}
	s.base, s.slope = base, slope
}

// minBatchVariance is the variance of batch sizes below which no slope is fitted.
const minBatchVariance = 4

// Model returns the base and the slope of the step time.
func (s *Step) Model() (base, slope time.Duration) {
	return time.Duration(s.base * float64(time.Second)), time.Duration(s.slope * float64(time.Second))
}
