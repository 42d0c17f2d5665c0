package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// A request is quarantined once the weights of the runners at which its attempts broke off sum
	// to quarantineWeight. A runner counts earlyWeight if an attempt broke off before any part of
	// its response arrived, otherwise lateWeight: three runners with early breaks suffice, or five
	// with late breaks. A request that crashes an engine as it begins also breaks harmless streams
	// at the same engine, after their first event: 20 crashes broke 63 such streams, one of them
	// twice. Requiring five late breaks lets two more engines crash than requiring three would. But
	// a harmless stream that its client resumes makes four attempts over all its tries, so it may
	// break four times, and must not be quarantined for that.
	earlyWeight      = 5
	lateWeight       = 3
	quarantineWeight = 15
	// simultaneousWindow is the time within which breaks at different runners count as one. A rack
	// that loses power breaks, at several runners at once, a request that many clients send. The
	// connections of a crashed runner close within a few milliseconds; the next try of the same
	// client comes later.
	simultaneousWindow = 50 * time.Millisecond
	// Duration is how long a quarantine lasts, and the time for which a break counts. It equals the
	// longest lease that the platform's store grants.
	Duration = 10 * time.Minute
	// maxSuspects limits the requests in the table, at about 200 bytes each. A runner crash adds
	// some tens of requests.
	maxSuspects = 4096
	// maxBreaks limits the breaks, one per runner, that are kept for one request.
	maxBreaks = 8
	// publishDelay is the time that a gateway waits for a quarantine that it received from a peer
	// to appear in the store. After that it writes the quarantine itself, since the peer may have
	// stopped. The delay doubles with each write, up to maxPublishDelay, because writes fail
	// repeatedly during an outage of the store. The writes end when the store shows the quarantine.
	publishDelay    = 2 * time.Second
	maxPublishDelay = 30 * time.Second
)

// ErrQuarantined reports that a request was refused because it crashed runners before.
type ErrQuarantined struct {
	Digest Digest
	// Left is the remaining time of the quarantine.
	Left time.Duration
}

// Error implements error.
func (e *ErrQuarantined) Error() string {
	return fmt.Sprintf("quarantined, since it broke off at several runners: asked=%s left=%s", e.Digest, e.Left)
}

// Break records that attempts at a request broke off at one runner.
type Break struct {
	// Runner identifies one incarnation of a runner. Breaks of the same incarnation count once:
	// a runner that resets connections and continues to run has not crashed, however often it
	// does so.
	Runner uint64
	// Early reports whether at least one attempt broke off before any part of its response arrived.
	Early bool
	// At is the time at which the first attempt broke off.
	At time.Time
}

// Report is the state of a request that gateways send to each other.
type Report struct {
	Digest Digest
	Breaks []Break
	// Left is the remaining time of the quarantine, 0 if the request is not quarantined.
	Left time.Duration
}

// suspect is a request that may crash runners: attempts at it broke off.
type suspect struct {
	term
	breaks []Break
	// lastSuccess is when an attempt last completed. Breaks before that time are not counted
	// against the request.
	lastSuccess time.Time
}

// Table holds the suspects that one gateway knows of. It is safe for concurrent use.
type Table struct {
	// jitter randomizes a delay, so that gateways that receive a report at the same time do not
	// write to the store at the same time.
	jitter func(time.Duration) time.Duration
	// size is the length of suspects. Empty reads it without taking the lock.
	size     atomic.Int64
	mu       sync.Mutex
	suspects map[Digest]*suspect
}

// New returns an empty table.
func New(jitter func(time.Duration) time.Duration) *Table {
	return &Table{jitter: jitter, suspects: map[Digest]*suspect{}}
}

// Empty reports whether the table has no suspects.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// RecordBreak records an attempt of this gateway that broke off, and returns the report for the other
// gateways. quarantined reports whether this break started a quarantine.
func (t *Table) RecordBreak(d Digest, b Break) (r Report, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrAdd(d, b.At)
	s.add(b)
	quarantined = s.evaluate(b.At, b.At)
	return s.report(d, b.At), quarantined
}

// Receive merges a report of another gateway. It reports whether this started a quarantine.
func (t *Table) Receive(r Report, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrAdd(r.Digest, now)
	for _, b := range r.Breaks {
		s.add(b)
	}
	if r.Left > 0 && s.over(now) {
		s.start(now.Add(min(r.Left, Duration)), now.Add(t.jitter(publishDelay)))
		return true
	}
	return s.evaluate(now, now.Add(t.jitter(publishDelay)))
}

// RecordPublished records that a quarantine is in the store. It reports whether the quarantine is new
// to this gateway.
func (t *Table) RecordPublished(d Digest, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrAdd(d, now)
	return s.recordRead(now)
}

// RecordRemoved records that a quarantine is no longer in the store. If its exact end is known, the store
// may have lost it in an outage, and it is scheduled to be written again until that end. A
// quarantine that was only read from the store ends.
func (t *Table) RecordRemoved(d Digest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[d]
	if s == nil || !s.published {
		return
	}
	if s.published = false; !s.endKnown {
		t.remove(d)
		return
	}
	s.publishAt = now.Add(t.jitter(publishDelay))
}

// Republish schedules all published quarantines to be written to the store again.
func (t *Table) Republish(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		if s.published {
			s.rewrite(now.Add(t.jitter(publishDelay)))
		}
	}
}

// Check returns *ErrQuarantined if the request is quarantined.
func (t *Table) Check(d Digest, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[d]
	if s == nil || s.over(now) {
		return nil
	}
	return &ErrQuarantined{Digest: d, Left: s.until.Sub(now)}
}

// RecordCompleted records that an attempt at a request completed. The request did not cause earlier
// breaks, so they are discarded. A request that is already quarantined remains quarantined.
func (t *Table) RecordCompleted(d Digest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[d]; s != nil && s.over(now) {
		s.breaks, s.lastSuccess = nil, now
	}
}

// DueForPublish returns the quarantines that are due to be written to the store, each with its
// remaining time. A quarantine is returned again after a backoff until RecordPublished is called for it.
func (t *Table) DueForPublish(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for d, s := range t.suspects {
		if s.due(now, t.jitter) {
			out = append(out, Report{Digest: d, Left: s.until.Sub(now)})
		}
	}
	return out
}

// Sweep removes breaks that are older than Duration, and suspects that are not quarantined and had
// neither a break nor a success within Duration.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for d, s := range t.suspects {
		if s.prune(now); s.over(now) && len(s.breaks) == 0 && now.Sub(s.lastSuccess) > Duration {
			t.remove(d)
		}
	}
}

// Quarantined returns the number of quarantined requests.
func (t *Table) Quarantined(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.suspects {
		if !s.over(now) {
			n++
		}
	}
	return n
}

// getOrAdd returns the suspect with this digest. It adds one if there is none, and evicts another
// if the table is full. The caller holds the lock.
func (t *Table) getOrAdd(d Digest, now time.Time) *suspect {
	if s := t.suspects[d]; s != nil {
		s.prune(now)
		return s
	}
	if len(t.suspects) >= maxSuspects {
		t.evictOne(now)
	}
	s := &suspect{}
	t.suspects[d] = s
	t.size.Store(int64(len(t.suspects)))
	return s
}

// evictOne removes one suspect, if possible one that is not quarantined, since quarantines are
// also in the store. The caller holds the lock.
func (t *Table) evictOne(now time.Time) {
	var victim Digest
	for d, s := range t.suspects {
		if victim = d; s.over(now) {
			break
		}
	}
	t.remove(victim)
}

// remove deletes a suspect. The caller holds the lock.
func (t *Table) remove(d Digest) {
	delete(t.suspects, d)
	t.size.Store(int64(len(t.suspects)))
}

// evaluate quarantines the request if its breaks weigh enough, and reports whether it did.
func (s *suspect) evaluate(now, publishAt time.Time) bool {
	if !s.over(now) || s.weight() < quarantineWeight {
		return false
	}
	s.start(now.Add(Duration), publishAt)
	return true
}

// weight sums the weights of the breaks. Those within one simultaneousWindow count as one, with
// the largest of their weights.
func (s *suspect) weight() int {
	sum, heaviest := 0, 0
	var windowStart time.Time
	for _, b := range s.breaks {
		w := lateWeight
		if b.Early {
			w = earlyWeight
		}
		if heaviest == 0 || b.At.Sub(windowStart) > simultaneousWindow {
			windowStart, heaviest = b.At, 0
		}
		if w > heaviest {
			sum += w - heaviest
			heaviest = w
		}
	}
	return sum
}

// add inserts a break in order of time. It merges breaks of the same runner, and ignores a break
// from before the last completed attempt.
func (s *suspect) add(b Break) {
	if !b.At.After(s.lastSuccess) {
		return
	}
	if i := slices.IndexFunc(s.breaks, func(existing Break) bool { return existing.Runner == b.Runner }); i >= 0 {
		existing := s.breaks[i]
		b.Early = b.Early || existing.Early
		if existing.At.Before(b.At) {
			b.At = existing.At
		}
		s.breaks = slices.Delete(s.breaks, i, i+1)
	}
	s.breaks = append(s.breaks, b)
	slices.SortFunc(s.breaks, func(a, b Break) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Runner, b.Runner))
	})
	if len(s.breaks) > maxBreaks {
		s.breaks = s.breaks[len(s.breaks)-maxBreaks:]
	}
}

// prune removes breaks that are older than Duration.
func (s *suspect) prune(now time.Time) {
	for len(s.breaks) > 0 && now.Sub(s.breaks[0].At) > Duration {
		s.breaks = s.breaks[1:]
	}
}

// report returns the state of the request for other gateways.
func (s *suspect) report(d Digest, now time.Time) Report {
	r := Report{Digest: d, Breaks: append([]Break(nil), s.breaks...)}
	if !s.over(now) {
		r.Left = s.until.Sub(now)
	}
	return r
}
