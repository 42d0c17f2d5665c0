package peers

import (
	"encoding/hex"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/subset"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// withOrigins gives a gateway that has not started a table of origins, and returns the replies it receives.
func (w *gateway) withOrigins() (table *resume.Table, replies func() []resume.Reply) {
	var mu sync.Mutex
	var received []resume.Reply
	table = resume.NewTable(w.options.Name)
	w.options.ReceiveOrigins = func(from string, list []resume.Origin) {
		for _, o := range list {
			table.Receive(from, o, time.Now())
		}
	}
	w.options.OriginOf = func(k resume.Key, service string) resume.Reply {
		o, known := table.Find(k, time.Now())
		return resume.Reply{Key: k, Known: known, Version: o.Version, Only: "only of " + service}
	}
	w.options.ReceiveOriginReply = func(_ string, r resume.Reply) {
		mu.Lock()
		defer mu.Unlock()
		received = append(received, r)
	}
	return table, func() []resume.Reply {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(received)
	}
}

// Guards against an origin that only the gateway that began the stream has, and against origins lost because
// datagrams of concurrent requests overtake each other.
func TestOriginsReachOtherGatewaysAtOnce(t *testing.T) {
	g := NewWithT(t)
	a, b := newGateway(t, "a", 1), newGateway(t, "b", 1)
	_, replies := a.withOrigins()
	table, _ := b.withOrigins()
	run(t, a)
	run(t, b)
	g.Expect(a.Add("b", b.address)).To(Succeed())
	asked := func() int {
		n := a.AskOrigin(1, "s")
		return n
	}
	g.Eventually(asked, "20s").Should(Equal(1), "b is alive")

	const streams = 500
	var clients sync.WaitGroup
	for k := range resume.Key(streams) {
		clients.Go(func() {
			a.AnnounceOrigins([]resume.Origin{{Key: 100 + k, Version: "v1", Left: time.Minute}})
		})
	}
	clients.Wait()
	g.Eventually(func() int {
		n, _ := table.Size()
		return n
	}, "20s").Should(Equal(streams))

	a.AskOrigin(100, "s")
	g.Eventually(replies, "20s").Should(ContainElement(resume.Reply{Key: 100, Known: true, Version: "v1", Only: "only of s"}))
}

// Guards against the cost of origins growing with the number of gateways, and against asking gateways that don't keep
// an origin.
func TestFewGatewaysKeepAnOriginAmongMany(t *testing.T) {
	g := NewWithT(t)
	names := make([]string, 300)
	for i := range names {
		names[i] = fmt.Sprintf("g%03d", i)
	}
	begun, resumed := newGateway(t, names[0], 1), newGateway(t, names[1], 1)
	begun.subset.Store(subset.New(names[0], names[1:]))
	// The other gateway lacks some members.
	resumed.subset.Store(subset.New(names[1], append([]string{names[0]}, names[10:]...)))
	for k := range resume.Key(200) {
		keepers, asked := begun.keepers(k, originKeepers), resumed.keepers(k, askedKeepers)
		g.Expect(keepers).To(HaveLen(originKeepers))
		g.Expect(asked).To(HaveLen(askedKeepers))
		common := 0
		for _, name := range keepers {
			if slices.Contains(asked, name) {
				common++
			}
		}
		g.Expect(common).To(BeNumerically(">=", 1))
	}
}

// Guards against origins that are lost because a later datagram of the same gateway arrived first: they are sent once.
func TestOriginsInOvertakenDatagramsAreReceived(t *testing.T) {
	g := NewWithT(t)
	x := newGateway(t, "a", 1)
	table, _ := x.withOrigins()
	now := time.Now()
	g.Expect(x.Add("b", "127.0.0.1:1")).To(Succeed())
	datagram := func(incarnation, sequence, stream uint64) *wirepb.GatewayState {
		return &wirepb.GatewayState{Name: "b", Incarnation: incarnation, Sequence: sequence, StreamOrigins: []*wirepb.StreamOrigin{{Stream: stream, Software: "v1", LeftMs: 60000}}}
	}
	x.receive(datagram(2, 2, 102), nil, now)
	x.receive(datagram(2, 1, 101), nil, now)
	x.receive(datagram(1, 3, 100), nil, now)
	for stream, known := range map[resume.Key]bool{100: false, 101: true, 102: true} {
		_, ok := table.Find(stream, now)
		g.Expect(ok).To(Equal(known), "stream %d", stream)
	}
}

// Guards against a gateway that takes the keepers of an origin for all gateways, or floods a large fleet with questions.
func TestAllGatewaysAreAskedUnlessThereAreTooMany(t *testing.T) {
	g := NewWithT(t)
	w := newGateway(t, "a", 1)
	for i := range maxAsked {
		name := fmt.Sprint("g", i)
		g.Expect(w.Add(name, "127.0.0.1:1")).To(Succeed())
		w.members[name].alive = i > 0
	}
	w.updateSubset()
	asked, all, ok := w.AskOriginOfAll(1, "s")
	g.Expect(ok).To(BeTrue())
	g.Expect(asked).To(Equal(maxAsked-1), "all that are alive")
	g.Expect(all).To(Equal(maxAsked), "silent ones too")
	g.Expect(w.Add("one too many", "127.0.0.1:1")).To(Succeed())
	asked, _, ok = w.AskOriginOfAll(2, "s")
	g.Expect(ok).To(BeFalse())
	g.Expect(asked).To(BeZero())
}

// Guards against a change of the encoding that gateways of other builds would read differently.
func TestEncodingOfOriginsIsFixed(t *testing.T) {
	g := NewWithT(t)
	state := &wirepb.GatewayState{
		Name: "a", StreamOrigins: []*wirepb.StreamOrigin{{Stream: 1, Software: "v1.1", LeftMs: 16000, Runner: 2}},
		OriginQueries: []*wirepb.OriginQuery{{Stream: 3, Service: "s"}},
		OriginReplies: []*wirepb.OriginReply{{Stream: 4, Known: true, Software: "v1", Only: "v2"}, {Stream: 5, Unannounced: "v3"}},
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hex.EncodeToString(data)).To(Equal("0a0161b2011b090100000000000000120476312e3118807d210200000000000000ba010c090300000000000000120173c2011309040000000000000010011a02763122027632c2010d0905000000000000002a027633"))
	var back wirepb.GatewayState
	g.Expect(unmarshal(data, &back)).To(Succeed())
	g.Expect(proto.Equal(&back, state)).To(BeTrue())
}

// Guards against datagrams that are too large to be sent.
func TestOriginsOfOneDatagramFit(t *testing.T) {
	g := NewWithT(t)
	full := make([]*wirepb.StreamOrigin, maxOrigins)
	for i := range full {
		full[i] = &wirepb.StreamOrigin{Stream: 1 << 60, Software: "a-version-of-some-length", LeftMs: 120000, Runner: 1 << 60}
	}
	data, err := proto.Marshal(&wirepb.GatewayState{Name: "front-bkk-ladkrabang-2", StreamOrigins: full})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", maxDatagram))
}
