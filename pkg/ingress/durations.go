package ingress

import (
	"maps"
	"sync"
	"time"
)

// durationWindow is the time for which a duration is remembered at least. It is forgotten after twice that time.
const durationWindow = 30 * time.Second

// routeDurations remembers by route how long runners lately took for whole responses.
type routeDurations struct {
	mu     sync.Mutex
	routes map[string]*longestDuration
}

// longestDuration is the longest duration in two successive windows.
type longestDuration struct {
	began         time.Time
	current, last time.Duration
}

// advance begins a new window if the current one is over.
func (l *longestDuration) advance(now time.Time) {
	switch age := now.Sub(l.began); {
	case age >= 2*durationWindow:
		l.began, l.last, l.current = now, 0, 0
	case age >= durationWindow:
		l.began, l.last, l.current = l.began.Add(durationWindow), l.current, 0
	}
}

// observe records how long a runner took for a whole response.
func (d *routeDurations) observe(route string, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.routes[route]
	if l == nil {
		if d.routes == nil {
			d.routes = map[string]*longestDuration{}
		}
		d.forget(now)
		l = &longestDuration{began: now}
		d.routes[route] = l
	}
	l.advance(now)
	l.current = max(l.current, took)
}

// forget removes routes without recent durations.
func (d *routeDurations) forget(now time.Time) {
	maps.DeleteFunc(d.routes, func(_ string, l *longestDuration) bool { return now.Sub(l.began) >= 2*durationWindow })
}

// longest returns the longest recent duration of a route; 0 if there was none.
func (d *routeDurations) longest(route string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.routes[route]
	if l == nil {
		return 0
	}
	l.advance(now)
	return max(l.current, l.last)
}
