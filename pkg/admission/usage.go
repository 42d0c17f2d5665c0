package admission

import (
	"math"
	"time"
)

// usageTime is the time constant over which use is averaged.
const usageTime = 10 * time.Second

// Usage is the share of an engine's time that some kind of work took lately.
type Usage struct {
	sum time.Duration
	at  time.Time
}

// Add records work.
func (u *Usage) Add(now time.Time, work time.Duration) {
	u.sum = u.decayed(now) + work
	u.at = now
}

// Share returns the share, 0 to 1.
func (u *Usage) Share(now time.Time) float64 {
	return min(1, float64(u.decayed(now))/float64(usageTime))
}

func (u *Usage) decayed(now time.Time) time.Duration {
	return time.Duration(float64(u.sum) * math.Exp(-float64(now.Sub(u.at))/float64(usageTime)))
}
