package process

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/staging"
	"github.com/hopwell/hopwell/pkg/store"
)

// revisions is a store that holds the revisions of keys and only removes keys.
type revisions struct {
	store.Store
	of map[string]store.Revision
}

func (s *revisions) Commit(_ context.Context, c store.Change) (store.Revision, error) {
	for _, condition := range c.If {
		if s.of[condition.Key] != condition.Revision {
			return 0, &store.ErrConflict{}
		}
	}
	for _, key := range c.Remove {
		delete(s.of, key)
	}
	return 9, nil
}

// Guards against engines that get no work because the order lock was lost before their orders were sent, and
// against a gateway that removes the records of the next holder.
func TestLostLockCancelsChangesNotOrdered(t *testing.T) {
	g := NewWithT(t)
	d, now := runners.NewDirectory("a"), time.Now()
	var changes []staging.Change
	for _, id := range []string{"e1", "e2"} {
		d.Put(runners.Runner{ID: id, Service: "s", Stage: runners.Decode}, now)
		r := d.Find(id)
		r.BeginStageChange(runners.Prefill, time.Minute, now)
		changes = append(changes, staging.Change{Runner: r, Stage: runners.Prefill})
	}
	keys := &revisions{of: map[string]store.Revision{changePrefix + "e1": 7, changePrefix + "e2": 8}}
	s := &stager{lock: &store.Lock{Store: keys}, log: decisionlog.New("g", io.Discard)}
	s.cancel(context.Background(), changes, 7)
	_, first := d.Find("e1").Changing(now)
	_, second := d.Find("e2").Changing(now)
	g.Expect(first).To(BeFalse())
	g.Expect(second).To(BeTrue(), "another holder recorded this change")
	g.Expect(keys.of).To(Equal(map[string]store.Revision{changePrefix + "e2": 8}))
}

// Guards against a gateway whose order was refused and that removes the record of the next holder.
func TestRefusedOrderRemovesItsOwnRecordOnly(t *testing.T) {
	g := NewWithT(t)
	d, now := runners.NewDirectory("a"), time.Now()
	var changes []staging.Change
	for _, id := range []string{"e1", "e2", "e3"} {
		d.Put(runners.Runner{ID: id, Service: "s", Stage: runners.Decode}, now)
		changes = append(changes, staging.Change{Runner: d.Find(id), Stage: runners.Prefill})
	}
	d.Find("e3").BeginStageChange(runners.Prefill, time.Minute, now)
	keys := &revisions{of: map[string]store.Revision{changePrefix + "e1": 7, changePrefix + "e2": 8, changePrefix + "e3": 7}}
	s := &stager{lock: &store.Lock{Store: keys}, log: decisionlog.New("g", io.Discard)}
	s.removeRefused(context.Background(), changes, 7)
	g.Expect(keys.of).To(Equal(map[string]store.Revision{changePrefix + "e2": 8, changePrefix + "e3": 7}))
}
