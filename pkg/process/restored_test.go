package process

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/relay"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
	"github.com/hopwell/hopwell/platform/standin"
)

// inEra returns a revision of an era.
func inEra(era, number uint64) store.Revision {
	r, err := store.RevisionOf(era, number)
	if err != nil {
		panic(err)
	}
	return r
}

// written is an engine's entry with a state, an incarnation and the sequence number of the write.
func written(id, stage, state string, born int64, sequence int, revision store.Revision) store.Item {
	i := entry(id, stage, revision)
	var fields map[string]any
	if err := json.Unmarshal(i.Value, &fields); err != nil {
		panic(err)
	}
	fields["state"], fields["seq"] = state, sequence
	if born > 0 {
		fields["born"] = born
	}
	value, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	i.Value = value
	return i
}

// Guards against a gateway that never receives what the restored store holds under reused
// revisions: a relay read at revision 40 and sent only the changes after its previous 39.
func TestWritesUnderReusedRevisionsAreForwarded(t *testing.T) {
	g := NewWithT(t)
	first := []store.Item{written("e1", "decode", "ready", 0, 1, 20), written("e2", "prefill", "ready", 0, 1, 21), {Key: orderKey, Value: []byte("g"), Revision: 38}}
	relay, f := newFixture(t, 39, first...), newFixture(t, 39, first...)
	items := []store.Item{written("e1", "decode", "draining", 0, 9, inEra(1, 39)), written("e2", "decode", "ready", 0, 9, inEra(1, 38))}
	g.Expect(relay.reset(items, inEra(1, 40))).To(Succeed())
	for _, u := range relay.Since(39, allEncodings, time.Now()) {
		g.Expect(f.Receive(u)).To(BeTrue())
	}
	for name, got := range map[string]*fixture{"the relay": relay, "a gateway": f} {
		g.Expect(got.Reached()).To(Equal(inEra(1, 40)), name)
		g.Expect(got.present("e1")).To(BeFalse(), name)
		g.Expect(got.stage("e2")).To(Equal(runners.Decode), name)
		g.Expect(got.restores).To(Equal(1), name)
	}
	g.Expect(relay.reset(first, 39)).To(BeAssignableToTypeOf(&store.ErrOld{}), "a response from before the restore arrives late")
}

// Guards against a gateway that applies the difference between two eras from a relay that was behind it in
// the first era.
func TestGatewayAheadOfItsRelayReadsRestoredStore(t *testing.T) {
	g := NewWithT(t)
	relay, f := newFixture(t, 36, entry("e1", "decode", 20)), newFixture(t, 39, entry("e1", "decode", 20), entry("e2", "decode", 38))
	g.Expect(relay.reset([]store.Item{entry("e1", "decode", inEra(1, 20))}, inEra(1, 36))).To(Succeed())
	for _, u := range relay.Since(36, allEncodings, time.Now()) {
		g.Expect(f.Receive(u)).To(BeFalse())
	}
	g.Expect(f.Reached()).To(Equal(store.Revision(39)))
	g.Expect(relay.Since(39, allEncodings, time.Now())[0].Truncated).To(BeTrue())
}

// Guards against a relay that still follows an earlier era and confirms state of the current one.
func TestUpdatesOfEarlierEraAreIgnored(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, inEra(1, 10), written("e1", "decode", "draining", 0, 5, inEra(1, 9)))
	f.Receive(relay.Update{From: 8, To: 50, Changes: []store.Event{{Item: entry("e1", "decode", 50)}}})
	g.Expect(f.present("e1")).To(BeFalse())
	g.Expect(f.Reached()).To(Equal(inEra(1, 10)))
}

// Guards against a restored store that brings back removed state, or removes current state, until the writers
// have rewritten it.
func TestRestoredStoreDoesNotOverwriteCurrentStateAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		evacuated := func(domain string, at store.Revision) store.Item {
			return store.Item{Key: platform.EvacuationPrefix + domain, Value: []byte("{}"), Revision: at}
		}
		f := newFixture(t, 20, written("leaves", "decode", "ready", 0, 1, 5), written("gone", "decode", "ready", 0, 1, 6),
			written("again", "decode", "ready", 100, 7, 7), evacuated("b", 8), largeConfig(1, 9))
		f.apply([]store.Event{
			{Item: written("leaves", "decode", "draining", 0, 2, 21)},
			{Item: store.Item{Key: standin.RunnerKey("gone"), Revision: 22}, Removed: true},
			{Item: written("again", "decode", "ready", 200, 1, 23)},
			{Item: written("new", "decode", "ready", 0, 1, 24)},
			{Item: evacuated("c", 25)},
			{Item: store.Item{Key: platform.EvacuationPrefix + "b", Revision: 26}, Removed: true},
			{Item: largeConfig(2, 27)},
		}, 27)
		old := []store.Item{written("leaves", "decode", "ready", 0, 1, inEra(1, 5)), written("gone", "decode", "ready", 0, 1, inEra(1, 6)),
			written("again", "decode", "ready", 100, 7, inEra(1, 7)), evacuated("b", inEra(1, 8)), largeConfig(1, inEra(1, 9))}
		g.Expect(f.reset(old, inEra(1, 20))).To(Succeed())
		expectCurrentState := func(when string) {
			g.Expect(f.present("leaves")).To(BeFalse(), when)
			g.Expect(f.present("gone")).To(BeFalse(), when)
			g.Expect(f.ingress.Directory.Current("again").Born).To(Equal(int64(200)), when)
			g.Expect(f.present("new")).To(BeTrue(), when)
			g.Expect(f.ingress.Directory.Evacuated()).To(Equal([]string{"c"}), when)
			g.Expect(f.ingress.Version()).To(Equal(uint64(2)), when)
		}
		expectCurrentState("right after the restore")
		time.Sleep(rewriteTime - time.Millisecond)
		f.applyDeferred(time.Now())
		expectCurrentState("while writers may still rewrite their state")

		f.apply([]store.Event{{Item: written("new", "decode", "ready", 0, 9, inEra(1, 21))}, {Item: evacuated("c", inEra(1, 22))},
			{Item: store.Item{Key: platform.EvacuationPrefix + "b", Revision: inEra(1, 23)}, Removed: true},
			{Item: written("again", "decode", "ready", 200, 9, inEra(1, 24))}}, inEra(1, 24))
		time.Sleep(lapseTime)
		f.applyDeferred(time.Now())
		g.Expect(f.present("new")).To(BeTrue(), "it has rewritten its entry")
		g.Expect(f.ingress.Directory.Evacuated()).To(Equal([]string{"c"}))
		g.Expect(f.ingress.Directory.Current("again").Born).To(Equal(int64(200)))
		g.Expect(f.present("leaves")).To(BeFalse(), "a runner that announced its departure is never used again")
		g.Expect(f.present("gone")).To(BeTrue(), "its entry outlives three heartbeats: it is alive")
		g.Expect(f.deferred).To(BeEmpty())
	})
}

// Guards against state that is kept after the time in which writers rewrite it.
func TestStateNotRewrittenAfterRestoreIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, 20, entry("e1", "decode", 5))
		f.apply([]store.Event{{Item: entry("e2", "decode", 21)}, {Item: store.Item{Key: platform.EvacuationPrefix + "c", Value: []byte("{}"), Revision: 22}}}, 22)
		g.Expect(f.reset([]store.Item{entry("e1", "decode", inEra(1, 5))}, inEra(1, 20))).To(Succeed())
		g.Expect(f.present("e2")).To(BeTrue())
		time.Sleep(rewriteTime)
		f.applyDeferred(time.Now())
		g.Expect(len(f.ingress.Directory.Usable("llm", runners.Decode, time.Now()))).To(Equal(1), "e2 is not kept for a further grace period")
		g.Expect(f.ingress.Directory.Evacuated()).To(BeEmpty())
	})
}

// Guards against a second restore that applies changes which the first one deferred because they may be
// stale.
func TestRepeatedRestoreKeepsCurrentState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, 20, entry("e1", "decode", 5))
		f.apply([]store.Event{{Item: entry("e2", "decode", 21)}, {Item: store.Item{Key: standin.RunnerKey("e1"), Revision: 22}, Removed: true}}, 22)
		for era := uint64(1); era <= 3; era++ {
			g.Expect(f.reset([]store.Item{entry("e1", "decode", inEra(era, 5))}, inEra(era, 20))).To(Succeed())
			f.applyDeferred(time.Now())
			g.Expect(f.present("e1")).To(BeFalse(), "era %d", era)
			g.Expect(f.present("e2")).To(BeTrue(), "era %d", era)
			time.Sleep(rewriteTime / 2)
		}
		g.Expect(f.restores).To(Equal(3))
	})
}

// Guards against a second read in an era, while changes are deferred, that misses what was removed since.
func TestSecondReadInEraReportsRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, 20, entry("e1", "decode", 5), entry("e2", "decode", 6))
		f.apply([]store.Event{{Item: entry("e3", "decode", 21)}}, 21)
		g.Expect(f.reset([]store.Item{entry("e1", "decode", inEra(1, 5)), entry("e2", "decode", inEra(1, 6))}, inEra(1, 20))).To(Succeed())
		g.Expect(f.reset([]store.Item{entry("e1", "decode", inEra(1, 5))}, inEra(1, 25))).To(Succeed())
		g.Expect(f.present("e2")).To(BeFalse())
		g.Expect(f.present("e3")).To(BeTrue(), "its entry may still be rewritten")
		time.Sleep(rewriteTime)
		f.applyDeferred(time.Now())
		time.Sleep(time.Second)
		g.Expect(f.ingress.Directory.Usable("llm", runners.Decode, time.Now())).To(HaveLen(1))
	})
}
