package forecast

import (
	"sync"
	"time"
)

// servingWeight is the weight of the newest answer in the learned serving time.
const servingWeight = 0.2

// Serving learns how long it takes from room on a decode engine to the first event of an answer. It is
// safe for concurrent use.
type Serving struct {
	mu sync.Mutex
	// mean and deviation are the averages of the time and of its distance from the mean.
	mean, deviation time.Duration
	known           bool
}

// Learn records the time that one answer took.
func (s *Serving) Learn(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		s.mean, s.deviation, s.known = took, took/2, true
		return
	}
	off := took - s.mean
	s.mean += time.Duration(servingWeight * float64(off))
	s.deviation += time.Duration(servingWeight * float64(off.Abs()-s.deviation))
}

// Reserve returns the time to keep for serving a request that waits for room, or initial until an
// answer was measured.
func (s *Serving) Reserve(initial time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		return initial
	}
	return s.mean + s.deviation
}
