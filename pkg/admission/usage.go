package admission

import (
	"math"
	"time"
)

// usageTimeConstant is the time constant of the exponential average of usage.
const usageTimeConstant = 10 * time.Second

// Usage is the recent share of an engine's time that one kind of work took.
type Usage struct {
	sum time.Duration
	at  time.Time
}

// Add records engine time for work that is admitted at now, before it runs.
func (u *Usage) Add(now time.Time, work time.Duration) {
	u.sum = u.decayed(now) + work
	u.at = now
}

// Share returns the share, from 0 to 1.
func (u *Usage) Share(now time.Time) float64 {
	return min(1, float64(u.decayed(now))/float64(usageTimeConstant))
}

func (u *Usage) decayed(now time.Time) time.Duration {
	return time.Duration(float64(u.sum) * math.Exp(-float64(now.Sub(u.at))/float64(usageTimeConstant)))
}
