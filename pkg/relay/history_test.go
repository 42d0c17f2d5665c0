package relay

import (
	"bytes"
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/delta"
	"github.com/hopwell/hopwell/pkg/spectest"
	"github.com/hopwell/hopwell/pkg/store"
)

// allEncodings are those that a gateway of this build decodes.
var allEncodings = Encodings{Deltas: true, Eras: true}

func change(key string, revision store.Revision, size int) store.Event {
	return store.Event{Item: store.Item{Key: key, Revision: revision, Value: make([]byte, size)}}
}

func TestSinceReturnsChangesAfterRevision(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var h History
	h.Restart(10, now.Add(-time.Second))
	h.Advance(14, []store.Event{change("a", 12, 3), change("b", 14, 3)}, now.Add(-300*time.Millisecond))
	g.Expect(h.Since(10, allEncodings, now)).To(Equal([]Update{{From: 10, To: 14, Age: 300 * time.Millisecond, Changes: h.changes}}))
	g.Expect(h.Since(12, allEncodings, now)).To(Equal([]Update{{From: 12, To: 14, Age: 300 * time.Millisecond, Changes: h.changes[1:]}}))
	g.Expect(h.Since(14, allEncodings, now)).To(Equal([]Update{{From: 14, To: 14, Age: 300 * time.Millisecond}}))
	g.Expect(h.Since(20, allEncodings, now)).To(Equal([]Update{{From: 14, To: 14, Age: 300 * time.Millisecond}}), "a gateway ahead of the history")
	g.Expect(h.Since(9, allEncodings, now)[0].Truncated).To(BeTrue(), "changes before the full read are not known")
}

func TestSinceOmitsChangesLargerThanDatagram(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var h History
	h.Restart(10, now)
	h.Advance(14, []store.Event{change("a", 12, 3), change("large", 13, maxUpdateBytes), change("b", 14, 3)}, now)
	got := h.Since(10, allEncodings, now)
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].To).To(Equal(store.Revision(12)))
	g.Expect(got[0].Truncated).To(BeTrue())
	g.Expect(got[0].Changes).To(HaveLen(1))
}

// Guards against lost, repeated or reordered updates that leave a gateway without the last change
// of a key, although no update had More set. Only the last update may confirm a revision.
func TestLossyUpdatesConverge(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		now := time.Now()
		var relay History
		relay.Restart(1, now)
		want := map[string]store.Revision{}
		for at, revision := 1, store.Revision(1); at < rapid.IntRange(2, 40).Draw(t, "revisions"); at++ {
			revision += store.Revision(rapid.IntRange(1, 3).Draw(t, "step"))
			var changes []store.Event
			for i := range rapid.IntRange(0, 3).Draw(t, "keys") {
				changes = append(changes, change(fmt.Sprintf("k%d", i), revision, rapid.IntRange(0, maxUpdateBytes/2).Draw(t, "size")))
			}
			relay.Advance(revision, changes, now)
			for _, c := range changes {
				want[c.Key] = c.Revision
			}
		}
		at, got := store.Revision(1), map[string]store.Revision{}
		for range 200 {
			for _, u := range relay.Since(at, allEncodings, now) {
				if rapid.IntRange(0, 2).Draw(t, "lost") == 0 || u.From > at {
					continue
				}
				if u.Truncated && u.To <= at {
					return
				}
				for _, c := range u.Changes {
					if c.Revision > at {
						got[c.Key] = c.Revision
					}
				}
				at = max(at, u.To)
				if reached, _ := relay.Reached(); u.Age < Unconfirmed && !u.Truncated && at < reached {
					t.Fatalf("confirmed at %d of %d", at, reached)
				}
			}
		}
		if reached, _ := relay.Reached(); at != reached {
			t.Fatalf("at %d of %d", at, reached)
		}
		if !maps.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// Guards against sending each of many rapid large configurations to a gateway that lags, and
// against confirming a revision before the gateway has the newest configuration.
func TestSinceSendsOnlyLatestChangeOfKey(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var h History
	h.Restart(1, now)
	for revision := store.Revision(2); revision < 30; revision++ {
		h.Advance(revision, []store.Event{change("op/config", revision, maxUpdateBytes-100)}, now)
	}
	h.Advance(30, []store.Event{change("servers/a", 30, 200)}, now)
	got := h.Since(1, allEncodings, now)
	g.Expect(got).To(HaveLen(2))
	g.Expect(got[0].Changes).To(HaveLen(1))
	g.Expect(got[0].Changes[0].Revision).To(Equal(store.Revision(29)))
	g.Expect(got[0].Age).To(Equal(Unconfirmed))
	g.Expect(got[1].Age).To(BeZero())
}

func TestHistorySizeIsBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var h History
	h.Restart(1, now)
	for revision := store.Revision(2); revision < 1000; revision++ {
		h.Advance(revision, []store.Event{change(fmt.Sprintf("k%d", revision), revision, 1000)}, now)
	}
	g.Expect(h.bytes).To(BeNumerically("<=", maxHistoryBytes))
	g.Expect(h.Since(2, allEncodings, now)[0].Truncated).To(BeTrue())
	g.Expect(h.Since(998, allEncodings, now)[0].Changes).To(HaveLen(1))
}

// document returns a large value that differs little from version to version.
func document(version int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "version=%d;", version)
	for i := range 2000 {
		fmt.Fprintf(&b, "route-%d goes to service %d;", i, i%7)
	}
	return b.Bytes()
}

// Guards against a configuration that every gateway reads from the store because it is larger than
// a datagram.
func TestLargeValueIsSentAsDelta(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var h History
	h.Restart(10, now)
	h.RecordItems([]store.Item{{Key: "op/config", Value: document(1), Revision: 8}})
	put := func(version int, revision store.Revision) {
		h.Advance(revision, []store.Event{{Item: store.Item{Key: "op/config", Value: document(version), Revision: revision}}}, now)
	}
	put(2, 12)
	g.Expect(len(document(2))).To(BeNumerically(">", maxUpdateBytes))
	got := h.Since(10, allEncodings, now)
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Truncated).To(BeFalse())
	g.Expect(got[0].To).To(Equal(store.Revision(12)))
	g.Expect(got[0].Changes).To(BeEmpty())
	g.Expect(got[0].Deltas).To(HaveLen(1))
	g.Expect(got[0].Deltas[0].Base).To(Equal(store.Revision(8)))
	g.Expect(got[0].Bytes()).To(BeNumerically("<", 1000))
	g.Expect(delta.Apply(document(1), got[0].Deltas[0].Bytes)).To(Equal(document(2)))

	g.Expect(h.Since(10, Encodings{}, now)[0].Truncated).To(BeTrue(), "a gateway that decodes no deltas reads the store")
	put(3, 15)
	g.Expect(h.Since(12, allEncodings, now)[0].Deltas[0].Base).To(Equal(store.Revision(12)))
	g.Expect(h.Since(10, allEncodings, now)[0].Truncated).To(BeTrue(), "a gateway that lacks the previous value reads the store")
	h.Advance(16, []store.Event{{Item: store.Item{Key: "op/config", Revision: 16}, Removed: true}}, now)
	put(4, 17)
	g.Expect(h.Since(16, allEncodings, now)[0].Truncated).To(BeTrue(), "there is no previous value")
}

// inEra returns the revision of a number in an era.
func inEra(era, number uint64) store.Revision {
	r, err := store.RevisionOf(era, number)
	if err != nil {
		panic(err)
	}
	return r
}

// Guards against sending the changes after a restore to a gateway at a revision that the store has
// lost.
func TestOnlyLastRevisionResumesAfterRestore(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var h History
	h.Restart(30, now)
	h.Advance(36, []store.Event{change("a", 33, 3)}, now)
	gone := store.Event{Item: store.Item{Key: "lost", Revision: inEra(1, 0)}, Removed: true}
	h.Restore(Update{To: inEra(1, 32), Restored: inEra(1, 32), Changes: []store.Event{gone, change("a", inEra(1, 31), 4)}}, now, now)

	same := h.Since(36, allEncodings, now)
	g.Expect(same).To(HaveLen(1))
	g.Expect(same[0].To).To(Equal(inEra(1, 32)))
	g.Expect(same[0].Restored).To(Equal(inEra(1, 32)))
	g.Expect(same[0].Changes).To(HaveLen(2))
	for _, other := range []store.Revision{34, 35, 37, 39} {
		g.Expect(h.Since(other, allEncodings, now)).To(Equal([]Update{{From: other, To: other, Age: 0, Truncated: true}}), "at %s", other)
	}
	g.Expect(h.Since(36, Encodings{Deltas: true}, now)[0].Truncated).To(BeTrue(), "a build that decodes no eras")
	g.Expect(h.Since(inEra(1, 31), allEncodings, now)[0].Changes).To(BeEmpty(), "a gateway that has read the restored store itself")

	h.Advance(inEra(1, 34), []store.Event{change("b", inEra(1, 34), 1)}, now)
	g.Expect(h.Since(36, allEncodings, now)[0].Changes).To(HaveLen(3))
	later := h.Since(inEra(1, 32), allEncodings, now)[0]
	g.Expect(later.Changes).To(HaveLen(1))
	g.Expect(later.Restored).To(BeZero(), "the change is not part of the full read after the restore")

	h.Restore(Update{To: inEra(2, 33), Restored: inEra(2, 33)}, now, now)
	g.Expect(h.Since(36, allEncodings, now)[0].Truncated).To(BeTrue(), "two eras before")
	g.Expect(h.Since(inEra(1, 34), allEncodings, now)[0].To).To(Equal(inEra(2, 33)))
}

// Guards against an update whose end is the last revision number of the era before.
func TestOversizedRestoreIsReadFromStore(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var h History
	h.Restart(30, now)
	var lost []store.Event
	for i := range 2 * maxUpdateBytes / 20 {
		lost = append(lost, store.Event{Item: store.Item{Key: fmt.Sprintf("key-%016d", i), Revision: inEra(1, 0)}, Removed: true})
	}
	h.Restore(Update{To: inEra(1, 9), Restored: inEra(1, 9), Changes: lost}, now, now)
	g.Expect(h.Since(30, allEncodings, now)).To(Equal([]Update{{From: 30, To: 30, Truncated: true, Restored: inEra(1, 9)}}))
}

// Guards against accepting API keys whose revocation was lost in a restore right before a gateway's first read.
func TestFirstReadOfRestoredStoreConfirmsLater(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var h History
	h.Restart(inEra(1, 9), now)
	h.DelayReads(now.Add(time.Second))
	h.ConfirmRead(now.Add(time.Second - 1))
	g.Expect(h.Confirmed()).To(BeZero())
	pending, left := h.ConfirmationPending(now)
	g.Expect(pending).To(BeTrue())
	g.Expect(left).To(Equal(time.Second))
	h.Confirm(now.Add(time.Millisecond))
	g.Expect(h.Confirmed()).To(Equal(now.Add(time.Millisecond)))
	h.ConfirmRead(now.Add(time.Second))
	g.Expect(h.Confirmed()).To(Equal(now.Add(time.Second)))
	pending, _ = h.ConfirmationPending(now)
	g.Expect(pending).To(BeFalse())
}

// Guards against accepting API keys whose revocation the restored store may have lost.
func TestRestoreDelaysConfirmation(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var h History
	h.Restart(30, now)
	h.Confirm(now)
	h.Restore(Update{To: inEra(1, 9)}, now, now.Add(2*time.Second))
	h.Confirm(now.Add(time.Second))
	g.Expect(h.Confirmed()).To(Equal(now))
	h.Confirm(now.Add(2 * time.Second))
	g.Expect(h.Confirmed()).To(Equal(now.Add(2 * time.Second)))
}
