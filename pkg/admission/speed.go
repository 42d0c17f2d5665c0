package admission

import "time"

// Smoothing weights of the learned speeds: the share of a new observation.
const (
	rateWeight = 0.1
	stepWeight = 0.02
)

// Speed learns an engine's prefill rate from what was observed.
type Speed struct {
	rate float64
}

// NewSpeed starts from a rate in tokens a second.
func NewSpeed(rate float64) *Speed { return &Speed{rate: rate} }

// Observe takes over a prefill of so many tokens that had the engine to itself.
func (s *Speed) Observe(tokens int, took time.Duration) {
	if tokens < minObserved || took <= 0 || took.Seconds()*s.rate > outlier*float64(tokens) {
		return
	}
	s.rate += rateWeight * (float64(tokens)/took.Seconds() - s.rate)
}

// outlier is by how much an observation may be slower than expected. What is
// slower still was a pause of the process or of the machine, and says nothing
// about the engine.
const outlier = 8

// minObserved is the least work whose speed tells something.
const minObserved = 64

// Rate returns tokens a second.
func (s *Speed) Rate() float64 { return s.rate }

// Step learns how a decode step's time grows with the batch, by least squares
// over an exponentially forgotten past.
type Step struct {
	n, x, y, xx, xy float64
	base, slope     float64
}

// NewStep starts from a base and a slope.
func NewStep(base, slope time.Duration) *Step {
	return &Step{base: base.Seconds(), slope: slope.Seconds()}
}

// Observe takes over one step's time at a batch size.
func (s *Step) Observe(batch int, took time.Duration) {
	b, t := float64(batch), took.Seconds()
	if t > outlier*(s.base+s.slope*b) {
		return
	}
	const keep = 1 - stepWeight
	s.n, s.x, s.y = s.n*keep+1, s.x*keep+b, s.y*keep+t
	s.xx, s.xy = s.xx*keep+b*b, s.xy*keep+b*t
	s.fit()
}

// fit solves for base and slope where the batches differ enough to tell.
func (s *Step) fit() {
	d := s.n*s.xx - s.x*s.x
	if d < s.n*s.n*minSpread {
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

// minSpread is the variance of batch sizes below which no slope is fitted.
const minSpread = 4

// Model returns base and slope of the step time.
func (s *Step) Model() (base, slope time.Duration) {
	return time.Duration(s.base * float64(time.Second)), time.Duration(s.slope * float64(time.Second))
}
