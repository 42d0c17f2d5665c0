package enginepool

import (
	"math"
	"sync"
)

const (
	// priorWeight is the weight of the initial estimate, in responses.
	priorWeight = 12
	// priorSpread is the initial standard deviation of the logarithm of the response
	// length around the estimate.
	priorSpread = 0.45
	// decayFactor multiplies the weight of older responses with each new one.
	decayFactor = 0.99
	// minSpread is the lower bound of the learned spread.
	minSpread = 0.05
)

// Lengths learns to predict the length of a response from the client's length hint, by a
// linear regression of the logarithm of the length on that of the hint.
// It is safe for concurrent use.
type Lengths struct {
	mu sync.Mutex
	// Weighted sums over past responses: of the weights, of x (log of the hint),
	// y (log of the length), their products, and of squared errors.
	n, x, y, xx, xy, ee float64
}

// NewLengths returns a learner that initially predicts the hint as the median length.
func NewLengths() *Lengths {
	l := &Lengths{}
	for _, hint := range []float64{100, 300, 900, 1800} {
		v := math.Log(hint)
		w := float64(priorWeight) / 4
		l.n += w
		l.x += w * v
		l.y += w * v
		l.xx += w * v * v
		l.xy += w * v * v
	}
	l.ee = priorWeight * priorSpread * priorSpread
	return l
}

// fit returns the intercept, the slope and the spread of the regression line. The caller
// holds the lock.
func (l *Lengths) fit() (a, b, spread float64) {
	det := l.n*l.xx - l.x*l.x
	if det <= 0 {
		return 0, 1, priorSpread
	}
	b = (l.n*l.xy - l.x*l.y) / det
	a = (l.y - b*l.x) / l.n
	return a, b, max(minSpread, math.Sqrt(l.ee/l.n))
}

// Spread returns the standard deviation of the logarithm of lengths around the estimates.
func (l *Lengths) Spread() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _, spread := l.fit()
	return spread
}

// Learn records the length hint and the actual length of a response, in tokens.
func (l *Lengths) Learn(hint, length int) {
	if hint <= 0 || length <= 0 {
		return
	}
	x, y := math.Log(float64(hint)), math.Log(float64(length))
	l.mu.Lock()
	defer l.mu.Unlock()
	a, b, _ := l.fit()
	err := y - a - b*x
	for _, sum := range []*float64{&l.n, &l.x, &l.y, &l.xx, &l.xy, &l.ee} {
		*sum *= decayFactor
	}
	l.n++
	l.x += x
	l.y += y
	l.xx += x * x
	l.xy += x * y
	l.ee += err * err
}

// Estimate is the distribution of one response's length, estimated before it begins.
type Estimate struct {
	// median is the median length and spread the standard deviation of its logarithm;
	// maxTokens is the longest possible length, 0 for no limit.
	median, spread, maxTokens float64
}

// Estimate returns the estimate for a length hint and a limit of the length, both in
// tokens; a maxTokens of 0 means no limit.
func (l *Lengths) Estimate(hint, maxTokens int) Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, b, spread := l.fit()
	out := Estimate{median: math.Exp(a + b*math.Log(max(1, float64(hint)))), spread: spread, maxTokens: float64(maxTokens)}
	if maxTokens > 0 {
		out.median = min(out.median, out.maxTokens)
	}
	return out
}

// Expected returns the mean total length, in tokens, of a response that has generated
// tokens already and is not complete: the mean of a log-normal distribution truncated
// below at that number.
func (b Estimate) Expected(generated int) float64 {
	// fractionAbove returns the fraction of the normal distribution of the log length, with
	// its mean raised by shift, that lies above the log of generated.
	fractionAbove := func(shift float64) float64 {
		if generated <= 0 {
			return 1
		}
		z := (math.Log(float64(generated)/b.median) - shift) / b.spread
		return math.Erfc(z/math.Sqrt2) / 2
	}
	tail := fractionAbove(0)
	if tail < 1e-6 {
		return b.bounded(float64(generated) * tailFactor)
	}
	mean := b.median * math.Exp(b.spread*b.spread/2) * fractionAbove(b.spread*b.spread) / tail
	return b.bounded(max(mean, float64(generated)))
}

// tailFactor is the ratio of the expected to the current length of a response that is far
// longer than estimated.
const tailFactor = 1.1

func (b Estimate) bounded(v float64) float64 {
	if b.maxTokens > 0 {
		return min(v, b.maxTokens)
	}
	return v
}
