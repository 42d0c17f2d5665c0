// Package overload protects a gateway that has too little processor time for its connections while other
// gateways of its failure domain have enough, as when the balancer hands it most new connections. It
// measures the gateway's lag and decides which new connections to close unread: their clients connect to
// another gateway at once, while a request that was read could only be refused or served late. The
// package does no I/O and takes the current time as an argument.
package overload

import (
	"sync"
	"time"
)

const (
	// window is the time over which the lag is measured.
	window = 500 * time.Millisecond
	// maxGap limits the gap between two ticks that counts. A longer one is a suspension of the process
	// rather than a lack of processor time.
	maxGap = 200 * time.Millisecond
)

// Meter measures the lag of a process: the share of time by which a periodic task runs late, from 0 to 1. It is
// safe for concurrent use.
type Meter struct {
	interval time.Duration
	mu       sync.Mutex
	last     time.Time
	ticks    []tick
}

// tick is one run of the periodic task: the gap since the run before it, and the late part of it.
type tick struct {
	at        time.Time
	gap, late time.Duration
}

// NewMeter returns a meter for a task that runs at an interval.
func NewMeter(interval time.Duration) *Meter { return &Meter{interval: interval} }

// Tick records that the task runs.
func (m *Meter) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.last.IsZero() {
		gap := min(now.Sub(m.last), maxGap)
		m.ticks = append(m.ticks, tick{at: now, gap: gap, late: max(0, gap-m.interval)})
	}
	m.last = now
	for len(m.ticks) > 0 && now.Sub(m.ticks[0].at) > window {
		m.ticks = m.ticks[1:]
	}
}

// Lag returns the lag over the last window.
func (m *Meter) Lag() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var total, late time.Duration
	for _, t := range m.ticks {
		total += t.gap
		late += t.late
	}
	if total == 0 {
		return 0
	}
	return float64(late) / float64(total)
}
