package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/runners"
)

// ErrOutdated reports that a runner has restarted since its entry was written, so that its software
// version is not known.
type ErrOutdated struct {
	Runner string
	// Err is the error of the check; nil if the runner reported another start time.
	Err error
}

// Error implements error.
func (e *ErrOutdated) Error() string {
	text := "runner restarted, so that its software version is unknown: runner=" + e.Runner
	if e.Err != nil {
		text += " cause=" + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *ErrOutdated) Unwrap() error { return e.Err }

// isCurrent reports whether a runner is still the incarnation of its entry. If it is not, the runner gets
// no more work, and the origins of streams that began there are doubted, unless it has ended as it had
// announced.
func (x *exchange) isCurrent(ctx context.Context, runner *runners.State) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	runner.CallSent("", time.Now())
	current, err := x.g.options.Runners.Alive(ctx, runner)
	if err == nil && !current && !runner.Leaves() {
		runner.MarkUnusable(time.Now())
		x.g.DoubtOrigins(&runner.Runner)
	}
	return current && err == nil, err
}

// confirmOrigin checks in the background, after the first event of a new stream, that its runner is the
// incarnation of its entry. While only one version serves it checks nothing.
func (x *exchange) confirmOrigin(runner *runners.State) {
	if runner.Born == 0 || !x.route.Resumable || !x.g.versions.Mixed(x.service, time.Now()) {
		return
	}
	x.g.confirmations.run(runner.ID, x.streamKey(x.call.ID), func(keys []resume.Key) {
		current, err := x.isCurrent(context.WithoutCancel(x.ctx), runner)
		if err != nil {
			x.logFailedStep("origin_not_confirmed", runner.ID, err)
		}
		if current {
			for _, k := range keys {
				x.g.origins.Confirm(k)
			}
		}
	})
}

// confirmations runs one check of each runner at a time.
type confirmations struct {
	mu sync.Mutex
	// waiting holds, for the runners that are being checked, the streams whose first event came after
	// the current check had started.
	waiting map[string][]resume.Key
}

// run checks a runner in the background for a stream. If a check is running, which began before the
// stream's first event, the next one is for all streams that wait.
func (c *confirmations) run(runner string, k resume.Key, check func(keys []resume.Key)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list, running := c.waiting[runner]; running {
		c.waiting[runner] = append(list, k)
		return
	}
	c.waiting[runner] = nil
	go func() {
		for keys := []resume.Key{k}; len(keys) > 0; {
			check(keys)
			keys = c.next(runner)
		}
	}()
}

// next returns the streams that wait for the next check of a runner. If there are none, the runner's
// checks end.
func (c *confirmations) next(runner string) []resume.Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := c.waiting[runner]
	if c.waiting[runner] = nil; len(keys) == 0 {
		delete(c.waiting, runner)
	}
	return keys
}

// confirmIncarnation makes sure that the runner which resumes a stream is the incarnation of its
// entry, whose software version is known. It is called after the first event has arrived, because the
// runner could restart before, and before that event is forwarded.
func (s *generation) confirmIncarnation(runner *runners.State) error {
	if runner.Born == 0 {
		return nil // Each start has a new name, which the runner checks itself.
	}
	current, err := s.isCurrent(s.ctx, runner)
	if current {
		return nil
	}
	return &ErrOutdated{Runner: runner.ID, Err: err}
}
