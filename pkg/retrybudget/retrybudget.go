// Package retrybudget bounds the requests that go to a second runner, over all
// gateways together: in each window, a share of the requests and a slack. Each
// gateway spends what its own requests earn and its part of the slack.
package retrybudget

import (
	"sync"
	"time"
)

// Limits are the bounds that all gateways share.
type Limits struct {
	// Share is how many extra sends each request allows.
	Share float64
	// Slack is how many more are allowed in a window, by all gateways.
	Slack float64
	// Window is the length of a window.
	Window time.Duration
}

// safetyShare is the part of the limits that is used: windows of the gateways and of
// the judge begin at different times.
const safetyShare = 0.8

// startSlackShare is the part of the slack that a process uses in its first window: what an earlier one
// spent in that window is not known, and with safetyShare both stay below the whole.
const startSlackShare = 0.25

// buckets is how many parts a window is counted in.
const buckets = 10

// Budget counts one service's requests and extra sends at one gateway.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	gateways int
	requests [buckets + 1]float64
	extras   [buckets + 1]float64
	at       int64
	start    time.Time
	// began is when the process did, aged is set a window later.
	created time.Time
	aged    bool
}

// New returns a budget that is shared by a number of gateways.
func New(l Limits, gateways int) *Budget { return newAt(l, gateways, time.Now()) }

func newAt(l Limits, gateways int, now time.Time) *Budget {
	return &Budget{limits: l, gateways: max(1, gateways), start: now, created: now}
}

// Share sets by how many gateways the slack is shared.
func (b *Budget) SetGateways(gateways int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = max(1, gateways)
}

// Limit changes the limits. What was counted stays; with a window of another
// length it is counted anew from now.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		b.requests, b.extras = [buckets + 1]float64{}, [buckets + 1]float64{}
		b.at, b.start = 0, time.Now()
	}
	b.limits = l
}

// age notes that a whole window has passed since the process began. The caller holds the lock.
func (b *Budget) updateAged(now time.Time) { b.aged = b.aged || now.Sub(b.created) > b.limits.Window }

// Request records a new request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.bucket(now)]++
}

// Spend takes one extra send, or reports that none is left.
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

// Charge records an extra send that was made already, whether any is left or not.
func (b *Budget) Charge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extras[b.bucket(now)]++
}

// Left returns how many extra sends are left.
func (b *Budget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now)
	return b.allowed() - sum(b.extras[:])
}

func (b *Budget) allowed() float64 {
	slack := b.limits.Slack / float64(b.gateways)
	if !b.aged {
		slack *= startSlackShare
	}
	return safetyShare * (b.limits.Share*sum(b.requests[:]) + slack)
}

// bucket returns the current bucket and empties those that time has passed.
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
