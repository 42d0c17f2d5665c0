package route

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report is the load of a runner as reported by its sidecar, converted from the
// wire format.
type Report struct {
	Running, Reserved, Batch      int
	KVUsed, KVTotal, KVPerToken   float64
	Queued, Urgent, Rate          float64
	StepBase, StepSlope, SlotWait float64
	Transfers                     int
	LinkRate                      float64
}

// The backoff after failures doubles from backoffMin to backoffMax.
const (
	backoffMin = 250 * time.Millisecond
	backoffMax = 8 * time.Second
)

// stallBackoff is the minimum time without new work, in any role, for a runner whose
// link stalled.
const stallBackoff = time.Second

// Values assumed for a runner until its first report.
const (
	defaultRate       = 8000
	defaultBatch      = 16
	defaultStepBase   = 0.02
	defaultStepSlope  = 0.001
	defaultKVPerToken = 1 << 17
	defaultKVFree     = 1 << 33
)

// Runner is this gateway's view of one runner, guarded by its own lock.
type Runner struct {
	id             int
	hash           uint64
	name           string
	domain, region string

	mu         sync.Mutex
	report     Report
	reportedAt time.Time
	inFlight   int
	// sentTokens, sentStreams and sentBytes count the work that this gateway
	// sent since the last report.
	sentTokens   float64
	sentStreams  int
	sentBytes    float64
	failures     int
	backoffUntil time.Time
	// stalls and stalledUntil describe the runner's link. A report does not reset
	// them: a sidecar may still report while the link is stalled.
	stalls       int
	stalledUntil time.Time
}

// trackerShards is the number of shards, each with its own lock, that the runners
// are distributed over by name.
const trackerShards = 16

// Tracker contains the runners of a fleet, by instance.
type Tracker struct {
	shards [trackerShards]trackerShard

	mu   sync.Mutex
	next int
}

type trackerShard struct {
	mu      sync.RWMutex
	runners map[string]*Runner
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	t := &Tracker{}
	for i := range t.shards {
		t.shards[i].runners = map[string]*Runner{}
	}
	return t
}

// Get returns the runner on an instance and adds it if it is new.
func (t *Tracker) Get(name, domain, region string) *Runner {
	s := &t.shards[xxhash.Sum64String(name)%trackerShards]
	s.mu.RLock()
	r, ok := s.runners[name]
	s.mu.RUnlock()
	if ok {
		return r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok = s.runners[name]; ok {
		return r
	}
	r = &Runner{id: t.newID(), hash: xxhash.Sum64String(name), name: name, domain: domain, region: region}
	r.report = Report{Batch: defaultBatch, Rate: defaultRate, StepBase: defaultStepBase, StepSlope: defaultStepSlope, KVPerToken: defaultKVPerToken, KVTotal: defaultKVFree}
	s.runners[name] = r
	return r
}

func (t *Tracker) newID() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	return t.next
}

// Keep removes the runners whose instance is not in names.
func (t *Tracker) Keep(names map[string]bool) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for name := range s.runners {
			if !names[name] {
				delete(s.runners, name)
			}
		}
		s.mu.Unlock()
	}
}

// ID returns the runner's number, which is unique within its Tracker.
func (r *Runner) ID() int { return r.id }

// Name returns the name of the runner's instance.
func (r *Runner) Name() string { return r.name }

// Reported stores a sidecar's report. A report shows that the sidecar is
// reachable, so it also ends the backoff after failures.
func (r *Runner) Reported(p Report, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report, r.reportedAt = p, now
	r.sentTokens, r.sentStreams, r.sentBytes = 0, 0, 0
	r.failures, r.backoffUntil = 0, time.Time{}
}

// Age returns the age of the last report. It is very large if there was none.
func (r *Runner) Age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.reportedAt)
}

// Sent records work that this gateway sent after the last report: prefill tokens,
// decode streams, and the bytes of KV memory that they need.
func (r *Runner) Sent(tokens int, streams int, bytes float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
	r.sentTokens += float64(tokens)
	r.sentStreams += streams
	r.sentBytes += bytes
}

// Returned records the end of an attempt.
func (r *Runner) Returned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

// Failed records that the runner was unreachable or the connection broke, and
// starts a backoff during which the runner gets no new work. The jitter is in
// [0, 1).
func (r *Runner) Failed(now time.Time, jitter float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil = now.Add(backoff(r.failures, jitter))
	r.failures++
}

// backoff returns a wait that doubles with each failure, times (1+jitter)/2. The
// jitter is in [0, 1).
func backoff(failures int, jitter float64) time.Duration {
	wait := min(backoffMin<<min(failures, 8), backoffMax)
	return wait/2 + time.Duration(jitter*float64(wait/2))
}

// Stalled records that a transfer from the runner made no progress, and starts a
// backoff during which State sets Shunned, whatever the role of the runner.
func (r *Runner) Stalled(now time.Time, jitter float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.stalledUntil) {
		return
	}
	r.stalledUntil = now.Add(stallBackoff + backoff(r.stalls, jitter))
	r.stalls++
}

// Moved records that a transfer from the runner was completed, and ends the
// backoff after stalls.
func (r *Runner) Moved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalls, r.stalledUntil = 0, time.Time{}
}

// Suspect reports whether the runner is in backoff after failures.
func (r *Runner) Suspect(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.backoffUntil)
}

// State returns the runner's estimated state now: the last report, minus the
// work done since, plus the work that this gateway sent since.
func (r *Runner) State(now time.Time) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.report
	processed := now.Sub(r.reportedAt).Seconds() * p.Rate
	return State{
		ID: r.id, Hash: r.hash, Name: r.name, Domain: r.domain, Region: r.region,
		Rate:     p.Rate,
		Queued:   max(0, p.Queued+r.sentTokens-processed),
		Urgent:   max(0, p.Urgent+r.sentTokens-processed),
		InFlight: r.inFlight,
		Running:  p.Running, Reserved: p.Reserved + r.sentStreams, Batch: p.Batch,
		KVFree: p.KVTotal - p.KVUsed - r.sentBytes, KVPerToken: p.KVPerToken,
		SlotWait: max(0, p.SlotWait-now.Sub(r.reportedAt).Seconds()),
		StepBase: p.StepBase, StepSlope: p.StepSlope,
		Transfers: float64(p.Transfers), LinkRate: p.LinkRate,
		Shunned: now.Before(r.backoffUntil) || now.Before(r.stalledUntil),
	}
}
