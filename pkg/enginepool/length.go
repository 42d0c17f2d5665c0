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

// Typical returns a length in the middle of those learned, in tokens. It changes in steps of a
// quarter, so that what is computed from it can be kept.
func (l *Lengths) Typical() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	step := math.Log(1.25)
	return math.Exp(math.Round(l.y/l.n/step) * step)
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
func (b Estimate) Expected(generated int) float64 { return b.expected(float64(generated)) }

func (b Estimate) expected(generated float64) float64 {
	z := b.deviations(generated)
	tail := normalAbove(z)
	if tail < minTail {
		return b.bounded(generated * tailFactor)
	}
	mean := b.median * math.Exp(b.spread*b.spread/2) * normalAbove(z-b.spread) / tail
	return b.bounded(max(mean, generated))
}

// deviations returns by how many standard deviations of the logarithm a length lies above the
// median.
func (b Estimate) deviations(length float64) float64 {
	if length <= 0 {
		return math.Inf(-1)
	}
	return math.Log(length/b.median) / b.spread
}

// normalAbove returns the fraction of the standard normal distribution above z. It interpolates in a
// table: profiles need it for each response and time.
func normalAbove(z float64) float64 {
	at := (z + normalRange) * normalSteps
	switch {
	case !(at > 0):
		return 1
	case at >= 2*normalRange*normalSteps:
		return 0
	}
	i := int(at)
	return normalTable[i] + (normalTable[i+1]-normalTable[i])*(at-float64(i))
}

const (
	// normalRange is the value beyond which normalAbove is 0 or 1, and normalSteps the number of
	// entries of its table for a difference of 1.
	normalRange = 6
	normalSteps = 64
)

var normalTable = func() (out [2*normalRange*normalSteps + 1]float64) {
	for i := range out {
		out[i] = math.Erfc((float64(i)/normalSteps-normalRange)/math.Sqrt2) / 2
	}
	return out
}()

// running returns the probability that a response is longer than length, given the fraction tail of
// responses that are longer than what it has generated.
func (b Estimate) running(generated, tail, length float64) float64 {
	switch {
	case length <= generated:
		return 1
	case b.maxTokens > 0 && length >= b.maxTokens:
		return 0
	case tail < minTail:
		// The expected rest is that of Expected, and ends at an even rate.
		return math.Exp(-(length - generated) / (generated * (tailFactor - 1)))
	}
	return normalAbove(b.deviations(length)) / tail
}

// longest returns a length that hardly any response exceeds of those that have generated tokens already
// and are not complete.
func (b Estimate) longest(generated float64) float64 {
	return b.bounded(max(b.median*math.Exp(longestSpreads*b.spread), generated+longestRest*(b.expected(generated)-generated)))
}

// estimateFrom returns the estimate of a response of which the mean total length is known, given
// that it has generated tokens already and is not complete: the inverse of Expected. spread is the
// standard deviation of the logarithm of lengths.
func estimateFrom(generated, total, spread float64) Estimate {
	b := Estimate{median: max(1, total) * math.Exp(-spread*spread/2), spread: spread}
	if generated <= 0 {
		return b
	}
	low, high := b.median*math.Exp(-longestSpreads*spread), b.median*math.Exp(spread*spread/2)
	for range inverseSteps {
		b.median = math.Sqrt(low * high)
		if b.expected(generated) < total {
			low = b.median
		} else {
			high = b.median
		}
	}
	return b
}

const (
	// minTail is the least fraction of responses longer than generated that is divided by.
	minTail = 1e-6
	// longestSpreads is how many spreads above the median longest lies at least, and longestRest how
	// many times the expected rest above what is generated.
	longestSpreads = 3
	longestRest    = 4
	// inverseSteps bisects a range of lengths to less than 1% of the length.
	inverseSteps = 8
)

// tailFactor is the ratio of the expected to the current length of a response that is far
// longer than estimated.
const tailFactor = 1.1

func (b Estimate) bounded(v float64) float64 {
	if b.maxTokens > 0 {
		return min(v, b.maxTokens)
	}
	return v
}
