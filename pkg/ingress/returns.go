package ingress

import "time"

const (
	// returnMargin is how much less time than others a client has that has tried before:
	// less than the shortest time after which clients come back.
	returnMargin = 150 * time.Millisecond
	// commonPart is the part of a route's requests that must have the longest time for the
	// others to be taken for returning ones. Where clients' times differ by themselves few
	// have the longest; where they are alike, even in an overload most are new.
	commonPart = 0.5
	// returnsMemory is over how many requests, about, a route's clients are looked at, and
	// leastSeen how many are needed to say anything: of 31 gateways each sees one request a
	// second on a route.
	returnsMemory = 200
	leastSeen     = 8
)

// returns learns from the times that a route's clients are ready to wait whether a client with
// less has been refused before.
type returns struct {
	longest time.Duration
	// seen is how many requests there were, common the part of the latest with about the
	// longest time.
	seen   int
	common float64
}

// observe learns of a request, and reports whether its client returns.
func (r *returns) observe(patience time.Duration) bool {
	r.longest = max(r.longest, patience)
	less := patience < r.longest-returnMargin
	long := 1.0
	if less {
		long = 0
	}
	r.seen++
	r.common += (long - r.common) / float64(min(r.seen, returnsMemory))
	return less && r.seen >= leastSeen && r.common >= commonPart
}

// returning reports whether a client of a route, which is ready to wait for a time, has tried
// before.
func (g *Ingress) returning(route string, patience time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.returns[route]
	if r == nil {
		r = &returns{}
		g.returns[route] = r
	}
	return r.observe(patience)
}
