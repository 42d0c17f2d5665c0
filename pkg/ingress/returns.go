package ingress

import (
	"slices"
	"time"
)

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
	// keptTimeouts is the number of timeouts of new requests that are kept per route. The shortest
	// outlierShare of them are ignored: some clients retry without having been refused, for example
	// after a lost connection.
	keptTimeouts = 64
	outlierShare = 1.0 / 16
	// spreadMargin is the distance from the shortest timeout that counts to that of a retry, as a
	// share of the range of timeouts. A few samples don't show the whole range.
	spreadMargin = 1.0 / 8
)

// returnDetector recognizes the clients of a route that were refused before and retry, by their
// timeouts: a retry has a shorter timeout than a new request. It knows the timeouts of new requests
// in two ways. If most requests have about the longest timeout, all clients use the same one.
// Otherwise clients use a range of timeouts, which the requests show that arrive while no gateway
// refuses any.
type returnDetector struct {
	// longest is the longest timeout observed; it never decreases.
	longest time.Duration
	// seen is the number of requests observed. longestShare is the share of the latest requests
	// whose timeout is about the longest.
	seen         int
	longestShare float64
	// fresh is the latest timeouts of new requests and next the index of the one replaced next.
	// shortest is the timeout below which a request counts as a retry; 0 if it isn't known.
	fresh    []time.Duration
	next     int
	shortest time.Duration
}

// observe records the timeout of a request, and reports whether its client is retrying. retries
// says that clients refused earlier may be retrying now.
func (r *returnDetector) observe(timeout time.Duration, retries bool) bool {
	r.longest = max(r.longest, timeout)
	less := timeout < r.longest-returnMargin
	long := 1.0
	if less {
		long = 0
	}
	r.seen++
	r.longestShare += (long - r.longestShare) / float64(min(r.seen, averagedRequests))
	if !retries {
		r.learn(timeout)
	}
	return less && r.seen >= minObserved && r.longestShare >= minLongestShare || retries && timeout < r.shortest
}

// learn records the timeout of a new request.
func (r *returnDetector) learn(timeout time.Duration) {
	if len(r.fresh) < keptTimeouts {
		r.fresh = append(r.fresh, timeout)
	} else {
		r.fresh[r.next] = timeout
		r.next = (r.next + 1) % keptTimeouts
	}
	if len(r.fresh) < minObserved {
		return
	}
	sorted := slices.Sorted(slices.Values(r.fresh))
	least, longest := sorted[int(outlierShare*float64(len(sorted)))], sorted[len(sorted)-1]
	r.shortest = least - returnMargin - time.Duration(spreadMargin*float64(longest-least))
}

// returning records the timeout of a request on a route, and reports whether its client is
// retrying.
func (g *Ingress) returning(route, service string, timeout time.Duration, now time.Time) bool {
	expected := g.planner(service).Promises.Expected(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.returnDetectors[route]
	if r == nil {
		r = &returnDetector{}
		g.returnDetectors[route] = r
	}
	return r.observe(timeout, expected)
}
