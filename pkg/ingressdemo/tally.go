package ingressdemo

import (
	"sync"
	"time"
)

// result classifies how a request ended for its client.
type result int

// The results.
const (
	inTime result = iota
	// late requests got their first byte after the target time, or were refused at least
	// once before they were served.
	late
	// refused requests were refused and received no part of a response.
	refused
	// lost requests received no complete response.
	lost
	results
)

// recentWindow is the period over which the recent counts are taken.
const recentWindow = 10 * time.Second

// ended is one request that has ended.
type ended struct {
	at     time.Time
	result result
}

// counts holds the number of requests for each result.
type counts [results]int

func (c counts) sum() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// tally counts requests by result, since the start and within recentWindow.
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
	t.evict(at)
}

// evict drops the requests that ended before recentWindow. The caller holds t.mu.
func (t *tally) evict(now time.Time) {
	old := 0
	for old < len(t.last) && now.Sub(t.last[old].at) > recentWindow {
		old++
	}
	t.last = t.last[old:]
}

// read returns the counts since the start and those within recentWindow.
func (t *tally) read(now time.Time) (all, lately counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	for _, e := range t.last {
		lately[e.result]++
	}
	return t.all, lately
}
