package ingress

import (
	"sync/atomic"
	"time"
)

// drain is the planned stop: for a while everything is still served, since the
// balancer goes on sending; then new requests are refused.
type drain struct {
	// at is when it began, in nanoseconds since 1970 by the steady clock; 0
	// before.
	at atomic.Pointer[time.Time]
	// accept is for how long new requests are still taken.
	accept atomic.Int64
}

func (d *drain) begun() bool { return d.at.Load() != nil }

// refuses reports whether a request that came now is no longer taken.
func (d *drain) refuses(now time.Time) bool {
	at := d.at.Load()
	return at != nil && now.Sub(*at) > time.Duration(d.accept.Load())
}

// StartDrain begins the planned stop. New requests are taken for accept more.
func (g *Ingress) StartDrain(accept time.Duration) {
	now := time.Now()
	g.drain.accept.Store(int64(accept))
	g.drain.at.CompareAndSwap(nil, &now)
}

// Open returns how many requests are being served.
func (g *Ingress) Open() int { return int(g.open.Load()) }
