package ingress

import (
	"sync/atomic"
	"time"
)

const (
	// drainReserve is the time before the end of a drain in which short requests are refused. It is
	// far longer than plain runners take to respond, so that hardly any request is cut off at the
	// end.
	drainReserve = time.Second
	// drainResponseReserve is the time before the end of a drain at which requests that arrived
	// during the drain, and still run, are failed with a timeout.
	drainResponseReserve = 150 * time.Millisecond
)

// drain is the graceful shutdown. All requests are accepted at first, since the balancer keeps
// sending them for a while. Then new streams are refused. Short requests are accepted as long as
// running streams keep the process alive, because a balancer without another gateway keeps sending
// them.
type drain struct {
	// period is nil until the drain begins.
	period atomic.Pointer[drainPeriod]
	// streams is the number of streams being served.
	streams atomic.Int64
}

// drainPeriod holds the time until which all new requests are accepted, and the end of the drain.
type drainPeriod struct {
	acceptUntil, end time.Time
}

func (d *drain) begun() bool { return d.period.Load() != nil }

// refuses reports whether a request that arrives now is refused because of the drain.
func (d *drain) refuses(now time.Time, stream bool) bool {
	p := d.period.Load()
	if p == nil || now.Before(p.acceptUntil) {
		return false
	}
	return stream || d.streams.Load() == 0 || now.After(p.end.Add(-drainReserve))
}

// bound returns the time limit of a request that arrives now: during a drain at most the time left
// until its end. A limit of 0 means no limit.
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

// left returns the time left until the end of the drain, 0 without one.
func (d *drain) left(now time.Time) time.Duration {
	p := d.period.Load()
	if p == nil {
		return 0
	}
	return max(0, p.end.Sub(now))
}

// StartDrain begins the graceful shutdown. All new requests are accepted until the time accept has
// passed. The process ends at the latest when longest has passed.
func (g *Ingress) StartDrain(accept, longest time.Duration) {
	now := time.Now()
	g.drain.period.CompareAndSwap(nil, &drainPeriod{acceptUntil: now.Add(accept), end: now.Add(longest)})
}

// Streams returns the number of streams being served.
func (g *Ingress) Streams() int { return int(g.drain.streams.Load()) }

// Open returns the number of requests being served.
func (g *Ingress) Open() int { return int(g.open.Load()) }
