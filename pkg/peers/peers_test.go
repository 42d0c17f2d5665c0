package peers

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/spectest"
	"github.com/hopwell/hopwell/pkg/subset"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// gateway is an exchange with the state that it received.
type gateway struct {
	*Exchange
	address  string
	mu       sync.Mutex
	received map[string]enginepool.Snapshot
	// feed is its copy of the store.
	feed *fakeStoreFeed
	// changes are the stage changes that it received.
	changes []runners.StageChange
	// fullRequested says for each call of Snapshots whether it requested all reservations.
	fullRequested []bool
}

func (w *gateway) receivedFrom(name string) (enginepool.Snapshot, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.received[name]
	return p, ok
}

// newGateway returns an exchange with one reservation of the given size, in tokens, at a runner of
// its own. The size is also its configuration version.
func newGateway(t *testing.T, name string, load int) *gateway {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &gateway{address: conn.LocalAddr().String(), received: map[string]enginepool.Snapshot{}, feed: &fakeStoreFeed{}}
	w.Exchange = New(Options{
		Name: name, Address: w.address, Conn: conn, Version: func() uint64 { return uint64(load) },
		Outcomes: func() []runners.Outcome { return nil },
		ReceiveStageChanges: func(changes []runners.StageChange) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.changes = append(w.changes, changes...)
		},
		Snapshots: func(since map[string]uint64) (map[string]enginepool.Snapshot, map[string]uint64) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.fullRequested = append(w.fullRequested, since == nil)
			return map[string]enginepool.Snapshot{"llm": oneLoad(name+"-runner", load, 1)}, map[string]uint64{"llm": 1}
		},
		ReceiveSnapshot: func(from, _ string, snapshot enginepool.Snapshot) error {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.received[from] = snapshot
			return nil
		},
		Store: w.feed, Notices: notice.New(),
		Changed: func(string, string, int) {}, Failed: func(err error) { t.Log(err) },
	})
	return w
}

func oneLoad(runner string, now, left int) enginepool.Snapshot {
	return enginepool.Snapshot{Full: true, Engines: []enginepool.EngineLoad{{Runner: runner, Loads: []enginepool.Load{{Now: now, Left: left}}}}}
}

func start(t *testing.T, name string, load int) *gateway {
	w := newGateway(t, name, load)
	run(t, w)
	return w
}

// run runs a gateway until the test ends.
func run(t *testing.T, w *gateway) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// Three gateways of which each is given the address of at most one other must discover all.
func TestGatewaysDiscoverEachOtherThroughPeers(t *testing.T) {
	g := NewWithT(t)
	a, b, c := start(t, "a", 10), start(t, "b", 20), start(t, "c", 30)
	g.Expect(b.Add("a", a.address)).To(Succeed())
	g.Expect(c.Add("b", b.address)).To(Succeed())
	for _, pair := range []struct {
		at   *gateway
		from string
		load int
	}{{a, "b", 20}, {a, "c", 30}, {b, "a", 10}, {b, "c", 30}, {c, "a", 10}, {c, "b", 20}} {
		g.Eventually(func() int {
			p, ok := pair.at.receivedFrom(pair.from)
			if !ok || len(p.Engines) == 0 {
				return 0
			}
			return p.Engines[0].Loads[0].Now
		}, "20s").Should(Equal(pair.load))
	}
	g.Expect(a.MemberCount()).To(Equal(2))
	g.Expect(a.Addresses()[0]).To(Equal(c.address), "the newest configuration first")
	g.Expect(a.Rank()).To(Equal(0))
	g.Expect(c.Rank()).To(Equal(2))
}

func TestOldDatagramsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	a := start(t, "a", 1)
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	receive := func(incarnation, sequence uint64, load uint32) {
		a.receive(&wirepb.GatewayState{Name: "z", Address: "127.0.0.1:1", Incarnation: incarnation, Sequence: sequence,
			Pools: []*wirepb.GatewayPool{{Service: "llm", Engines: []*wirepb.EngineLoad{{Runner: "r", Now: []uint32{load}, Left: []uint32{0}}}}}}, from, time.Now())
	}
	currentLoad := func() int { p, _ := a.receivedFrom("z"); return p.Engines[0].Loads[0].Now }
	receive(5, 2, 100)
	receive(5, 1, 50)
	g.Expect(currentLoad()).To(Equal(100))
	receive(6, 1, 7)
	g.Expect(currentLoad()).To(Equal(7))
	receive(5, 9, 100)
	g.Expect(currentLoad()).To(Equal(7))
}

func TestSilentPeersAreRemovedAfterRememberFor(t *testing.T) {
	g := NewWithT(t)
	a := start(t, "a", 1)
	g.Expect(a.Add("z", "127.0.0.1:1")).To(Succeed())
	now := time.Now()
	a.sweep(now.Add(2 * minAliveTime))
	g.Expect(a.MemberCount()).To(Equal(1))
	a.sweep(now.Add(2 * MemberTTL))
	g.Expect(a.MemberCount()).To(Equal(0))
}

func TestSnapshotsSurviveEncoding(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := enginepool.Snapshot{Full: rapid.Bool().Draw(t, "full"), Waiting: rapid.IntRange(0, 9).Draw(t, "waiting")}
		for i := range rapid.IntRange(0, 4).Draw(t, "engines") {
			e := enginepool.EngineLoad{Runner: string(rune('a' + i)), PrefillTokens: rapid.IntRange(0, 999).Draw(t, "reading"),
				Speed: float64(rapid.IntRange(0, 9999).Draw(t, "speed")), SpeedAge: time.Duration(rapid.IntRange(0, 9999).Draw(t, "age")) * time.Millisecond,
				PrefillSpeed: float64(rapid.IntRange(0, 99999).Draw(t, "prefill speed")), Preempted: float64(rapid.IntRange(0, 99).Draw(t, "preempted")) * outcomeUnit}
			for range rapid.IntRange(0, 3).Draw(t, "loads") {
				e.Loads = append(e.Loads, enginepool.Load{Now: rapid.IntRange(0, 9999).Draw(t, "now"), Left: rapid.IntRange(0, 999).Draw(t, "left"), Generated: rapid.IntRange(0, 999).Draw(t, "generated")})
			}
			s.Engines = append(s.Engines, e)
		}
		g.Expect(decodeSnapshots(encodeSnapshots(map[string]enginepool.Snapshot{"llm": s}))["llm"]).To(Equal(s))
	})
}

// An earlier build sends no tokens generated and no speeds: they are unknown, and its loads still count.
func TestEngineLoadOfEarlierBuildIsUnderstood(t *testing.T) {
	g := NewWithT(t)
	l := decodeEngineLoad(&wirepb.EngineLoad{Runner: "e", Now: []uint32{10, 20}, Left: []uint32{1, 2}})
	g.Expect(l).To(Equal(enginepool.EngineLoad{Runner: "e", Loads: []enginepool.Load{{Now: 10, Left: 1}, {Now: 20, Left: 2}}}))
	l = decodeEngineLoad(&wirepb.EngineLoad{Runner: "e", Now: []uint32{10}, Left: []uint32{1}, Generated: []uint32{3, 4}})
	g.Expect(l.Loads).To(Equal([]enginepool.Load{{Now: 10, Left: 1}}))
}

// A change must be sent at once, in a datagram with the changes alone.
func TestChangesAreSentAtOnce(t *testing.T) {
	g := NewWithT(t)
	a, b := start(t, "a", 10), start(t, "b", 20)
	g.Expect(b.Add("a", a.address)).To(Succeed())
	g.Eventually(func() bool { _, ok := a.receivedFrom("b"); return ok }, "20s").Should(BeTrue())
	a.mu.Lock()
	clear(a.received)
	a.mu.Unlock()
	b.Notify()
	g.Eventually(func() bool { _, ok := a.receivedFrom("b"); return ok }, "20s").Should(BeTrue())
	b.mu.Lock()
	defer b.mu.Unlock()
	g.Expect(b.fullRequested).To(ContainElement(false))
}

// A gateway that detects a gap in the sequence must request the full state until it receives it.
func TestSequenceGapRequestsFullState(t *testing.T) {
	g := NewWithT(t)
	a := newGateway(t, "a", 1)
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	receive := func(sequence uint64, full bool) bool {
		s := &wirepb.GatewayState{Name: "z", Incarnation: 5, Sequence: sequence}
		if full {
			s.Address = "127.0.0.1:1"
		}
		a.receive(s, from, time.Now())
		return a.members["z"].lostData
	}
	g.Expect(receive(1, true)).To(BeFalse())
	g.Expect(receive(2, false)).To(BeFalse())
	g.Expect(receive(4, false)).To(BeTrue())
	g.Expect(receive(5, false)).To(BeTrue())
	g.Expect(receive(6, true)).To(BeFalse())
	a.receive(&wirepb.GatewayState{Name: "z", Incarnation: 5, Sequence: 7, WantFull: true}, from, time.Now())
	g.Expect(a.members["z"].needsFull).To(BeTrue())
}

// With many gateways, a change must go only to the few that use the engine, and the total rate of a
// gateway's heartbeats must stay the same.
func TestChangesAndHeartbeatsAreBoundedWithManyGateways(t *testing.T) {
	g := NewWithT(t)
	a := newGateway(t, "a", 1)
	for i := range 400 {
		name := fmt.Sprintf("g%03d", i)
		g.Expect(a.Add(name, fmt.Sprintf("127.0.0.1:%d", 1000+i))).To(Succeed())
		a.members[name].alive = true
	}
	a.updateSubset()
	receivers := 0
	for name := range a.members {
		if len(a.changesFor(name, map[string]enginepool.Snapshot{"llm": {Engines: []enginepool.EngineLoad{{Runner: "e"}}}})) > 0 {
			receivers++
		}
	}
	g.Expect(receivers).To(And(BeNumerically(">=", subset.GatewaysPerEngine-1), BeNumerically("<=", subset.GatewaysPerEngine)))
	g.Expect(float64(len(a.members)) / a.heartbeat().Seconds()).To(BeNumerically("<", 34))
}

// No datagram may crash the decoding of snapshots.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte("\n\x01z"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s wirepb.GatewayState
		if unmarshal(data, &s) != nil {
			return
		}
		decodeSnapshots(&s)
	})
}

// Outcomes that a gateway reports of a failing runner must reach the others, with whether the
// gateway is in the same failure domain.
func TestOutcomesReachOtherGateways(t *testing.T) {
	g := NewWithT(t)
	reported := []runners.Outcome{{Runner: "r", Failed: 1.5, Total: 4}}
	state := encodeSnapshots(nil)
	state.Outcomes = encodeOutcomes(reported)
	g.Expect(decodeOutcomes(state.Outcomes)).To(Equal(reported))

	var from string
	var fromSameDomain bool
	var received []runners.Outcome
	x := New(Options{
		Name: "a", Domain: "east", Failed: func(error) {}, ReceiveSnapshot: func(string, string, enginepool.Snapshot) error { return nil }, Changed: func(string, string, int) {},
		ReceiveOutcomes: func(gateway string, sameDomain bool, list []runners.Outcome) {
			from, fromSameDomain, received = gateway, sameDomain, list
		},
	})
	state.Name, state.Address, state.Incarnation, state.Sequence, state.Domain = "b", "127.0.0.1:1", 1, 1, "east"
	x.receive(state, nil, time.Now())
	g.Expect(from).To(Equal("b"))
	g.Expect(fromSameDomain).To(BeTrue())
	g.Expect(received).To(Equal(reported))
}

// A stage change must be sent at once to each gateway, also by a gateway without load.
func TestStageChangesReachAllGateways(t *testing.T) {
	g := NewWithT(t)
	a, b, c := start(t, "a", 1), start(t, "b", 1), start(t, "c", 1)
	g.Expect(b.Add("a", a.address)).To(Succeed())
	g.Expect(c.Add("a", a.address)).To(Succeed())
	for _, w := range []*gateway{b, c} {
		g.Eventually(func() bool { _, ok := a.receivedFrom(w.options.Name); return ok }, "20s").Should(BeTrue())
	}
	changes := []runners.StageChange{{Runner: "e", To: runners.Prefill, Remaining: 1500 * time.Millisecond}}
	a.SendStageChanges(changes, time.Now())
	for _, w := range []*gateway{b, c} {
		g.Eventually(func() []runners.StageChange { w.mu.Lock(); defer w.mu.Unlock(); return w.changes }, "20s").Should(Equal(changes))
	}
}

// The outcomes that a gateway sends in a second must be bounded whatever fails, and hardly grow with
// the number of gateways. Each gateway must get its turn.
func TestOutcomeReportsAreBoundedWithManyGateways(t *testing.T) {
	g := NewWithT(t)
	a := newGateway(t, "a", 1)
	var all []runners.Outcome
	for i := range 3000 {
		all = append(all, runners.Outcome{Runner: fmt.Sprintf("i-%010d", i), Failed: float64(i % 7), Total: 8, Unusable: i == 1234, Stage: runners.Decode})
	}
	reported := worstOutcomes(all)
	g.Expect(reported).To(HaveLen(maxOutcomes))
	g.Expect(reported[0].Unusable).To(BeTrue())
	g.Expect(reported[1].Failed).To(Equal(6.0))
	for _, gateways := range []int{10, 24, 100, 400} {
		for i := len(a.members); i < gateways; i++ {
			g.Expect(a.Add(fmt.Sprintf("g%03d", i), fmt.Sprintf("127.0.0.1:%d", 1000+i))).To(Succeed())
		}
		informed := map[string]bool{}
		turns := 0
		for len(informed) < gateways {
			now := a.outcomeReceivers(true)
			g.Expect(len(now)).To(BeNumerically("<=", subset.GatewaysPerEngine))
			for name := range now {
				informed[name] = true
			}
			turns++
		}
		if gateways <= subset.GatewaysPerEngine {
			g.Expect(turns).To(Equal(1))
		}
	}
	g.Expect(a.outcomeReceivers(true)).To(HaveLen(minReceivers))
	g.Expect(a.outcomeReceivers(false)).To(BeEmpty())
}

// Jobs that begin and cease to wait many times a second must not cause a datagram to all gateways each.
func TestWaitingIsSentAtBoundedRate(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{24, 102, 355} {
		a := newGateway(t, "a", 1)
		for i := range n {
			name := fmt.Sprintf("g%03d", i)
			g.Expect(a.Add(name, fmt.Sprintf("127.0.0.1:%d", 1000+i))).To(Succeed())
			a.members[name].alive = true
		}
		a.updateSubset()
		now, datagrams := time.Now(), 0
		for i := range 1000 {
			// The last change is not followed by another, but by a change of load.
			changed := map[string]enginepool.Snapshot{"llm": {WaitingChanged: i < 500}}
			a.limitWaiting(changed, now.Add(time.Duration(i)*20*time.Millisecond))
			for name := range a.members {
				datagrams += len(a.changesFor(name, changed))
			}
		}
		g.Expect(datagrams).To(And(BeNumerically(">", n), BeNumerically("<=", 50*20+n)))
		g.Expect(a.waitingLeft["llm"]).To(BeFalse())
	}
}
