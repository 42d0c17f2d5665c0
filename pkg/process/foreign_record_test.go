package process

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/store"
)

// conditionalStore is a store of one item, which commits replace if their condition holds.
type conditionalStore struct {
	store.Store
	item    store.Item
	commits int
}

func (s *conditionalStore) Commit(_ context.Context, c store.Change) (store.Revision, error) {
	s.commits++
	if c.If[0].Revision != s.item.Revision {
		return 0, &store.ErrConflict{Items: []store.Item{s.item}}
	}
	s.item = store.Item{Key: c.Put[0].Key, Value: c.Put[0].Value, Revision: s.item.Revision + 1}
	return s.item.Revision, nil
}

// Guards against a record of software versions that is never written, and tried for ever, because another writer's
// item under its key is too large to be kept.
func TestRecordReplacesATooLargeItem(t *testing.T) {
	g := NewWithT(t)
	due := dueRecord{record: resume.Record{Versions: []string{"v1"}, Lifetime: 15 * time.Second}}
	s := &conditionalStore{item: large(recordPrefix+"llm", 1<<20, 7)}
	f := newFixture(t, 10)
	f.store = s
	g.Expect(f.replaceRecord(t.Context(), recordPrefix+"llm", due)).To(Succeed())
	g.Expect(s.item.Revision).To(Equal(store.Revision(8)))

	s = &conditionalStore{item: large(recordPrefix+"llm", 10, 7)}
	f.store = s
	var conflict *store.ErrConflict
	g.Expect(errors.As(f.replaceRecord(t.Context(), recordPrefix+"llm", due), &conflict)).To(BeTrue(), "another gateway's record stays")
	g.Expect(s.commits).To(Equal(1))
}
