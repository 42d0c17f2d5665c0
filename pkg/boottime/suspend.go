package boottime

import "time"

// Suspend makes Now jump as after a suspension of the machine, for tests of what must not outlive
// one. It returns what takes the jump back.
func Suspend(d time.Duration) (restore func()) {
	system.shift(d)
	return func() { system.shift(-d) }
}

func (w *watch) shift(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.total += d
}
