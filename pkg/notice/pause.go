package notice

import "time"

const (
	// initialWindow is the number of concurrent requests that this gateway may send to a runner after a
	// pause. The bound is lifted when the window exceeds maxWindow.
	initialWindow = 1
	maxWindow     = 16
	// If the runner asks for another pause in the slow start while n requests are open, the window of the
	// next slow start doubles up to thresholdFactor*n.
	thresholdFactor = 0.5
	// claimTimeout bounds how long a request that doesn't release its place in the window keeps it.
	claimTimeout = 5 * time.Second
	// responseTime is about how long a runner takes to respond to one of the first requests after a pause.
	responseTime = 10 * time.Millisecond
	// slowStartTimeout bounds the slow start of a runner that gets no requests.
	slowStartTimeout = time.Minute
)

// pause is a pause that a runner asked for, and the slow start after it.
type pause struct {
	// since and until are the begin and end of the pause. lastAsked is when the runner last asked for it,
	// asked the number of responses that did.
	since, until, lastAsked time.Time
	asked                   int
	// endReported is set once the end of the pause was reported to Table.Changed.
	endReported bool
	// window bounds the concurrent requests after the pause, claims holds the time of each request's claim by
	// request ID. Each accepted request adds 1 to the window up to threshold, and 1/window beyond it. Per
	// response time, the window therefore doubles up to threshold and grows by one beyond it.
	window, threshold float64
	claims            map[string]time.Time
}

func newPause(now time.Time) *pause {
	return &pause{since: now, until: now, window: initialWindow, threshold: maxWindow, claims: map[string]time.Time{}}
}

// extend records a response that asks for a pause. The latest end applies.
func (p *pause) extend(length time.Duration, now time.Time) {
	p.asked, p.lastAsked = p.asked+1, now
	if until := now.Add(length); until.After(p.until) {
		p.until = until
	}
}

// inherit takes over the claims and threshold of the previous pause. If requests were open, the threshold is
// derived from their number, which was too high for the runner.
func (p *pause) inherit(before *pause) {
	p.claims, p.threshold = before.claims, before.threshold
	if len(p.claims) > 0 {
		p.threshold = max(initialWindow, thresholdFactor*float64(len(p.claims)))
	}
}

func (p *pause) active(now time.Time) bool { return now.Before(p.until) }

// room reports whether the runner may get one more request now.
func (p *pause) room(now time.Time) bool {
	if p.active(now) {
		return false
	}
	open := 0
	for _, at := range p.claims {
		if now.Sub(at) < claimTimeout {
			open++
		}
	}
	return float64(open) < p.window
}

// accepted records that the runner accepted work sent at the given time, and reports whether the slow start
// is over.
func (p *pause) accepted(sent time.Time) bool {
	if sent.Before(p.until) {
		return false
	}
	if p.window < p.threshold {
		p.window++
	} else {
		p.window += 1 / p.window
	}
	return p.window > maxWindow
}
