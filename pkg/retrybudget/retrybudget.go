// Package retrybudget limits the extra sends of requests to a second runner, over all gateways
// together. Each window allows a share of the requests plus a slack. A gateway uses the share of
// its own requests and its part of the slack.
package retrybudget

import (
	"sync"
	"time"
)

// Limits are the limits that all gateways share.
type Limits struct {
	// Share is the number of extra sends allowed per request.
	Share float64
	// Slack is the number of further extra sends allowed per window, over all gateways.
	Slack float64
	// Window is the length of a window.
	Window time.Duration
}

// safetyShare is the share of the limits that is used, since the windows of the gateways and those
// in which an observer checks the limits begin at different times.
const safetyShare = 0.8

// startSlackShare is the share of the slack that a process uses in its first window. What its
// predecessor spent in that window is not known. With safetyShare, both together stay within the
// slack: (1 + 0.25) * 0.8 = 1.
const startSlackShare = 0.25

// buckets is the number of buckets into which a window is divided. One more is kept, so that the
// buckets always cover a whole window.
const buckets = 10

// Budget counts the requests and extra sends of one service at one gateway.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	gateways int
	requests [buckets + 1]float64
	extras   [buckets + 1]float64
	// at is the number of the current bucket, counted from start.
	at    int64
	start time.Time
	// created is when the budget was created. aged is set one window later.
	created time.Time
	aged    bool
}

// New returns a budget whose slack is divided among the given number of gateways.
func New(l Limits, gateways int) *Budget { return newAt(l, gateways, time.Now()) }

func newAt(l Limits, gateways int, now time.Time) *Budget {
	return &Budget{limits: l, gateways: max(1, gateways), start: now, created: now}
}

// SetGateways sets the number of gateways among which the slack is divided.
func (b *Budget) SetGateways(gateways int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = max(1, gateways)
}

// SetLimits changes the limits. The counts are kept, unless the length of the window changes, which
// restarts them.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		b.requests, b.extras = [buckets + 1]float64{}, [buckets + 1]float64{}
		b.at, b.start = 0, time.Now()
	}
	b.limits = l
}

// updateAged sets aged once a whole window has passed since the budget was created. The caller must
// hold mu.
func (b *Budget) updateAged(now time.Time) { b.aged = b.aged || now.Sub(b.created) > b.limits.Window }

// Request counts a new request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.bucket(now)]++
}

// Spend takes one extra send from the budget. It returns false if none is left.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.bucket(now)
	if sum(b.extras[:])+1 > b.allowed() {
		return false
	}
	b.extras[i]++
	return true
}

// Charge counts an extra send that was already made, even if none is left.
func (b *Budget) Charge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extras[b.bucket(now)]++
}

// Left returns the number of extra sends left, which is negative after a charge beyond the limit.
func (b *Budget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now)
	return b.allowed() - sum(b.extras[:])
}

// allowed returns the extra sends allowed in the current window, including those already made. The
// caller must hold mu.
func (b *Budget) allowed() float64 {
	slack := b.limits.Slack / float64(b.gateways)
	if !b.aged {
		slack *= startSlackShare
	}
	return safetyShare * (b.limits.Share*sum(b.requests[:]) + slack)
}

// bucket returns the index of the current bucket and clears the buckets that have expired.
func (b *Budget) bucket(now time.Time) int {
	b.updateAged(now)
	width := b.limits.Window / buckets
	at := int64(now.Sub(b.start) / max(width, 1))
	for ; b.at < at; b.at++ {
		next := int((b.at + 1) % (buckets + 1))
		b.requests[next], b.extras[next] = 0, 0
		if at-b.at > buckets+1 {
			b.at = at - buckets - 2
		}
	}
	return int(b.at % (buckets + 1))
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}
