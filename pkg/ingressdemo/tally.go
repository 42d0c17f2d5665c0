package ingressdemo

import (
	"sync"
	"time"
)

// result is how a request ended for its client.
type result int

// The results.
const (
	inTime result = iota
	// late answers came after the promised time, or after a refusal.
	late
	// refused requests were never run.
	refused
	// lost requests got no whole answer.
	lost
	results
)

// recent is how far back the tally looks for the present state.
const recent = 10 * time.Second

// ended is one request that has ended.
type ended struct {
	at     time.Time
	result result
}

// counts are requests by result.
type counts [results]int

func (c counts) sum() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// tally counts how requests end.
type tally struct {
	mu   sync.Mutex
	all  counts
	last []ended
}

func (t *tally) add(at time.Time, r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all[r]++
	t.last = append(t.last, ended{at, r})
	t.forget(at)
}

// forget drops what is not recent. The caller holds the lock.
func (t *tally) forget(now time.Time) {
	old := 0
	for old < len(t.last) && now.Sub(t.last[old].at) > recent {
		old++
	}
	t.last = t.last[old:]
}

// read returns the counts since the start, and of late.
func (t *tally) read(now time.Time) (all, lately counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	for _, e := range t.last {
		lately[e.result]++
	}
	return t.all, lately
}
