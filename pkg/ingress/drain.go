package ingress

import (
	"sync/atomic"
	"time"
)

const (
	// drainReserve is how long before the end of a drain short requests are refused: far
	// more than plain runners take, so that hardly one is given up at the end.
	drainReserve = time.Second
	// drainResponseReserve is how long before the end of a drain what still runs of the requests
	// that came during it is answered as timed out.
	drainResponseReserve = 150 * time.Millisecond
)

// drain is the planned stop: for a while everything is still served, since the balancer
// goes on sending. Then new streams are refused. Short requests are served as long as
// streams keep the process up: a balancer without another gateway goes on sending them.
type drain struct {
	// period is set once the stop has begun.
	period atomic.Pointer[drainPeriod]
	// streams counts the streams that are served.
	streams atomic.Int64
}

// drainPeriod is when a drain takes new requests, and when it ends.
type drainPeriod struct {
	acceptUntil, end time.Time
}

func (d *drain) begun() bool { return d.period.Load() != nil }

// refuses reports whether a request that came now is no longer taken.
func (d *drain) refuses(now time.Time, stream bool) bool {
	p := d.period.Load()
	if p == nil || now.Before(p.acceptUntil) {
		return false
	}
	return stream || d.streams.Load() == 0 || now.After(p.end.Add(-drainReserve))
}

// bound shortens the time of a request that came during the drain to what is left of it.
func (d *drain) bound(now time.Time, limit time.Duration) time.Duration {
	p := d.period.Load()
	if p == nil {
		return limit
	}
	left := max(p.end.Sub(now)-drainResponseReserve, time.Millisecond)
	if limit <= 0 {
		return left
	}
	return min(limit, left)
}

// left returns how long the drain may still take.
func (d *drain) left(now time.Time) time.Duration {
	p := d.period.Load()
	if p == nil {
		return 0
	}
	return max(0, p.end.Sub(now))
}

// StartDrain begins the planned stop. All new requests are taken for accept more, and the
// process ends after longest.
func (g *Ingress) StartDrain(accept, longest time.Duration) {
	now := time.Now()
	g.drain.period.CompareAndSwap(nil, &drainPeriod{acceptUntil: now.Add(accept), end: now.Add(longest)})
}

// Streams returns how many streams are being served.
func (g *Ingress) Streams() int { return int(g.drain.streams.Load()) }

// Open returns how many requests are being served.
func (g *Ingress) Open() int { return int(g.open.Load()) }
