package enginepool

import (
	"math"
	"sync"
)

const (
	// priorWeight is how many answers the first estimate of guesses counts as.
	priorWeight = 12
	// priorSpread is the first estimate of the spread of the logarithm of the
	// answer's length around the estimate.
	priorSpread = 0.45
	// forget is the weight that older answers keep with each new one.
	forget = 0.99
	// leastSpread bounds the learned spread from below.
	leastSpread = 0.05
)

// Lengths learns how long answers are from how long clients guessed them to be:
// the logarithm of the length is a line of that of the guess, plus an error. It
// is safe for concurrent use.
type Lengths struct {
	mu sync.Mutex
	// weighted sums over past answers: of the weights, of x (log of the guess),
	// y (log of the length), their products, and of squared errors.
	n, x, y, xx, xy, ee float64
}

// NewLengths returns a learner that takes guesses for right in the median.
func NewLengths() *Lengths {
	l := &Lengths{}
	for _, guess := range []float64{100, 300, 900, 1800} {
		v := math.Log(guess)
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

// line returns the estimated line: intercept, slope and spread. The caller holds the
// lock.
func (l *Lengths) line() (a, b, spread float64) {
	det := l.n*l.xx - l.x*l.x
	if det <= 0 {
		return 0, 1, priorSpread
	}
	b = (l.n*l.xy - l.x*l.y) / det
	a = (l.y - b*l.x) / l.n
	return a, b, max(leastSpread, math.Sqrt(l.ee/l.n))
}

// Spread returns that of the logarithm of lengths around the estimates.
func (l *Lengths) Spread() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _, spread := l.line()
	return spread
}

// Learn records an answer's guess and its length, in tokens.
func (l *Lengths) Learn(guess, length int) {
	if guess <= 0 || length <= 0 {
		return
	}
	x, y := math.Log(float64(guess)), math.Log(float64(length))
	l.mu.Lock()
	defer l.mu.Unlock()
	a, b, _ := l.line()
	err := y - a - b*x
	for _, sum := range []*float64{&l.n, &l.x, &l.y, &l.xx, &l.xy, &l.ee} {
		*sum *= forget
	}
	l.n++
	l.x += x
	l.y += y
	l.xx += x * x
	l.xy += x * y
	l.ee += err * err
}

// Estimate is what is known of one answer's length before it begins.
type Estimate struct {
	// median is the length that is exceeded as often as not, spread that of the
	// logarithm around it; most is the longest possible.
	median, spread, most float64
}

// Estimate returns what a guess says of a length of at most most tokens; 0 for no
// bound.
func (l *Lengths) Estimate(guess, most int) Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, b, spread := l.line()
	out := Estimate{median: math.Exp(a + b*math.Log(max(1, float64(guess)))), spread: spread, most: float64(most)}
	if most > 0 {
		out.median = min(out.median, out.most)
	}
	return out
}

// Expected returns the mean length, in tokens, of an answer that has made tokens
// and goes on: that of the part of a log-normal distribution above made.
func (b Estimate) Expected(made int) float64 {
	above := func(shift float64) float64 {
		if made <= 0 {
			return 1
		}
		z := (math.Log(float64(made)/b.median) - shift) / b.spread
		return math.Erfc(z/math.Sqrt2) / 2
	}
	rest := above(0)
	if rest < 1e-6 {
		return b.bounded(float64(made) * tailFactor)
	}
	mean := b.median * math.Exp(b.spread*b.spread/2) * above(b.spread*b.spread) / rest
	return b.bounded(max(mean, float64(made)))
}

// tailFactor is how much longer than it is an answer is expected to get that is
// far above the estimate.
const tailFactor = 1.1

func (b Estimate) bounded(v float64) float64 {
	if b.most > 0 {
		return min(v, b.most)
	}
	return v
}
