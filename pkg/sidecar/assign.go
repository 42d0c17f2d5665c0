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

// assignRetry is the wait before a failed assignment is tried again.
const assignRetry = time.Second

// assign keeps the engine's role, model, version and adapter as the
// configuration has them. What they should be is computed by each sidecar from
// the document alone, so that no controller is needed.
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

// assignWait is when to try again: when the weight store says, with jitter so
// that a pool does not come back as one.
func (s *Sidecar) assignWait(err error) time.Duration {
	var slow *platform.ErrThrottled
	wait := assignRetry
	if errors.As(err, &slow) {
		wait = max(wait, slow.RetryAfter)
	}
	return wait + time.Duration(s.Jitter()*float64(wait))
}

// tryAssign fetches the weights and gives the order. Its fence is the sidecar's
// epoch and the document's revision: an order of a replaced or paused sidecar,
// or of an older document, is refused by engines that check.
func (s *Sidecar) tryAssign(ctx context.Context, doc *fleet.Document, want engine.Assignment) error {
	ctx, cancel := context.WithTimeout(ctx, engineTime)
	defer cancel()
	if s.opt.Weights != nil {
		if err := s.opt.Weights.Fetch(ctx, want.Model, want.Version, want.Adapter); err != nil {
			return err
		}
	}
	if err := s.mayOrder(ctx, doc); err != nil {
		return err
	}
	if err := s.opt.Engine.Assign(ctx, engine.Fence{Epoch: s.Epoch, Revision: doc.Revision}, want); err != nil {
		return err
	}
	s.Log.Add(trace.Event{Type: trace.Assigned, Instance: s.Self.Name, Revision: doc.Revision, Detail: "role=" + want.Role + " model=" + want.Model})
	return nil
}

// staleAfter is how old the last confirmation of the configuration may be for
// an order to the engine; peers are asked about every second.
const staleAfter = 4 * time.Second

// mayOrder checks what an engine that does not look at fences would let through:
// an order from an old document, from a process that was paused and has not
// compared its configuration since, or from one that was replaced meanwhile.
func (s *Sidecar) mayOrder(ctx context.Context, doc *fleet.Document) error {
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

// Assignment computes what the engine should run on the one member of a view:
// what the first selector in name order that matches it says. It returns false
// when none does.
func Assignment(rules *fleet.View) (engine.Assignment, bool) {
	for _, sel := range rules.Work(rules.Members[0]) {
		if sel.Role == fleet.RoleServe {
			continue
		}
		return engine.Assignment{Role: string(sel.Role), Model: sel.Model, Version: sel.Version, Adapter: sel.Adapter}, true
	}
	return engine.Assignment{}, false
}
