package boottime

import "time"

// SuspendForTest makes Now jump as after a suspension of the machine, for tests of what must expire during one.
// The returned function undoes the jump.
func SuspendForTest(d time.Duration) (restore func()) {
	systemClock.shift(d)
	return func() { systemClock.shift(-d) }
}

func (c *clock) shift(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspendedTotal += d
}
