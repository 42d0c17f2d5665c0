package process

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/ingress"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/staging"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
)

// record writes the changes to the store before their orders are sent, so that gateways which start
// before the changes are done read them, even if this process ends between two orders. The lease of
// the keys lasts as long as the slowest of the changes may take. It returns the revision of the records, 0
// if they are not known to be written.
func (s *stager) record(ctx context.Context, changes []staging.Change) store.Revision {
	ctx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	limit := time.Duration(0)
	for _, c := range changes {
		limit = max(limit, s.changeLimit(c.Runner.Service))
	}
	var puts []store.Put
	for _, c := range changes {
		puts = append(puts, store.Put{Key: changePrefix + c.Runner.ID, Value: []byte(c.Stage)})
	}
	written, err := store.PutLeased(ctx, s.lock.Store, limit, store.Change{Put: puts})
	if err != nil {
		s.log.Write(decisionlog.KindProcess, "restage_not_recorded", decisionlog.F("orders", len(changes)), decisionlog.F("error", err))
	}
	return written.Revision
}

// cancel ends changes that were recorded at a revision and not ordered, so that their engines get work
// again. It leaves those that another holder of the lock has recorded since.
func (s *stager) cancel(ctx context.Context, changes []staging.Change, recorded store.Revision) {
	ctx, done := context.WithTimeout(ctx, orderCallTimeout)
	defer done()
	ended := 0
	var last error
	for _, c := range changes {
		if err := s.removeRecord(ctx, c, recorded); err != nil {
			last = err
			continue
		}
		c.Runner.EndStageChange()
		ended++
	}
	s.log.Write(decisionlog.KindState, "restage_canceled", decisionlog.F("orders", len(changes)), decisionlog.F("ended", ended), decisionlog.F("error", last))
}

// removeRecord removes the record of a change that was written at a revision, 0 if it is not known to be
// written. It fails if the record has changed since.
func (s *stager) removeRecord(ctx context.Context, c staging.Change, recorded store.Revision) error {
	if recorded == 0 {
		return nil
	}
	key := changePrefix + c.Runner.ID
	_, err := s.lock.Store.Commit(ctx, store.Change{If: []store.Condition{{Key: key, Revision: recorded}}, Remove: []string{key}})
	return err
}

// stopWork ends this gateway's own use of engines before their changes are recorded and reported. The
// orders follow some milliseconds later, one after the other, and an engine refuses work from its order on.
func (s *stager) stopWork(changes []staging.Change, now time.Time) {
	for _, c := range changes {
		c.Runner.BeginStageChange(c.Stage, s.changeLimit(c.Runner.Service), now)
	}
}

// pending returns the recorded changes that are in progress.
func (s *stager) pending(now time.Time) []staging.Change {
	s.recorded = slices.DeleteFunc(s.recorded, func(c staging.Change) bool {
		_, changing := c.Runner.Changing(now)
		return !changing
	})
	return s.recorded
}

// rewriteRecords writes the records of changes in progress again after a restore of the store.
func (s *stager) rewriteRecords(ctx context.Context, now time.Time) {
	for batch := range slices.Chunk(s.pending(now), store.MaxEntries) {
		s.record(ctx, batch)
	}
}

// announcement returns the changes as they are reported to other gateways.
func (s *stager) announcement(changes []staging.Change) []runners.StageChange {
	out := make([]runners.StageChange, 0, len(changes))
	for _, c := range changes {
		out = append(out, runners.StageChange{Runner: c.Runner.ID, To: c.Stage, Remaining: s.changeLimit(c.Runner.Service)})
	}
	return out
}

// removeRefused removes the records, written at a revision, of the changes whose orders were refused. It
// leaves those that another holder of the lock has recorded since.
func (s *stager) removeRefused(ctx context.Context, changes []staging.Change, recorded store.Revision) {
	ctx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	failed := 0
	var last error
	for _, c := range changes {
		if _, changing := c.Runner.Changing(time.Now()); changing {
			continue
		}
		if err := s.removeRecord(ctx, c, recorded); err != nil {
			failed++
			last = err
		}
	}
	if failed > 0 {
		s.log.Write(decisionlog.KindProcess, "restage_not_removed", decisionlog.F("orders", failed), decisionlog.F("error", last))
	}
}

// sendOrder sends one order and records the result in the engine's state: accepted, refused or unknown.
func (s *stager) sendOrder(ctx context.Context, c staging.Change, fence store.Revision, sequence int) error {
	c.Runner.BeginStageChange(c.Stage, s.changeLimit(c.Runner.Service), time.Now())
	c.Runner.CallSent("", time.Now())
	err := s.calls.Restage(ctx, c.Runner, platform.StageOrder{Stage: c.Stage, Holder: s.lock.Holder, Fence: uint64(fence), Sequence: sequence})
	var declined *ingress.ErrDeclined
	switch {
	case err == nil:
	case errors.As(err, &declined) && declined.Status != http.StatusConflict:
		c.Runner.EndStageChange()
	default:
		// There was no response, or the engine is carrying out another order.
		c.Runner.BeginStageChange(c.Stage, unansweredOrderTime, time.Now())
	}
	return err
}

// order orders one engine to change its stage. orderAll has already stopped its new work and reported
// the change to the other gateways.
func (s *stager) order(ctx context.Context, c staging.Change, fence store.Revision) {
	call, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	c.Runner.CallSent("", time.Now())
	sequence, err := s.calls.Sequence(call, c.Runner)
	if err == nil {
		err = s.sendOrder(call, c, fence, sequence)
	}
	s.log.Write(decisionlog.KindState, "restage", decisionlog.F("runner", c.Runner.ID), decisionlog.F("domain", c.Runner.Domain),
		decisionlog.F("stage", string(c.Stage)), decisionlog.F("swap", c.Swap), decisionlog.F("fence", fence), decisionlog.F("sequence", sequence), decisionlog.F("error", err))
}
