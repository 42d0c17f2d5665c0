package notice

import "time"

const (
	// firstWindow is how many requests a runner gets at once from this gateway after a pause. Each
	// that it takes doubles the number, until it is over lastWindow and there is no bound any more.
	firstWindow = 1
	lastWindow  = 16
	// unsentFor bounds how long a place in the window is kept for a request that doesn't give it up.
	unsentFor = 5 * time.Second
	// answerTime is about how long a runner takes to answer one of the first requests after a pause.
	answerTime = 10 * time.Millisecond
	// startFor bounds the slow start of a runner that gets no requests.
	startFor = time.Minute
)

// pause is one that a runner asked for, and the slow start after it.
type pause struct {
	since, until time.Time
	asked        int
	// ended is set once Changed was told.
	ended bool
	// window bounds the requests at once after the pause, claims are those, by request.
	window int
	claims map[string]time.Time
}

func newPause(now time.Time) *pause {
	return &pause{since: now, until: now, window: firstWindow, claims: map[string]time.Time{}}
}

// extend records an answer that asks for a pause. The latest end holds.
func (p *pause) extend(length time.Duration, now time.Time) {
	p.asked++
	if until := now.Add(length); until.After(p.until) {
		p.until = until
	}
	p.window = firstWindow
}

func (p *pause) active(now time.Time) bool { return now.Before(p.until) }

// room reports whether the runner may get one more request now.
func (p *pause) room(now time.Time) bool {
	if p.active(now) {
		return false
	}
	open := 0
	for _, at := range p.claims {
		if now.Sub(at) < unsentFor {
			open++
		}
	}
	return open < p.window
}

// accepted records that the runner took work that was sent at a time, and reports whether the slow
// start is over.
func (p *pause) accepted(sent time.Time) bool {
	if sent.Before(p.until) {
		return false
	}
	p.window *= 2
	return p.window > lastWindow
}
