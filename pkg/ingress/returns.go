package ingress

import "time"

const (
	// returnMargin is the smallest difference in timeouts by which a retry is recognized. It is
	// less than the shortest time after which clients retry.
	returnMargin = 150 * time.Millisecond
	// minLongestShare is the share of a route's requests that must have the longest timeout, before
	// those with a shorter one are taken for retries. If timeouts differ for other reasons, few
	// requests have the longest one. If all clients use the same one, most requests are new even in
	// an overload.
	minLongestShare = 0.5
	// averagedRequests is the approximate number of requests of a route over which the share is
	// averaged. minObserved is the number needed for a decision. It is small, since each of 31
	// gateways receives only one request per second on a route.
	averagedRequests = 200
	minObserved      = 8
)

// returnDetector recognizes the clients of a route that were refused before and retry, by their
// timeouts: a retry has a shorter timeout than a new request.
type returnDetector struct {
	// longest is the longest timeout observed; it never decreases.
	longest time.Duration
	// seen is the number of requests observed. longestShare is the share of the latest requests
	// whose timeout is about the longest.
	seen         int
	longestShare float64
}

// observe records the timeout of a request, and reports whether its client is retrying.
func (r *returnDetector) observe(timeout time.Duration) bool {
	r.longest = max(r.longest, timeout)
	less := timeout < r.longest-returnMargin
	long := 1.0
	if less {
		long = 0
	}
	r.seen++
	r.longestShare += (long - r.longestShare) / float64(min(r.seen, averagedRequests))
	return less && r.seen >= minObserved && r.longestShare >= minLongestShare
}

// returning records the timeout of a request on a route, and reports whether its client is
// retrying.
func (g *Ingress) returning(route string, timeout time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.returnDetectors[route]
	if r == nil {
		r = &returnDetector{}
		g.returnDetectors[route] = r
	}
	return r.observe(timeout)
}
