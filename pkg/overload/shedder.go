package overload

import (
	"slices"
	"sync"
	"time"
)

const (
	// overloadLag is the lag from which on a gateway is overloaded, calmLag that below which it is not.
	// In between, the share of closed connections stays as it is.
	overloadLag = 0.5
	calmLag     = 0.25
	// peerLagRatio is the median lag of the other gateways, as a share of this gateway's, above which
	// closing connections would only move the overload.
	peerLagRatio = 0.5
	// UpdateInterval is the time between two updates. shareUp and shareDown change the share of closed
	// connections in each: it reaches maxShare within 2 s, and ends within 4 s.
	UpdateInterval = 200 * time.Millisecond
	shareUp        = 0.1
	shareDown      = 0.05
	maxShare       = 0.9
	// maxClosedTime is the time after which a connection is kept in any case: the balancer hands
	// connections only to gateways that take them.
	maxClosedTime = 500 * time.Millisecond
)

// Shedder decides which new connections are closed unread. It is safe for concurrent use.
type Shedder struct {
	mu    sync.Mutex
	share float64
	// debt is the share of a connection that remains to be closed. kept is when the last connection was
	// kept.
	debt float64
	kept time.Time
}

// Update adjusts the share of closed connections to this gateway's lag and to those of the other gateways
// of its failure domain, and reports whether closing began or ended.
func (s *Shedder) Update(own float64, peers []float64) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.share
	switch {
	case own >= overloadLag && len(peers) > 0 && median(peers) <= peerLagRatio*own:
		s.share = min(maxShare, s.share+shareUp)
	case own < calmLag || len(peers) == 0 || median(peers) > peerLagRatio*own:
		s.share = max(0, s.share-shareDown)
	}
	return (before == 0) != (s.share == 0)
}

// Share returns the share of new connections that are closed.
func (s *Shedder) Share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.share
}

// Close reports whether a new connection is to be closed.
func (s *Shedder) Close(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.share == 0 || now.Sub(s.kept) >= maxClosedTime {
		s.kept, s.debt = now, 0
		return false
	}
	if s.debt += s.share; s.debt < 1 {
		s.kept = now
		return false
	}
	s.debt--
	return true
}

// median returns the median of a list that is not empty.
func median(list []float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}
