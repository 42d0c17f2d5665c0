package ingress

import (
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/routetable"
)

const (
	// drainReserve is the time before the end of a drain in which all requests are refused.
	drainReserve = time.Second
	// drainSlack is how many times as long as the longest recent request of its route a request may
	// take without being cut off at the end of a drain.
	drainSlack = 1.5
	// drainResponseReserve is the time before the end of a drain at which requests that arrived
	// during the drain, and still run, are failed with a timeout.
	drainResponseReserve = 150 * time.Millisecond
)

// drain is the graceful shutdown. All requests that can end in time are accepted at first, since the
// balancer keeps sending them for a while. Then new streams are refused. Other requests are accepted
// as long as running streams keep the process alive, because a balancer without another gateway
// keeps sending them.
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

// refuses reports whether a request that arrives now is refused because of the drain. need is the
// time that a request other than a stream may take.
func (d *drain) refuses(now time.Time, stream bool, need time.Duration) bool {
	p := d.period.Load()
	if p == nil {
		return false
	}
	if now.Before(p.acceptUntil) {
		return !stream && d.endsBefore(now, need)
	}
	return stream || d.streams.Load() == 0 || d.endsBefore(now, max(need, drainReserve))
}

// endsBefore reports whether the drain ends before a request has taken the time that it may need.
func (d *drain) endsBefore(now time.Time, need time.Duration) bool {
	p := d.period.Load()
	return p != nil && now.Add(need).After(p.end)
}

// drainNeed returns the time that a request other than a stream may still take: drainSlack times that
// of the longest recent one of its route, but no longer than the client and the route allow. If there
// was none, it is what they allow, or 0 if the request may be repeated. It is also 0 if nothing is
// known.
func (x *exchange) drainNeed(now time.Time) time.Duration {
	allowed, _ := x.allowedTime()
	allowed = max(0, allowed-now.Sub(x.arrived))
	need := time.Duration(drainSlack * float64(x.g.durations.longest(x.route.Name, now)))
	switch {
	case need == 0 && x.route.Repeatable():
		return 0
	case need == 0:
		return allowed
	case allowed == 0:
		return need
	}
	return min(need, allowed)
}

// checkDrain returns *ErrNotReady if the request must no longer be sent because the process may end
// before its response is there. A repeatable request that may have run already is sent again: a
// refusal would not be true.
func (x *exchange) checkDrain() error {
	now := time.Now()
	if !x.g.drain.begun() || x.route.Kind == routetable.Stream || x.sends > 0 && x.route.Repeatable() {
		return nil
	}
	if !x.g.drain.endsBefore(now, x.drainNeed(now)) {
		return nil
	}
	return &ErrNotReady{Why: "stopping"}
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
