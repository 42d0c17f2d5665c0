package peers

import "sync/atomic"

// Progress tells whether a loop of an exchange makes progress, so that a caller can detect that it hangs.
type Progress struct {
	// Steps grows with each step of the loop.
	Steps uint64
	// Outside is set while the loop waits for a datagram or for engine pools. The pools may be busy; they
	// are watched on their own.
	Outside bool
}

// Progress returns the progress of sending and of receiving. It takes no lock. Sending makes a step in each send
// interval at least.
func (x *Exchange) Progress() (sending, receiving Progress) {
	return x.sending.progress(), x.receiving.progress()
}

// loop counts the steps of a loop.
type loop struct {
	steps atomic.Uint64
	// calls is the number of calls of outside that have not returned.
	calls atomic.Int32
}

func (l *loop) step() { l.steps.Add(1) }

// outside calls f, which waits for something that the exchange does not control.
func (l *loop) outside(f func()) {
	l.calls.Add(1)
	f()
	l.steps.Add(1)
	l.calls.Add(-1)
}

func (l *loop) progress() Progress {
	return Progress{Steps: l.steps.Load(), Outside: l.calls.Load() > 0}
}
