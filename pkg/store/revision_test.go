package store

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

// Guards against comparing revisions by their numbers alone: after a restore the numbers go back.
func TestLaterEraRevisionsAreGreater(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		era, number := rapid.Uint64Range(0, maxEra), rapid.Uint64Range(0, maxNumber)
		a, b := [2]uint64{era.Draw(t, "era"), number.Draw(t, "number")}, [2]uint64{era.Draw(t, "other era"), number.Draw(t, "other number")}
		ra, errA := RevisionOf(a[0], a[1])
		rb, errB := RevisionOf(b[0], b[1])
		if errA != nil || errB != nil {
			t.Fatal(errA, errB)
		}
		if ra.Era() != a[0] || ra.Number() != a[1] {
			t.Fatalf("%v became %s", a, ra)
		}
		if less := a[0] < b[0] || a[0] == b[0] && a[1] < b[1]; less != (ra < rb) {
			t.Fatalf("%s and %s", ra, rb)
		}
	})
}

func TestRevisionOfRejectsOverflow(t *testing.T) {
	g := NewWithT(t)
	for _, r := range [][2]uint64{{maxEra + 1, 0}, {0, maxNumber + 1}} {
		_, err := RevisionOf(r[0], r[1])
		var large *ErrRevision
		g.Expect(errors.As(err, &large)).To(BeTrue())
	}
	first, err := RevisionOf(0, 41)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(uint64(first)).To(Equal(uint64(41)), "builds that decode no eras read the same number")
	g.Expect(first.String()).To(Equal("41"))
	later, err := RevisionOf(2, 7)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(later.String()).To(Equal("2.7"))
}

// restoringStore is a store that is restored between the grant of a lease and the commit that uses it.
type restoringStore struct {
	*fakeStore
	changes []Change
}

func (s *restoringStore) Commit(_ context.Context, c Change) (Revision, error) {
	s.changes = append(s.changes, c)
	return RevisionOf(1, uint64(len(s.changes)))
}

// Guards against a key bound to the lease of another process that got the same lease number after a
// restore: the key would stay for as long as that process lives.
func TestKeyBoundToLeaseOfEarlierEraIsRemoved(t *testing.T) {
	g := NewWithT(t)
	s := &restoringStore{fakeStore: &fakeStore{}}
	l := newLock(s)
	var over *ErrNoLease
	g.Expect(errors.As(l.Acquire(t.Context()), &over)).To(BeTrue())
	_, _, held := l.Held(time.Now())
	g.Expect(held).To(BeFalse())
	written, err := RevisionOf(1, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.changes).To(HaveLen(2))
	g.Expect(s.changes[1]).To(Equal(Change{If: []Condition{{Key: "k", Revision: written}}, Remove: []string{"k"}}))
}
