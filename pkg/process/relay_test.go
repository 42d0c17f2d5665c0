package process

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/ingress"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform/standin"
)

// fixture is a feed that has read the store at a revision, and what it passed on.
type fixture struct {
	*feed
	sent []store.Event
}

func newFixture(at uint64, items ...store.Item) *fixture {
	log := decisionlog.New("test", io.Discard)
	f := &fixture{feed: newFeed(ingress.New(ingress.Options{Log: log}), log, nil, "")}
	f.orders = func(bool) {}
	f.send = func(changes []store.Event, _ time.Time) { f.sent = append(f.sent, changes...) }
	f.reset(items, at)
	return f
}

// entry is an engine's entry in the store.
func entry(id, stage string, revision uint64) store.Item {
	value, err := json.Marshal(standin.NewRunner(id, "llm", "a", stage).Entry("ready"))
	if err != nil {
		panic(err)
	}
	return store.Item{Key: standin.RunnerKey(id), Value: value, Revision: revision}
}

func (f *fixture) stage(id string) runners.Stage {
	if s := f.ingress.Directory.Find(id); s != nil {
		return s.Stage
	}
	return ""
}

func (f *fixture) present(id string) bool {
	for _, s := range f.ingress.Directory.Present("llm", time.Now().Add(time.Minute)) {
		if s.ID == id {
			return true
		}
	}
	return false
}

func TestAChangeFromARelayIsInForceAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(10, entry("e1", "prefill", 5))
	f.receive([]store.Event{{Item: entry("e1", "decode", 12)}, {Item: entry("e2", "decode", 13)}})
	g.Expect(f.stage("e1")).To(Equal(runners.Decode))
	g.Expect(f.present("e2")).To(BeTrue())
	f.receive([]store.Event{{Item: store.Item{Key: standin.RunnerKey("e2"), Revision: 14}, Gone: true}})
	g.Expect(f.present("e2")).To(BeFalse())
	g.Expect(f.sent).To(BeEmpty(), "what came from a relay is not passed on")
}

func TestAnOlderChangeNeverUndoesANewerOne(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(10, entry("e1", "prefill", 5))
	f.receive([]store.Event{{Item: entry("e1", "decode", 14)}})
	f.receive([]store.Event{{Item: entry("e1", "prefill", 12)}})
	g.Expect(f.stage("e1")).To(Equal(runners.Decode), "relays overtake each other")
	f.apply([]store.Event{{Item: entry("e1", "prefill", 12)}}, 13)
	g.Expect(f.stage("e1")).To(Equal(runners.Decode), "the own watch comes later")
	f.apply([]store.Event{{Item: entry("e1", "decode", 14)}}, 14)
	f.receive([]store.Event{{Item: entry("e1", "prefill", 13)}})
	g.Expect(f.stage("e1")).To(Equal(runners.Decode), "a datagram arrives very late")
	f.apply([]store.Event{{Item: entry("e1", "prefill", 15)}}, 15)
	g.Expect(f.stage("e1")).To(Equal(runners.Prefill))
	g.Expect(f.relayed).To(BeEmpty(), "what the own watch has reached is not remembered")
}

func TestARunnerThatIsGoneIsNotBroughtBackByALateRelay(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(10, entry("e1", "decode", 5))
	f.apply([]store.Event{{Item: store.Item{Key: standin.RunnerKey("e1"), Revision: 12}, Gone: true}}, 12)
	f.receive([]store.Event{{Item: entry("e1", "decode", 11)}})
	g.Expect(f.present("e1")).To(BeFalse())
}

func TestOnlyNewsOfRunnersAndRoutesIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(10)
	f.receive([]store.Event{{Item: entry("e1", "decode", 11)}})
	f.apply([]store.Event{
		{Item: entry("e1", "decode", 11)}, {Item: entry("e2", "decode", 12)},
		{Item: store.Item{Key: gatewayPrefix + "g", Value: []byte("10.0.0.2:1"), Revision: 13}},
		{Item: store.Item{Key: orderKey, Value: []byte("g"), Revision: 14}},
	}, 14)
	g.Expect(f.sent).To(HaveLen(1))
	g.Expect(f.sent[0].Key).To(Equal(standin.RunnerKey("e2")))
}

func TestRelaysAreIgnoredBeforeTheStoreWasRead(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(0)
	f.receive([]store.Event{{Item: entry("e1", "decode", 11)}})
	g.Expect(f.present("e1")).To(BeFalse())
}
