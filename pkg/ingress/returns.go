package ingress

import "time"

const (
	// returnMargin is how much less time than others a client has that has tried before:
	// less than the shortest time after which clients come back.
	returnMargin = 150 * time.Millisecond
	// minLongestShare is the part of a route's requests that must have the longest time for the
	// others to be taken for returning ones. Where clients' times differ by themselves few
	// have the longest; where they are alike, even in an overload most are new.
	minLongestShare = 0.5
	// averagedRequests is over how many requests, about, a route's clients are looked at, and
	// minObserved how many are needed to say anything: of 31 gateways each sees one request a
	// second on a route.
	averagedRequests = 200
	minObserved      = 8
)

// returns learns from the times that a route's clients are ready to wait whether a client with
// less has been refused before.
type returnDetector struct {
	longest time.Duration
	// seen is how many requests there were, common the part of the latest with about the
	// longest time.
	seen         int
	longestShare float64
}

// observe learns of a request, and reports whether its client returns.
func (r *returnDetector) observe(patience time.Duration) bool {
	r.longest = max(r.longest, patience)
	less := patience < r.longest-returnMargin
	long := 1.0
	if less {
		long = 0
	}
	r.seen++
	r.longestShare += (long - r.longestShare) / float64(min(r.seen, averagedRequests))
	return less && r.seen >= minObserved && r.longestShare >= minLongestShare
}

// returning reports whether a client of a route, which is ready to wait for a time, has tried
// before.
func (g *Ingress) returning(route string, patience time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.returnDetectors[route]
	if r == nil {
		r = &returnDetector{}
		g.returnDetectors[route] = r
	}
	return r.observe(patience)
}
