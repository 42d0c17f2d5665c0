package ingressdemo

import (
	"sync"
	"time"
)

// result classifies how a request ended for its client.
type result int

// The results of a request.
const (
	inTime result = iota
	// late requests got their first byte after the target time, or were refused at least
	// once before they were served.
	late
	// refused requests were refused at least once with 429 or 503, and received no part of
	// a response in any attempt.
	refused
	// lost requests are the others that received no complete response.
	lost
	results
)

// recentWindow is the period over which the recent counts are taken.
const recentWindow = 10 * time.Second

// endedRequest is a request that has ended.
type endedRequest struct {
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
	mu     sync.Mutex
	all    counts
	recent []endedRequest
}

func (t *tally) add(at time.Time, r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all[r]++
	t.recent = append(t.recent, endedRequest{at, r})
	t.evict(at)
}

// evict drops the requests that ended before recentWindow. The caller holds t.mu.
func (t *tally) evict(now time.Time) {
	old := 0
	for old < len(t.recent) && now.Sub(t.recent[old].at) > recentWindow {
		old++
	}
	t.recent = t.recent[old:]
}

// read returns the counts since the start and those within recentWindow.
func (t *tally) read(now time.Time) (all, recent counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	for _, e := range t.recent {
		recent[e.result]++
	}
	return t.all, recent
}
