package peers

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/spectest"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// gateway is one exchange with the snapshots that it received.
type gateway struct {
	*Exchange
	address  string
	mu       sync.Mutex
	received map[string]enginepool.Snapshot
}

func (w *gateway) from(name string) (enginepool.Snapshot, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.received[name]
	return p, ok
}

func start(t *testing.T, name string, load int) *gateway {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &gateway{address: conn.LocalAddr().String(), received: map[string]enginepool.Snapshot{}}
	w.Exchange = New(Options{
		Name: name, Address: w.address, Conn: conn, Outcomes: func() []runners.Outcome { return nil }, StageChanges: func() []runners.StageChange { return nil }, Version: func() uint64 { return uint64(load) },
		Snapshots: func() map[string]enginepool.Snapshot {
			return map[string]enginepool.Snapshot{"llm": {Loads: []enginepool.Load{{Runner: name + "-runner", Now: load, Left: 1}}}}
		},
		ReceiveSnapshot: func(from, _ string, snapshots enginepool.Snapshot) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.received[from] = snapshots
		},
		Changed: func(string, string, int) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return w
}

// Three gateways of which each knows one other hear all of each other.
func TestGatewaysFindEachOtherThroughOthers(t *testing.T) {
	g := NewWithT(t)
	a, b, c := start(t, "a", 10), start(t, "b", 20), start(t, "c", 30)
	b.Add("a", a.address)
	c.Add("b", b.address)
	for _, pair := range []struct {
		at   *gateway
		from string
		load int
	}{{a, "b", 20}, {a, "c", 30}, {b, "a", 10}, {b, "c", 30}, {c, "a", 10}, {c, "b", 20}} {
		g.Eventually(func() int {
			p, ok := pair.at.from(pair.from)
			if !ok || len(p.Loads) == 0 {
				return 0
			}
			return p.Loads[0].Now
		}, "20s").Should(Equal(pair.load))
	}
	g.Expect(a.Known()).To(Equal(2))
	g.Expect(a.Addresses()[0]).To(Equal(c.address), "the newest configuration first")
	g.Expect(a.Rank()).To(Equal(0))
	g.Expect(c.Rank()).To(Equal(2))
}

func TestOldDatagramsAreLeft(t *testing.T) {
	g := NewWithT(t)
	a := start(t, "a", 1)
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	say := func(incarnation, sequence uint64, load uint32) {
		a.receive(&wirepb.GatewayState{Name: "z", Address: "127.0.0.1:1", Incarnation: incarnation, Sequence: sequence,
			Pools: []*wirepb.GatewayPool{{Service: "llm", Engines: []*wirepb.EngineLoad{{Runner: "r", Now: []uint32{load}, Left: []uint32{0}}}}}}, from, time.Now())
	}
	now := func() int { p, _ := a.from("z"); return p.Loads[0].Now }
	say(5, 2, 100)
	say(5, 1, 50)
	g.Expect(now()).To(Equal(100))
	say(6, 1, 7)
	g.Expect(now()).To(Equal(7))
	say(5, 9, 100)
	g.Expect(now()).To(Equal(7))
}

func TestSilentPeersAreForgottenLate(t *testing.T) {
	g := NewWithT(t)
	a := start(t, "a", 1)
	a.Add("z", "127.0.0.1:1")
	now := time.Now()
	a.sweep(now.Add(2 * aliveFor))
	g.Expect(a.Known()).To(Equal(1))
	a.sweep(now.Add(2 * rememberFor))
	g.Expect(a.Known()).To(Equal(0))
}

func TestWhatIsToldIsWhatIsHeard(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		now := time.Now()
		p := enginepool.Snapshot{Reading: map[string]int{}, Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"), At: now}
		byRunner := map[string]int{}
		for range rapid.IntRange(0, 9).Draw(t, "loads") {
			l := enginepool.Load{Runner: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "runner"), Now: rapid.IntRange(0, 9999).Draw(t, "now"), Left: rapid.IntRange(0, 999).Draw(t, "left")}
			p.Loads = append(p.Loads, l)
			byRunner[l.Runner] += l.Now*1000 + l.Left
		}
		if n := rapid.IntRange(0, 999).Draw(t, "reading"); n > 0 {
			p.Reading["x"] = n
		}
		back := decode(encode(map[string]enginepool.Snapshot{"llm": p}), now)["llm"]
		g.Expect(back.Waiting).To(Equal(p.Waiting))
		g.Expect(back.Reading).To(Equal(p.Reading))
		for _, l := range back.Loads {
			byRunner[l.Runner] -= l.Now*1000 + l.Left
		}
		for _, n := range byRunner {
			g.Expect(n).To(BeZero())
		}
	})
}

// No datagram makes a gateway fail.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte("\n\x01z"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s wirepb.GatewayState
		if unmarshal(data, &s) != nil {
			return
		}
		decode(&s, time.Now())
	})
}

// What a gateway saw of a failing runner reaches the others, with its failure
// domain.
func TestOutcomesTravelBetweenGateways(t *testing.T) {
	g := NewWithT(t)
	reported := []runners.Outcome{{Runner: "r", Failed: 1.5, Total: 4}}
	state := encode(map[string]enginepool.Snapshot{})
	state.Outcomes = encodeOutcomes(reported)
	g.Expect(decodeOutcomes(state.Outcomes)).To(Equal(reported))

	var from string
	var near bool
	var heard []runners.Outcome
	x := New(Options{
		Name: "a", Domain: "east", ReceiveSnapshot: func(string, string, enginepool.Snapshot) {}, Changed: func(string, string, int) {},
		ReceiveOutcomes: func(gateway string, sameDomain bool, list []runners.Outcome) {
			from, near, heard = gateway, sameDomain, list
		},
	})
	state.Name, state.Address, state.Incarnation, state.Sequence, state.Domain = "b", "127.0.0.1:1", 1, 1, "east"
	x.receive(state, nil, time.Now())
	g.Expect(from).To(Equal("b"))
	g.Expect(near).To(BeTrue())
	g.Expect(heard).To(Equal(reported))
}

// An order to an engine is reported at once, also by a gateway without load.
func TestStageChangesTravelBetweenGateways(t *testing.T) {
	g := NewWithT(t)
	changes := []runners.StageChange{{Runner: "e", To: runners.Prefill, Left: 1500 * time.Millisecond}}
	var received []runners.StageChange
	x := New(Options{
		Name: "a", ReceiveSnapshot: func(string, string, enginepool.Snapshot) {}, Changed: func(string, string, int) {},
		ReceiveStageChanges: func(list []runners.StageChange) { received = list },
	})
	state := &wirepb.GatewayState{Name: "b", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, StageChanges: encodeStageChanges(changes)}
	x.receive(state, nil, time.Now())
	g.Expect(received).To(Equal(changes))
}
