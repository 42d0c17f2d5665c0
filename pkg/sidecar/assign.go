package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/trace"
)

// assignRetry is the minimum delay before a failed assignment is retried.
const assignRetry = time.Second

// assign keeps the engine's role, model, version and adapter in line with the
// configuration. Each sidecar computes them from the configuration document
// alone, so no controller is needed.
func (s *Sidecar) assign(ctx context.Context) {
	var last engine.Assignment
	for ctx.Err() == nil {
		changed := s.Keeper.Changed()
		rules := s.rules()
		doc := rules.Doc
		want, ok := Assignment(rules)
		var retry <-chan time.Time
		if ok && want != last {
			if err := s.tryAssign(ctx, doc, want); err != nil {
				retry = time.After(s.assignWait(err))
			} else {
				last = want
			}
		}
		select {
		case <-changed:
		case <-retry:
		case <-ctx.Done():
		}
	}
}

// assignWait returns the delay before the next try: at least the Retry-After of
// the weight store if it throttled the fetch, with jitter so that the engines
// of a pool do not retry at the same time.
func (s *Sidecar) assignWait(err error) time.Duration {
	var throttled *platform.ErrThrottled
	wait := assignRetry
	if errors.As(err, &throttled) {
		wait = max(wait, throttled.RetryAfter)
	}
	return wait + time.Duration(s.Jitter()*float64(wait))
}

// tryAssign fetches the weights and sends the assignment to the engine. The
// fencing token is the sidecar's epoch and the document's revision: engines
// that check it refuse an assignment from a sidecar that was replaced or
// suspended, or from an older document.
func (s *Sidecar) tryAssign(ctx context.Context, doc *fleet.Document, want engine.Assignment) error {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	if s.opt.Weights != nil {
		if err := s.opt.Weights.Fetch(ctx, want.Model, want.Version, want.Adapter); err != nil {
			return err
		}
	}
	if err := s.checkAssignmentAllowed(ctx, doc); err != nil {
		return err
	}
	if err := s.opt.Engine.Assign(ctx, engine.Fence{Epoch: s.Epoch, Revision: doc.Revision}, want); err != nil {
		return err
	}
	s.Log.Add(trace.Event{Type: trace.Assigned, Instance: s.Self.Name, Revision: doc.Revision, Detail: "role=" + want.Role + " model=" + want.Model})
	return nil
}

// staleAfter is the age of the last confirmation of the configuration above
// which no assignment is sent to the engine. Peers are asked once per second or
// so.
const staleAfter = 4 * time.Second

// checkAssignmentAllowed rejects outdated assignments, in case the engine
// ignores fencing tokens: those from an old document, from a process that was
// suspended and has not compared its configuration with its peers' since then,
// or from a process that has been replaced.
func (s *Sidecar) checkAssignmentAllowed(ctx context.Context, doc *fleet.Document) error {
	if s.Keeper.Document().Revision != doc.Revision || s.Keeper.Stale(time.Now(), staleAfter) {
		return &ErrOrder{Want: "a confirmed newest revision"}
	}
	l, err := s.opt.Engine.Load(ctx)
	if err != nil {
		return err
	}
	if l.Fence.Epoch > s.Epoch {
		return &ErrOrder{Want: "no later sidecar"}
	}
	return nil
}

// Assignment computes what the sidecar's own engine should run; rules is a view
// with only this sidecar's instance as a member. The result is the assignment of
// the first selector, in name order, that matches the member. Selectors with
// role serve are skipped. Assignment returns false when none matches.
func Assignment(rules *fleet.View) (engine.Assignment, bool) {
	for _, sel := range rules.Work(rules.Members[0]) {
		if sel.Role == fleet.RoleServe {
			continue
		}
		return engine.Assignment{Role: string(sel.Role), Model: sel.Model, Version: sel.Version, Adapter: sel.Adapter}, true
	}
	return engine.Assignment{}, false
}
