package trace

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ringShards is the number of rings that a log spreads its events over, by
// request, so that writers seldom meet at a lock.
const ringShards = 16

// Log is the bounded record of one process's events.
type Log struct {
	// Clock rides on the process's messages.
	Clock Clock

	process string
	born    time.Time
	rings   [ringShards]ring
}

// ring keeps the newest events of one shard.
type ring struct {
	mu     sync.Mutex
	events []Event
	next   int
}

// NewLog keeps the newest size events of a process.
func NewLog(process string, size int) *Log {
	l := &Log{process: process, born: time.Now()}
	for i := range l.rings {
		l.rings[i].events = make([]Event, 0, max(1, size/ringShards))
	}
	return l
}

// Add records an event; Clock, Wall, Mono and Process are filled in.
func (l *Log) Add(e Event) {
	e.Clock = l.Clock.Next()
	e.Wall = time.Now()
	e.Mono = time.Since(l.born).Microseconds()
	e.Process = l.process
	l.rings[xxhash.Sum64String(e.Request)%ringShards].add(e)
}

func (r *ring) add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Filter says which events are wanted; empty fields let all pass.
type Filter struct {
	Request  string
	Instance string
	Since    time.Time
}

func (f Filter) passes(e *Event) bool {
	if f.Request != "" && e.Request != f.Request {
		return false
	}
	if f.Instance != "" && e.Instance != f.Instance && e.Process != f.Instance {
		return false
	}
	return f.Since.IsZero() || !e.Wall.Before(f.Since)
}

// Events returns the kept events that pass the filter, in causal order.
func (l *Log) Events(f Filter) []Event {
	var out []Event
	for i := range l.rings {
		out = l.rings[i].collect(out, f)
	}
	Sort(out)
	return out
}

func (r *ring) collect(out []Event, f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.events {
		if f.passes(&r.events[i]) {
			out = append(out, r.events[i])
		}
	}
	return out
}
