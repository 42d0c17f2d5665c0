package process

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/store"
)

// recordItem is the record of a service's versions in the store.
func recordItem(revision store.Revision, versions ...string) store.Item {
	value, err := resume.Record{Versions: versions, Lifetime: 15 * time.Second}.Encode()
	if err != nil {
		panic(err)
	}
	return store.Item{Key: recordPrefix + "llm", Value: value, Revision: revision}
}

// newLateFixture is a feed that loaded the state of another gateway, which lacks a second version, and then read the
// store, which has a batch with the origin of a stream at it.
func newLateFixture(t *testing.T, stream resume.Key) *fixture {
	batch, err := resume.NewBatch([]resume.Origin{{Key: stream, Version: "v2", Left: 15 * time.Second}}).Encode()
	if err != nil {
		panic(err)
	}
	f := newFixture(t, 0)
	f.loadPeerState(sharedState{At: 10, Items: []store.Item{recordItem(5, "v1")}})
	if err := f.reset([]store.Item{recordItem(12, "v1", "v2"), {Key: batchPrefix + "g/1-1", Value: batch, Revision: 13}}, 20); err != nil {
		panic(err)
	}
	return f
}

// Guards against a gateway that started from another gateway's older copy of the store, after a second version came, and
// that claims to have run since before and to know of all streams that it began.
func TestGatewayThatStartedFromOlderCopyHasNotRunSinceSoleVersion(t *testing.T) {
	g := NewWithT(t)
	reply := newLateFixture(t, 7).ingress.OriginOf(8, "llm")
	g.Expect(reply.Unannounced).To(BeEmpty(), "the process before may have begun streams at v2")
}

// Guards against a gateway that started from another gateway's copy of the store and never reads the batches of origins.
func TestBatchesAreReadAfterTheStateOfAnotherGateway(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newLateFixture(t, 7).ingress.OriginOf(7, "llm").Known).To(BeTrue())
}
