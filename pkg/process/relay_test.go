package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/ingress"
	"github.com/hopwell/hopwell/pkg/peers"
	"github.com/hopwell/hopwell/pkg/relay"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
	"github.com/hopwell/hopwell/platform/standin"
)

// allEncodings are the features that a gateway of this build decodes.
var allEncodings = relay.Encodings{Deltas: true, Eras: true}

var pace = relay.PaceFor(relay.ShortestBound)

// fixture is a feed that has read the store at a revision, with relays that the test sets.
type fixture struct {
	*feed
	isRelay      bool
	coverage     peers.Freshness
	others       int
	forwarded    int
	gatewaysSeen []string
	restores     int
}

func (f *fixture) IsRelay(time.Time) bool              { return f.isRelay }
func (f *fixture) Freshness(time.Time) peers.Freshness { return f.coverage }
func (f *fixture) MemberCount() int                    { return f.others }
func (f *fixture) RecordStoreResponse(time.Time)       {}
func (f *fixture) SendStoreUpdates(time.Time)          { f.forwarded++ }

func newFixture(t *testing.T, at store.Revision, items ...store.Item) *fixture {
	log := decisionlog.New("test", io.Discard)
	t.Cleanup(func() { log.Close(time.Second) })
	f := &fixture{feed: newFeed(ingress.New(ingress.Options{Log: log}), log, nil, "", pace)}
	f.onOrderLock = func(bool) {}
	f.onGateway = func(name, _ string) { f.gatewaysSeen = append(f.gatewaysSeen, name) }
	f.exchange, f.onRunnerRestart, f.onRestore = f, func(string) {}, func() { f.restores++ }
	if err := f.reset(items, at); err != nil {
		panic(err)
	}
	return f
}

// entry is an engine's entry in the store.
func entry(id, stage string, revision store.Revision) store.Item {
	runner := standin.NewRunner(id, "llm", "a", stage)
	runner.Address = "10.0.0.1:80"
	value, err := json.Marshal(runner.Entry("ready"))
	if err != nil {
		panic(err)
	}
	return store.Item{Key: standin.RunnerKey(id), Value: value, Revision: revision}
}

func update(from, to store.Revision, changes ...store.Event) relay.Update {
	return relay.Update{From: from, To: to, Changes: changes}
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

func TestRelayedChangeIsAppliedAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 10, entry("e1", "prefill", 5))
	g.Expect(f.Receive(update(10, 13, store.Event{Item: entry("e1", "decode", 12)}, store.Event{Item: entry("e2", "decode", 13)}))).To(BeTrue())
	g.Expect(f.stage("e1")).To(Equal(runners.Decode))
	g.Expect(f.present("e2")).To(BeTrue())
	g.Expect(f.Receive(update(13, 14, store.Event{Item: store.Item{Key: standin.RunnerKey("e2"), Revision: 14}, Removed: true}))).To(BeTrue())
	g.Expect(f.present("e2")).To(BeFalse())
	g.Expect(f.Reached()).To(Equal(store.Revision(14)), "the next watch continues from there")
	g.Expect(f.forwarded).To(Equal(2), "to the subscribers of this gateway")
}

func TestUpdateAfterGapIsRejected(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 10, entry("e1", "prefill", 5))
	g.Expect(f.Receive(update(12, 13, store.Event{Item: entry("e1", "decode", 13)}))).To(BeFalse())
	g.Expect(f.stage("e1")).To(Equal(runners.Prefill))
	g.Expect(f.Reached()).To(Equal(store.Revision(10)))
}

func TestOlderChangeDoesNotOverwriteNewerOne(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 10, entry("e1", "prefill", 5))
	f.Receive(update(10, 14, store.Event{Item: entry("e1", "decode", 14)}))
	f.Receive(update(9, 12, store.Event{Item: entry("e1", "prefill", 12)}))
	g.Expect(f.stage("e1")).To(Equal(runners.Decode), "an older update arrives after a newer one from another relay")
	f.apply([]store.Event{{Item: entry("e1", "prefill", 12)}}, 13)
	g.Expect(f.stage("e1")).To(Equal(runners.Decode), "this gateway's own watch returns later")
	g.Expect(f.Reached()).To(Equal(store.Revision(14)))
	f.apply([]store.Event{{Item: entry("e1", "prefill", 15)}}, 15)
	g.Expect(f.stage("e1")).To(Equal(runners.Prefill))
	f.Receive(update(10, 14, store.Event{Item: entry("e1", "decode", 14)}))
	g.Expect(f.stage("e1")).To(Equal(runners.Prefill), "a relayed update arrives after a newer watch")
}

func TestReadOlderThanRelayedStateIsRejected(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 10, entry("e1", "prefill", 5))
	f.Receive(update(10, 14, store.Event{Item: entry("e1", "decode", 14)}))
	g.Expect(f.reset([]store.Item{entry("e1", "prefill", 5)}, 12)).To(BeAssignableToTypeOf(&store.ErrOld{}))
	g.Expect(f.stage("e1")).To(Equal(runners.Decode))
}

func TestLateRelayUpdateDoesNotRestoreRemovedRunner(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 10, entry("e1", "decode", 5))
	f.apply([]store.Event{{Item: store.Item{Key: standin.RunnerKey("e1"), Revision: 12}, Removed: true}}, 12)
	f.Receive(update(10, 11, store.Event{Item: entry("e1", "decode", 11)}))
	g.Expect(f.present("e1")).To(BeFalse())
}

func TestOnlyNeededKeysAreForwarded(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 10)
	f.apply([]store.Event{
		{Item: entry("e1", "decode", 11)},
		{Item: store.Item{Key: "somebody/else", Revision: 12}},
		{Item: store.Item{Key: gatewayPrefix + "g", Value: []byte("10.0.0.2:1"), Revision: 13}},
		{Item: store.Item{Key: orderKey, Value: []byte("g"), Revision: 14}},
	}, 15)
	var keys []string
	for _, c := range f.Since(10, allEncodings, time.Now())[0].Changes {
		keys = append(keys, c.Key)
	}
	g.Expect(keys).To(Equal([]string{standin.RunnerKey("e1"), gatewayPrefix + "g", orderKey}))
	g.Expect(f.gatewaysSeen).To(Equal([]string{"g"}))
}

func TestUpdatesBeforeFirstReadAreRejected(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 0)
	g.Expect(f.Receive(update(0, 11, store.Event{Item: entry("e1", "decode", 11)}))).To(BeFalse())
	g.Expect(f.present("e1")).To(BeFalse())
}

// Guards against an incomplete update that counts as a confirmation: the subscribers of this gateway
// would rely on it.
func TestIncompleteUpdateConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 10)
	_, before := f.history.Reached()
	time.Sleep(time.Millisecond)
	g.Expect(f.Receive(relay.Update{From: 10, To: 11, Truncated: true})).To(BeTrue())
	at, after := f.history.Reached()
	g.Expect(at).To(Equal(store.Revision(11)))
	g.Expect(after).To(Equal(before))
	f.Receive(relay.Update{From: 11, To: 11})
	_, after = f.history.Reached()
	g.Expect(after).To(BeTemporally(">", before))
}

// A process that starts during a store outage loads the state of another gateway, and relays send
// the later changes; it need not read the store itself.
func TestRelayUpdatesContinueFromPeerState(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 0)
	var free []bool
	f.onOrderLock = func(isFree bool) { free = append(free, isFree) }
	f.loadPeerState(sharedState{At: 10, Items: []store.Item{entry("e1", "prefill", 5), {Key: orderKey, Value: []byte("g"), Revision: 7}}})
	g.Expect(f.Receive(update(10, 12, store.Event{Item: entry("e1", "decode", 11)},
		store.Event{Item: store.Item{Key: orderKey, Revision: 12}, Removed: true}))).To(BeTrue())
	g.Expect(f.stage("e1")).To(Equal(runners.Decode))
	g.Expect(free).To(Equal([]bool{false, true}))
	at, _ := f.relayed(t.Context())
	g.Expect(at).To(Equal(store.Revision(12)))
}

// timeToNextWatch returns how long a feed waits before its next watch of the store.
func (f *fixture) timeToNextWatch(t *testing.T) time.Duration {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	began := time.Now()
	f.relayed(ctx)
	return time.Since(began)
}

func TestStoreIsNotWatchedWhileRelaysAreFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, 10)
		g.Expect(f.timeToNextWatch(t)).To(Equal(delayAfterFirstRead), "the store has just been read")
		g.Expect(f.timeToNextWatch(t)).To(BeZero(), "no relay has sent anything")
		f.coverage.FreshUntil = time.Now().Add(pace.StaleAfter)
		g.Expect(f.timeToNextWatch(t)).To(Equal(pace.StaleAfter), "both relays have stopped, are paused or unreachable")
		f.coverage.FreshUntil = time.Now().Add(time.Hour)
		f.timeToNextWatch(t)
		g.Expect(f.timeToNextWatch(t)).To(And(BeNumerically(">=", confirmInterval/2), BeNumerically("<=", 2*confirmInterval)), "although no call succeeded meanwhile")
		f.isRelay = true
		g.Expect(f.timeToNextWatch(t)).To(BeZero(), "a relay watches the store")
	})
}

func TestNewRelayWatchesStoreAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, 10)
		f.coverage.FreshUntil = time.Now().Add(time.Hour)
		time.Sleep(delayAfterFirstRead)
		time.AfterFunc(100*time.Millisecond, f.OnFirstSubscriber)
		g.Expect(f.timeToNextWatch(t)).To(Equal(100 * time.Millisecond))
	})
}

// A change that is too large for a datagram must be read from the store at once.
func TestChangeTooLargeForDatagramIsReadFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, 10)
		f.coverage.FreshUntil = time.Now().Add(time.Hour)
		time.Sleep(delayAfterFirstRead)
		time.AfterFunc(100*time.Millisecond, func() { f.Receive(relay.Update{From: 10, To: 11, Truncated: true}) })
		g.Expect(f.timeToNextWatch(t)).To(Equal(100 * time.Millisecond))
	})
}

// While no gateway reaches the store, gateways whose relays respond must call it rarely.
func TestUnreachableStoreIsCalledRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, 10)
		f.storeCopy.setReachable(false)
		time.Sleep(delayAfterFirstRead)
		f.coverage = peers.Freshness{FreshUntil: time.Now().Add(-time.Second), RelayResponding: true}
		g.Expect(f.timeToNextWatch(t)).To(BeZero())
		g.Expect(f.timeToNextWatch(t)).To(And(BeNumerically(">=", outageRetryDelay/2), BeNumerically("<=", 2*outageRetryDelay)))
		f.coverage.RelayResponding = false
		g.Expect(f.timeToNextWatch(t)).To(BeZero(), "no relay will report that the store responds again")
	})
}

// Guards against subscribers that all read the store again after a relay had to.
func TestRepeatedReadIsForwardedAsChanges(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 10, entry("e1", "prefill", 5), entry("e2", "decode", 6), entry("e3", "decode", 7))
	f.apply([]store.Event{{Item: entry("e4", "decode", 12)}}, 12)
	forwardedBefore := f.forwarded
	g.Expect(f.reset([]store.Item{entry("e1", "decode", 15), entry("e2", "decode", 6), entry("e4", "prefill", 14), entry("e5", "decode", 21)}, 20)).To(Succeed())
	g.Expect(f.forwarded).To(Equal(forwardedBefore + 1))
	updates := f.Since(11, allEncodings, time.Now())
	g.Expect(updates).To(HaveLen(1))
	g.Expect(updates[0].Truncated).To(BeFalse(), "a subscriber need not read the store")
	g.Expect(updates[0].To).To(Equal(store.Revision(20)))

	other := newFixture(t, 11, entry("e1", "prefill", 5), entry("e2", "decode", 6), entry("e3", "decode", 7))
	g.Expect(other.Receive(updates[0])).To(BeTrue())
	g.Expect(other.stage("e1")).To(Equal(runners.Decode))
	g.Expect(other.stage("e4")).To(Equal(runners.Prefill))
	g.Expect(other.present("e2")).To(BeTrue())
	g.Expect(other.present("e3")).To(BeFalse(), "it was removed meanwhile")
	g.Expect(other.present("e5")).To(BeFalse(), "it was added during the read: the next watch reports it")
	g.Expect(other.Reached()).To(Equal(store.Revision(20)))
}

// Guards against confirmations whose rate grows with the number of gateways.
func TestTotalConfirmationRateIsBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 10)
	for _, others := range []int{0, 30, 356, 712} {
		f.others = others
		var sum time.Duration
		const draws = 2000
		for range draws {
			sum += f.confirmDelay()
		}
		perSecond := float64(others+1) / (sum / draws).Seconds()
		g.Expect(perSecond).To(BeNumerically("<", 1.1), "%d gateways", others+1)
		g.Expect(sum / draws).To(BeNumerically(">=", 29*time.Second))
	}
}

// largeConfig is a configuration that is larger than a datagram.
func largeConfig(version int, revision store.Revision) store.Item {
	routes := make([]any, 300)
	for i := range routes {
		routes[i] = map[string]any{"name": fmt.Sprint("r", i), "host": "h", "pathPrefix": fmt.Sprintf("/p%d/", i), "kind": "safe", "service": "s", "timeoutMs": 1000 + version}
		if i > 0 {
			routes[i].(map[string]any)["timeoutMs"] = 1000
		}
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": []any{map[string]any{"name": "s"}}})
	if err != nil {
		panic(err)
	}
	return store.Item{Key: platform.ConfigKey, Value: value, Revision: revision}
}

func TestLargeConfigurationIsRelayedAsDelta(t *testing.T) {
	g := NewWithT(t)
	first := largeConfig(1, 5)
	relay, f, mismatched := newFixture(t, 10, first), newFixture(t, 10, first), newFixture(t, 10, largeConfig(1, 6))
	relay.apply([]store.Event{{Item: largeConfig(2, 12)}, {Item: entry("e1", "decode", 13)}}, 13)
	updates := relay.Since(10, allEncodings, time.Now())
	g.Expect(updates).To(HaveLen(1))
	g.Expect(updates[0].Bytes()).To(BeNumerically("<", 2000))
	g.Expect(f.Receive(updates[0])).To(BeTrue())
	g.Expect(f.ingress.Version()).To(Equal(uint64(2)))
	g.Expect(f.stage("e1")).To(Equal(runners.Decode))
	g.Expect(f.Receive(updates[0])).To(BeTrue(), "the other relay sends the same update")
	g.Expect(f.ingress.Version()).To(Equal(uint64(2)))
	state, _ := f.storeCopy.export(time.Now())
	for _, i := range state.Items {
		if i.Key == platform.ConfigKey {
			g.Expect(i.Value).To(Equal(largeConfig(2, 12).Value))
		}
	}

	other := relay.Since(10, allEncodings, time.Now())
	other[0].Deltas[0].Bytes = append([]byte{2}, other[0].Deltas[0].Bytes...)
	mismatched.Receive(other[0])
	g.Expect(mismatched.ingress.Version()).To(Equal(uint64(1)), "a delta that can't be applied is left out")
	g.Expect(mismatched.Reached()).To(Equal(store.Revision(11)), "and the watch that follows reports it")
	g.Expect(mismatched.stage("e1")).To(BeEmpty(), "together with the later changes")
}

// Guards against gateways that all read the store when it drops its history.
func TestGatewaysWaitForRelaysWhenStoreDropsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, 10, entry("e1", "prefill", 5))
		f.coverage.RelayResponding = true
		go func() {
			time.Sleep(pace.WatchWait / 2)
			f.Receive(update(10, 20, store.Event{Item: entry("e1", "decode", 15)}))
		}()
		began := time.Now()
		g.Expect(f.forgotten(t.Context(), 10)).To(Equal(store.Revision(20)))
		g.Expect(time.Since(began)).To(BeNumerically("<", pace.WatchWait))

		began = time.Now()
		g.Expect(f.forgotten(t.Context(), 20)).To(BeZero(), "relays send nothing: the gateway reads the store itself")
		g.Expect(time.Since(began)).To(BeNumerically("~", pace.WatchWait, 2*forgottenPollInterval))
		f.isRelay = true
		began = time.Now()
		g.Expect(f.forgotten(t.Context(), 20)).To(BeZero())
		f.isRelay, f.coverage.RelayResponding = false, false
		g.Expect(f.forgotten(t.Context(), 20)).To(BeZero())
		g.Expect(time.Since(began)).To(BeZero(), "relays, and gateways without relays, read at once")
	})
}

// Guards against a gateway that becomes a relay and then confirms its copy of the store only after the longest watch, so
// that API keys count as unconfirmed.
func TestWatchOfNewRelayIsAsShortAsThoseOfOthers(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 1)
	f.OnFirstSubscriber()
	_, wait := f.relayed(t.Context())
	g.Expect(wait).To(BeNumerically(">", 0), "0 stands for the longest watch")
	g.Expect(wait).To(BeNumerically("<=", pace.WatchWait))
}
