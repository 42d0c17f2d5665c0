package relay

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
	"github.com/hopwell/hopwell/pkg/store"
)

func change(key string, revision uint64, size int) store.Event {
	return store.Event{Item: store.Item{Key: key, Revision: revision, Value: make([]byte, size)}}
}

func TestAHistoryTellsWhatCameAfterARevision(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var h History
	h.Restart(10, now.Add(-time.Second))
	h.Advance(14, []store.Event{change("a", 12, 3), change("b", 14, 3)}, now.Add(-300*time.Millisecond))
	g.Expect(h.Since(10, now)).To(Equal([]Update{{From: 10, To: 14, Age: 300 * time.Millisecond, Changes: h.changes}}))
	g.Expect(h.Since(12, now)).To(Equal([]Update{{From: 12, To: 14, Age: 300 * time.Millisecond, Changes: h.changes[1:]}}))
	g.Expect(h.Since(14, now)).To(Equal([]Update{{From: 14, To: 14, Age: 300 * time.Millisecond}}))
	g.Expect(h.Since(20, now)).To(Equal([]Update{{From: 14, To: 14, Age: 300 * time.Millisecond}}), "one that knows more")
	g.Expect(h.Since(9, now)[0].More).To(BeTrue(), "what came before the reading is not known")
}

func TestAHistoryDoesNotSendWhatFitsNoDatagram(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var h History
	h.Restart(10, now)
	h.Advance(14, []store.Event{change("a", 12, 3), change("large", 13, maxUpdate), change("b", 14, 3)}, now)
	got := h.Since(10, now)
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].To).To(Equal(uint64(12)))
	g.Expect(got[0].More).To(BeTrue())
	g.Expect(got[0].Changes).To(HaveLen(1))
}

// A gateway that takes any updates, in any order, some twice, some never, and asks again
// behind a gap, ends with all changes in their order, each once, unless it is told to
// read the store.
func TestUpdatesAddUpToEverything(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		now := time.Now()
		var relay History
		relay.Restart(1, now)
		var all []store.Event
		for at, revision := uint64(1), uint64(1); at < uint64(rapid.IntRange(2, 40).Draw(t, "revisions")); at++ {
			revision += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
			var changes []store.Event
			for i := range rapid.IntRange(0, 3).Draw(t, "keys") {
				changes = append(changes, change(fmt.Sprintf("k%d", i), revision, rapid.IntRange(0, maxUpdate/2).Draw(t, "size")))
			}
			relay.Advance(revision, changes, now)
			all = append(all, changes...)
		}
		at, got := uint64(1), []store.Event(nil)
		for range 200 {
			for _, u := range relay.Since(at, now) {
				if rapid.IntRange(0, 2).Draw(t, "lost") == 0 || u.From > at {
					continue
				}
				if u.More && u.To <= at {
					return
				}
				for _, c := range u.Changes {
					if c.Revision > at {
						got = append(got, c)
					}
				}
				at = max(at, u.To)
			}
		}
		if reached, _ := relay.Reached(); at != reached {
			t.Fatalf("at %d of %d", at, reached)
		}
		if len(got) != len(all) {
			t.Fatalf("%d of %d changes", len(got), len(all))
		}
		for i := range got {
			if got[i].Key != all[i].Key || got[i].Revision != all[i].Revision {
				t.Fatalf("change %d is %s at %d", i, got[i].Key, got[i].Revision)
			}
		}
	})
}

func TestAHistoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var h History
	h.Restart(1, now)
	for revision := uint64(2); revision < 1000; revision++ {
		h.Advance(revision, []store.Event{change("a", revision, 1000)}, now)
	}
	g.Expect(h.bytes).To(BeNumerically("<=", maxHistory))
	g.Expect(h.Since(2, now)[0].More).To(BeTrue())
	g.Expect(h.Since(998, now)[0].Changes).To(HaveLen(1))
}
