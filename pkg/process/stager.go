package process

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/ingress"
	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/staging"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
)

const (
	// orderKey is the key of the order lock; changePrefix is the prefix of the keys of engines that are
	// changing their stage.
	orderKey     = "hopwell/orders"
	changePrefix = "hopwell/changes/"
	// stagerInterval is the interval between checks of the engines' stages.
	stagerInterval = 300 * time.Millisecond
	// orderCallTimeout bounds one call of the stager.
	orderCallTimeout = time.Second
	// settleTime is how long the number of engines must have been unchanged before their stages are
	// planned.
	settleTime = 500 * time.Millisecond
	// discoveryTime is how long a process waits to discover other gateways before it may acquire
	// the lock.
	discoveryTime = 600 * time.Millisecond
	// rankDelay is the extra delay per rank (by name) before a process tries to acquire the lock.
	// By then the process of the rank before has acquired it, and all gateways have received that
	// change.
	rankDelay = 2 * stagerInterval
	// renewalsPerLease is how often the order lock is renewed within its lease.
	renewalsPerLease = 3
	// unansweredOrderTime is how long an engine gets no new work after the response to its order was
	// lost: it may carry out the order some seconds later, or never.
	unansweredOrderTime = 6 * time.Second
	// idleTime is how long engines must have had no work to count as idle. Clients whose streams broke, all
	// at once, are back within that time.
	idleTime = 2 * time.Second
	// urgentPatience is how long a stage must have had no engine before one is ordered to change to it.
	urgentPatience = time.Second
	// rejoinAfter is how long an engine must have refused no work before it counts as serving again. An
	// engine that pauses repeatedly accepts single requests in between.
	rejoinAfter = 2 * time.Second
	// defaultLongestRun bounds how long an engine takes to finish its running work if no route has a
	// timeout.
	defaultLongestRun = 15 * time.Second
	// lockRetryDelay is how long a process does not try to acquire the lock after it found the lock
	// held.
	lockRetryDelay = 4 * time.Second
)

// stager assigns the engines' stages; an engine is a runner with a stage, prefill or decode. Only
// the process that holds the order lock in the store sends orders, and only after the lease of an
// earlier holder would have expired, so that a paused holder can't send orders at the same time.
type stager struct {
	ingress *ingress.Ingress
	calls   *platform.Runners
	log     *decisionlog.Log
	policy  staging.Policy
	lock    *store.Lock
	// wait is how long a new holder waits before its first order, which is the lease of the lock.
	wait time.Duration
	// rank returns this process's rank among the gateways that may acquire the lock, 0 for the first.
	rank func() int
	// report sends the other gateways the stage changes that are about to be ordered.
	report func(changes []runners.StageChange, now time.Time)
	// lockForeign reports whether the store shows a holder of the lock that is no known gateway.
	lockForeign func() bool
	// lockFree is set while the store shows the lock as free, restored when the store may have lost the
	// records of changes.
	lockFree, restored atomic.Bool
	// busy holds, by service, when its engines last had work.
	busy map[string]time.Time
	// refusals are the current periods in which engines accept no work, by engine ID.
	refusals map[string]refusalSpan
	// recorded are the changes that this process recorded, including finished ones.
	recorded []staging.Change

	// engineCount has been the number of engines since stableSince. mismatchSince is since when
	// planned changes exist, zero if there are none. orderedAt is when the last orders were sent,
	// retryAt the time before which the lock is not tried again.
	startedAt     time.Time
	renewedAt     time.Time
	engineCount   int
	stableSince   time.Time
	mismatchSince time.Time
	orderedAt     time.Time
	retryAt       time.Time
	pacing        planPacing
}

// run checks the engines' stages until the context ends.
func (s *stager) run(ctx context.Context) {
	s.startedAt = time.Now()
	tick := time.NewTicker(stagerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			s.lock.Release(ctx)
			return
		case now := <-tick.C:
			s.step(ctx, now)
		}
	}
}

// step renews the lock, or tries to acquire it if this process may, and orders the planned stage
// changes. It plans nothing while another process holds the lock: plans for thousands of engines are
// costly, and only one is used.
func (s *stager) step(ctx context.Context, now time.Time) {
	if s.restored.Swap(false) {
		s.rewriteRecords(ctx, now)
	}
	fence, since, held := s.lock.Held(boottime.Now())
	if !held && !s.mayBeFree() {
		s.mismatchSince = time.Time{}
		return
	}
	planned := s.pacing.due(now)
	var changes []staging.Change
	if planned {
		changes = s.plan(now)
		s.pacing.record(now, time.Since(now))
		s.recordMismatch(len(changes) > 0, now)
	}
	if !held {
		if s.mayAcquire(now) {
			s.acquire(ctx, now)
		}
		return
	}
	s.holdLock(ctx)
	if !planned {
		return
	}
	paused := !s.orderedAt.IsZero() && now.Sub(s.orderedAt) < s.pause(changes, now)
	if len(changes) == 0 || paused && !urgent(changes) || boottime.Since(since) < s.wait || now.Sub(s.mismatchSince) < s.patience(changes, now) {
		return
	}
	s.orderAll(ctx, changes, fence)
	s.orderedAt, s.mismatchSince = now, time.Time{}
}

// recordMismatch records whether the plan has changes.
func (s *stager) recordMismatch(mismatch bool, now time.Time) {
	if !mismatch {
		s.mismatchSince = time.Time{}
	} else if s.mismatchSince.IsZero() {
		s.mismatchSince = now
	}
}

// orderAll records, reports and orders changes, in batches as large as one change of the store allows.
// When the lock is lost it cancels the changes not yet ordered: the next holder plans them again.
func (s *stager) orderAll(ctx context.Context, changes []staging.Change, fence store.Revision) {
	for batch := range slices.Chunk(changes, store.MaxEntries) {
		if !s.holdLock(ctx) {
			return
		}
		s.stopWork(batch, time.Now())
		revision := s.record(ctx, batch)
		s.recorded = append(s.pending(time.Now()), batch...)
		s.report(s.announcement(batch), time.Now())
		for i, c := range batch {
			if !s.holdLock(ctx) {
				s.removeRefused(ctx, batch[:i], revision)
				s.cancel(ctx, batch[i:], revision)
				return
			}
			if !s.spared(c, time.Now()) {
				s.cancel(ctx, batch[i:i+1], revision)
				continue
			}
			s.order(ctx, c, fence)
		}
		s.removeRefused(ctx, batch, revision)
	}
}

// spared reports whether the engine of a change may still leave its stage: engines may have ended since the
// plan. A change to a stage without engines is made in any case.
func (s *stager) spared(c staging.Change, now time.Time) bool {
	return c.Urgent || staging.Spares(c.Runner, s.ingress.Directory.Present(c.Runner.Service, now), func(r *runners.State) bool { return r.Serving(now) })
}

// holdLock renews the lock when a renewal is due, and reports whether this process holds it.
func (s *stager) holdLock(ctx context.Context) bool {
	if now := time.Now(); now.Sub(s.renewedAt) > s.wait/renewalsPerLease {
		s.renew(ctx, now)
	}
	_, _, held := s.lock.Held(boottime.Now())
	return held
}

// mayAcquire reports whether this process should try to acquire the lock: only while the store shows it
// as free. The first process by name acquires it at once, so that it is held before it is needed. The
// others try one after another, when planned changes have been left undone for so long that the first
// process must have failed.
func (s *stager) mayAcquire(now time.Time) bool {
	if s.ingress.Table() == nil || now.Before(s.retryAt) || !s.mayBeFree() {
		return false
	}
	if now.Sub(s.startedAt) < discoveryTime {
		return false
	}
	rank := s.rank()
	if rank == 0 {
		return true
	}
	turn := time.Duration(rank) * rankDelay
	return !s.mismatchSince.IsZero() && now.Sub(s.mismatchSince) > s.restageTime()+s.wait+turn
}

// mayBeFree reports whether no gateway is known to hold the lock.
func (s *stager) mayBeFree() bool { return s.lockFree.Load() || s.lockForeign() }

// urgent reports whether any of the changes is for a stage without engines.
func urgent(changes []staging.Change) bool {
	return slices.ContainsFunc(changes, func(c staging.Change) bool { return c.Urgent })
}

// pause returns the least time between the last orders and those of the changes.
func (s *stager) pause(changes []staging.Change, now time.Time) time.Duration {
	if s.allIdle(changes, now) {
		return s.policy.IdlePause
	}
	return s.policy.Pause
}

// patience returns how long the stages must differ from the plan before one is changed.
func (s *stager) patience(changes []staging.Change, now time.Time) time.Duration {
	if urgent(changes) {
		return urgentPatience
	}
	if s.allIdle(changes, now) {
		return 0
	}
	return s.policy.Patience
}

// allIdle reports whether the services of all changes are idle. It asks each service once: that
// iterates over all of its engines.
func (s *stager) allIdle(changes []staging.Change, now time.Time) bool {
	asked := map[string]bool{}
	for _, c := range changes {
		if service := c.Runner.Service; !asked[service] {
			asked[service] = true
			if !s.idle(service, now) {
				return false
			}
		}
	}
	return true
}

// restageTime returns the longest time that a stage change takes, apart from the work that the engine
// finishes first.
func (s *stager) restageTime() time.Duration {
	longest := time.Duration(0)
	for _, service := range s.ingress.Table().Config.Services {
		if service.Engine != nil {
			longest = max(longest, service.Engine.StageChangeTime)
		}
	}
	return longest
}

// changeLimit returns how long an engine of a service may take to change its stage: it finishes its
// running work, which takes up to the longest timeout of a route, and restarts.
func (s *stager) changeLimit(service string) time.Duration {
	table := s.ingress.Table()
	run := table.LongestTimeout(service)
	if run == 0 {
		run = defaultLongestRun
	}
	return run + s.restageTime()
}

// plan returns the stage changes of all services with engines. While the engines are idle it plans
// a change for every difference, otherwise only for large differences.
func (s *stager) plan(now time.Time) []staging.Change {
	table := s.ingress.Table()
	if table == nil || !s.settled(table.Config.Services, now) {
		return nil
	}
	maps.DeleteFunc(s.refusals, func(_ string, span refusalSpan) bool { return now.Sub(span.last) > rejoinAfter })
	var out []staging.Change
	for name, service := range table.Config.Services {
		if service.Engine == nil {
			continue
		}
		out = append(out, s.policy.Plan(s.situation(name, now), now)...)
	}
	return out
}

// situation returns the input for planning the stages of a service's engines.
func (s *stager) situation(service string, now time.Time) staging.Situation {
	out := staging.Situation{
		Engines: s.servingEngines(s.ingress.Directory.Present(service, now), now), Exact: s.idle(service, now),
		Serves: func(r *runners.State) bool { return r.Serving(now) },
	}
	if pool := s.ingress.Pools()[service]; pool != nil {
		out.LearnedShare, _ = pool.PrefillShare()
		out.Load = func(r *runners.State) float64 { return pool.RemainingWork(r.ID, now) }
		status, speeds := pool.Status(now), pool.RelativeSpeeds(now)
		out.Reserved, out.Waiting = status.Reserved, status.Waiting
		out.Speed = func(r *runners.State) float64 { return speeds[r.ID] }
		out.SlowPrefill = s.slowPrefill(service, pool, speeds)
	}
	return out
}

// slowPrefillShare is the share of the latency target that a slow engine may take for the mean prompt:
// prompts wait for others, and some are longer.
const slowPrefillShare = 0.35

// slowPrefill reports whether slow engines prefill the mean prompt well within the latency target. One in
// ten may be slower still: it may be measured wrongly.
func (s *stager) slowPrefill(service string, pool *enginepool.Pool, speeds map[string]float64) bool {
	if len(speeds) == 0 {
		return false
	}
	slow := slices.Sorted(maps.Values(speeds))[len(speeds)/10]
	target, took := s.ingress.Table().ShortestLatencyTarget(service), pool.PromptTime(slow)
	return took > 0 && (target == 0 || took.Seconds() < slowPrefillShare*target.Seconds())
}

// refusalSpan is a period in which an engine accepts no work, apart from single requests between two
// pauses.
type refusalSpan struct{ first, last time.Time }

// servingEngines returns the engines that serve their stage: all but those that have refused work for
// longer than it takes to replace them by an engine of the other stage.
func (s *stager) servingEngines(engines []*runners.State, now time.Time) []*runners.State {
	longest := s.restageTime()
	return slices.DeleteFunc(engines, func(r *runners.State) bool {
		span, refused := s.refusals[r.ID]
		if r.Admits(notice.Work, now) != nil {
			if !refused {
				span.first = now
			}
			span.last = now
			s.refusals[r.ID] = span
		}
		return !span.first.IsZero() && now.Sub(span.first) > longest
	})
}

// idle reports whether a service's engines have had no work for a while, as before the first load. Stages
// are then set exactly and at once. A change under load makes an engine unavailable while it finishes its
// work and restarts.
func (s *stager) idle(service string, now time.Time) bool {
	pool := s.ingress.Pools()[service]
	if pool == nil {
		return true
	}
	if status := pool.Status(now); status.Reserved > 0 || status.PrefillTokens > 0 || status.Waiting > 0 {
		s.busy[service] = now
	}
	return now.Sub(s.busy[service]) >= idleTime
}

// settled reports whether the number of engines has been unchanged for settleTime.
func (s *stager) settled(services map[string]routetable.Service, now time.Time) bool {
	n := 0
	for name, service := range services {
		if service.Engine != nil {
			n += len(s.ingress.Directory.Present(name, now))
		}
	}
	if n != s.engineCount {
		s.engineCount, s.stableSince = n, now
	}
	return n > 0 && now.Sub(s.stableSince) >= settleTime
}

// acquire tries to acquire the order lock, which the log names order_right.
func (s *stager) acquire(ctx context.Context, now time.Time) {
	call, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	err := s.lock.Acquire(call)
	var held *store.ErrHeld
	if errors.As(err, &held) {
		s.retryAt = now.Add(lockRetryDelay)
	} else if err != nil {
		s.retryAt = now.Add(orderCallTimeout)
	}
	fence, _, _ := s.lock.Held(boottime.Now())
	s.log.Write(decisionlog.KindState, "order_right", decisionlog.F("won", err == nil), decisionlog.F("fence", fence), decisionlog.F("error", err))
}

func (s *stager) renew(ctx context.Context, now time.Time) {
	call, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	s.renewedAt = now
	if err := s.lock.Renew(call); err != nil {
		s.log.Write(decisionlog.KindProcess, "order_right_not_renewed", decisionlog.F("error", err))
	}
}
