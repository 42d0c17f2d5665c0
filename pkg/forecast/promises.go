package forecast

import (
	"slices"
	"sync"
	"time"
)

// promiseMemory is how long promises are kept after their slot: a client needs some time to connect,
// and the clocks by which slots are counted differ by up to one slot.
const promiseMemory = 2 * SlotLength

// Report is the promises of one gateway by slots, the first of which begins at Since.
type Report struct {
	Since  time.Time
	Counts []int
}

// Promises counts the clients that were told to come back, by slots of time, for this gateway and
// others. It is safe for concurrent use.
type Promises struct {
	mu sync.Mutex
	// base is the begin of slot 0. Slots are counted from it, so that they follow the monotonic
	// clock of the times passed.
	base time.Time
	own  map[int64]int
	// others is the latest report of each other gateway.
	others map[string]Report
	// last is the end of the latest slot in which a promise of any gateway falls.
	last time.Time
}

// NewPromises returns a table without promises.
func NewPromises() *Promises { return &Promises{own: map[int64]int{}, others: map[string]Report{}} }

// slotNumber returns the number of the slot that contains a time. The caller holds the lock.
func (p *Promises) slotNumber(at time.Time) int64 {
	if p.base.IsZero() {
		p.base = at
	}
	after := at.Sub(p.base)
	n := int64(after / SlotLength)
	if after%SlotLength < 0 {
		n--
	}
	return n
}

// slotStart returns when a slot begins. The caller holds the lock.
func (p *Promises) slotStart(n int64) time.Time { return p.base.Add(time.Duration(n) * SlotLength) }

// Add records that a client was told to come back at a time.
func (p *Promises) Add(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own[p.slotNumber(at)]++
	p.extend(at)
}

// extend moves the end of all promises. The caller holds the lock.
func (p *Promises) extend(at time.Time) {
	if end := p.slotStart(p.slotNumber(at) + 1); end.After(p.last) {
		p.last = end
	}
}

// Own returns this gateway's promises that are not past, for a report to other gateways. Slots beyond
// twice the horizon are left out; a later report has them.
func (p *Promises) Own(now time.Time) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.slotNumber(now)
	var counts []int
	for n, count := range p.own {
		if n < first {
			delete(p.own, n)
			continue
		}
		if n-first >= 2*Slots {
			continue
		}
		for int64(len(counts)) <= n-first {
			counts = append(counts, 0)
		}
		counts[n-first] = count
	}
	return Report{Since: p.slotStart(first), Counts: counts}
}

// Receive replaces the promises of another gateway. An empty report says nothing, since other builds
// don't report promises; earlier promises lapse with their slots. Slots beyond twice the horizon are ignored.
func (p *Promises) Receive(gateway string, r Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(r.Counts) == 0 {
		return
	}
	r.Counts = slices.Clone(r.Counts[:min(len(r.Counts), 2*Slots)])
	p.others[gateway] = r
	for i, n := range r.Counts {
		at := r.Since.Add(time.Duration(i) * SlotLength)
		if n > 0 && at.Before(now.Add(2*Horizon)) {
			p.extend(at)
		}
	}
}

// Drop removes the promises of a gateway that no longer sends reports. Its clients come back
// nevertheless, but their places are no longer kept.
func (p *Promises) Drop(gateway string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.others, gateway)
}

// Expected reports whether a promised return of any gateway may arrive now or later.
func (p *Promises) Expected(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.last.Add(promiseMemory))
}

// Due returns the promised returns of all gateways by slots from now. A part of the current slot is
// past already, and with it the same part of its promises.
func (p *Promises) Due(now time.Time) [Slots]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out [Slots]float64
	add := func(begin time.Time, count int) {
		from, to := begin.Sub(now), begin.Add(SlotLength).Sub(now)
		for k := max(0, slotOf(from)); k < Slots && time.Duration(k)*SlotLength < to; k++ {
			low, high := time.Duration(k)*SlotLength, time.Duration(k+1)*SlotLength
			if share := min(high, to) - max(low, from); share > 0 {
				out[k] += float64(count) * float64(share) / float64(SlotLength)
			}
		}
	}
	for n, count := range p.own {
		add(p.slotStart(n), count)
	}
	for _, r := range p.others {
		for i, count := range r.Counts {
			add(r.Since.Add(time.Duration(i)*SlotLength), count)
		}
	}
	return out
}
