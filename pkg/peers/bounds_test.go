package peers

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// Guards against datagrams that name gateways without end: each is remembered, and is sent datagrams.
func TestMembershipListIsBounded(t *testing.T) {
	g := NewWithT(t)
	var failures []error
	x := New(Options{
		Name: "a", Failed: func(err error) { failures = append(failures, err) }, Changed: func(string, string, int) {},
		ReceiveSnapshot: func(string, string, enginepool.Snapshot) error { return nil },
	})
	now := time.Now()
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}
	for i := range 20 {
		s := &wirepb.GatewayState{Name: "b", Incarnation: 1, Sequence: uint64(i + 1)}
		for n := range 300 {
			s.Peers = append(s.Peers, &wirepb.GatewayPeer{Name: fmt.Sprintf("g-%d-%d", i, n), Address: "127.0.0.1:9"})
		}
		x.receive(s, from, now)
	}
	g.Expect(x.MemberCount()).To(Equal(maxMembers))
	var large *memory.ErrTooLarge
	g.Expect(errors.As(failures[0], &large)).To(BeTrue())
	g.Expect(large.Size).To(BeEquivalentTo(maxMembers + 1))
	g.Expect(large.Bound).To(BeEquivalentTo(maxMembers))
	g.Expect(x.Add("g-0-1", "127.0.0.1:9")).To(Succeed(), "it is in the list")
	x.sweep(now.Add(2 * MemberTTL))
	g.Expect(x.Add("new", "127.0.0.1:9")).To(Succeed())
}

// Guards against names of 16 KB in a datagram, which tables remember by the thousand.
func TestDatagramWithLongNameIsRejected(t *testing.T) {
	long := strings.Repeat("n", maxName+1)
	for field, s := range map[string]*wirepb.GatewayState{
		"name": {Name: long}, "domain": {Domain: long}, "address": {Address: long},
		"peer":              {Peers: []*wirepb.GatewayPeer{{Name: long}}},
		"address of a peer": {Peers: []*wirepb.GatewayPeer{{Address: long}}},
		"service":           {Pools: []*wirepb.GatewayPool{{Service: long}}},
		"engine":            {Pools: []*wirepb.GatewayPool{{Engines: []*wirepb.EngineLoad{{Runner: long}}}}},
		"change":            {StageChanges: []*wirepb.StageChange{{Runner: long}}},
		"limit":             {Limits: []*wirepb.RunnerLimit{{Runner: long}}},
		"leaving":           {LeavingRunners: []string{"r", long}},
		"origin":            {StreamOrigins: []*wirepb.StreamOrigin{{Software: long}}},
		"reply":             {OriginReplies: []*wirepb.OriginReply{{Software: long}}},
		"only":              {OriginReplies: []*wirepb.OriginReply{{Only: long}}},
	} {
		g := NewWithT(t)
		var large *memory.ErrTooLarge
		g.Expect(errors.As(checkNames(s), &large)).To(BeTrue(), field)
		g.Expect(large.Size).To(BeEquivalentTo(maxName+1), field)
	}
	g := NewWithT(t)
	g.Expect(checkNames(&wirepb.GatewayState{Name: long[1:], Peers: []*wirepb.GatewayPeer{{Name: long[1:]}}})).To(Succeed())
}

// A datagram with a name that is too long is logged and has no effect; the next one is read.
func TestReaderGoesOnAfterRejectedDatagram(t *testing.T) {
	g := NewWithT(t)
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var mu sync.Mutex
	var failures []error
	x := New(Options{
		Name: "a", Conn: conn, Changed: func(string, string, int) {}, Snapshots: noSnapshots, Version: func() uint64 { return 0 },
		ReceiveSnapshot: func(string, string, enginepool.Snapshot) error { return nil },
		Failed: func(err error) {
			mu.Lock()
			defer mu.Unlock()
			failures = append(failures, err)
		},
	})
	go x.read(t.Context())
	t.Cleanup(func() { _ = conn.Close() })
	other, err := net.Dial("udp4", conn.LocalAddr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer other.Close()
	for _, s := range []*wirepb.GatewayState{{Name: strings.Repeat("n", 300)}, {Name: "b", Incarnation: 1, Sequence: 1, Address: other.LocalAddr().String()}} {
		data, err := proto.Marshal(s)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = other.Write(data)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(x.Names, "10s").Should(Equal([]string{"b"}))
	mu.Lock()
	defer mu.Unlock()
	var datagram *ErrDatagram
	var large *memory.ErrTooLarge
	g.Expect(errors.As(failures[0], &datagram)).To(BeTrue())
	g.Expect(errors.As(datagram, &large)).To(BeTrue())
}

func noSnapshots(map[string]uint64) (map[string]enginepool.Snapshot, map[string]uint64) {
	return nil, nil
}
