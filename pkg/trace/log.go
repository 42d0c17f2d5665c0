package trace

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ringShards is the number of ring buffers of a log. Events are spread over them by
// request ID to reduce lock contention between writers.
const ringShards = 16

// Log keeps the newest events of one process.
type Log struct {
	// Clock is the logical clock that the process sends with its messages.
	Clock Clock

	process string
	started time.Time
	rings   [ringShards]ring
}

// ring is the ring buffer of one shard.
type ring struct {
	mu     sync.Mutex
	events []Event
	next   int
}

// NewLog returns a log of a process with room for about size events, in equal parts
// for each shard.
func NewLog(process string, size int) *Log {
	l := &Log{process: process, started: time.Now()}
	for i := range l.rings {
		l.rings[i].events = make([]Event, 0, max(1, size/ringShards))
	}
	return l
}

// Add records an event and fills in its Clock, Wall, Mono and Process.
func (l *Log) Add(e Event) {
	e.Clock = l.Clock.Next()
	e.Wall = time.Now()
	e.Mono = time.Since(l.started).Microseconds()
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

// Filter selects events; an empty field matches all of them. Instance matches the
// instance that an event is about or the one that recorded it.
type Filter struct {
	Request  string
	Instance string
	Since    time.Time
}

func (f Filter) matches(e *Event) bool {
	if f.Request != "" && e.Request != f.Request {
		return false
	}
	if f.Instance != "" && e.Instance != f.Instance && e.Process != f.Instance {
		return false
	}
	return f.Since.IsZero() || !e.Wall.Before(f.Since)
}

// Events returns the stored events that match the filter, in causal order.
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
		if f.matches(&r.events[i]) {
			out = append(out, r.events[i])
		}
	}
	return out
}
