package ingress

import (
	"context"
	"errors"
	"time"

	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

// ErrOutdated reports that the process which responded for a runner is not known to be the incarnation of the
// runner's entry, so that its software version is not known.
type ErrOutdated struct {
	Runner string
	// Err is the error of the check; nil if the runner reported another start time.
	Err error
}

// Error implements error.
func (e *ErrOutdated) Error() string {
	if e.Err == nil {
		return "runner restarted, so that its software version is unknown: runner=" + e.Runner
	}
	return "software version is not confirmed: runner=" + e.Runner + " cause=" + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ErrOutdated) Unwrap() error { return e.Err }

// isCurrent reports whether a runner is still the incarnation of its entry. If it is not, the runner gets
// no more work, unless it has ended as it had announced.
func (x *exchange) isCurrent(ctx context.Context, runner *runners.State) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	runner.CallSent("", time.Now())
	current, err := x.g.options.Runners.Alive(ctx, runner)
	if err == nil && !current && !runner.Leaves() {
		runner.MarkUnusable(time.Now())
	}
	return current && err == nil, err
}

// confirmVersion makes sure, before anything of a response is forwarded, that it comes from the software version in
// its runner's entry. bound is the version at which the request has to run, empty for any. It fails with
// *ErrOutdated if the version is not known. If the stream may begin at any version and the runner only does not tell
// its incarnation, the response is forwarded and other gateways learn that its version is not certain.
func (x *exchange) confirmVersion(runner *runners.State, a *Response, bound string) error {
	begins := bound == "" && x.route.Kind == routetable.Stream && x.route.Resumable
	if bound == "" && !begins {
		return nil
	}
	err := x.confirmIncarnation(runner, a)
	x.g.metrics.confirmation(err)
	if err == nil {
		x.g.origins.Confirm(x.streamKey(x.call.ID))
		return nil
	}
	x.logFailedStep("runner_outdated", runner.ID, err)
	if begins && errors.Unwrap(err) != nil {
		x.doubtOrigin()
		return nil
	}
	return err
}

// confirmIncarnation returns *ErrOutdated if the process that sends a response is not known to be the incarnation of
// the runner's entry. A runner is asked only about processes that were not identified before. It is asked after
// the response began, because it could have restarted before.
func (x *exchange) confirmIncarnation(runner *runners.State, a *Response) error {
	if runner.Born == 0 || a.Peer.Is(runner.ID) {
		return nil // Without a start time, each start has a new name, which the runner checks itself.
	}
	current, err := x.isCurrent(x.ctx, runner)
	if !current {
		return &ErrOutdated{Runner: runner.ID, Err: err}
	}
	a.Peer.Identify(runner.ID)
	return nil
}

// identifyMeanwhile checks a decode runner's incarnation while the prompt is computed elsewhere, if the runner
// would have to be asked after its response has begun. A runner that restarted then gets no decode. The channel
// is closed at the end of the check.
func (s *generation) identifyMeanwhile(runner *runners.State) <-chan struct{} {
	done := make(chan struct{})
	if !s.route.Resumable || runner.Born == 0 || s.g.options.Runners.Identified(runner) {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		if _, err := s.isCurrent(s.ctx, runner); err != nil && s.ctx.Err() == nil {
			s.logFailedStep("runner_not_identified", runner.ID, err)
		}
	}()
	return done
}
