package peers

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// discardConn discards the datagrams that are sent, and receives none.
type discardConn struct{ net.PacketConn }

func (discardConn) WriteTo(p []byte, _ net.Addr) (int, error) { return len(p), nil }

// newExchangeWithPeers returns an exchange with n other live gateways.
func newExchangeWithPeers(n int, now time.Time) *Exchange {
	x := New(Options{
		Name: "self", Address: "10.0.0.1:1", Conn: discardConn{}, Store: &unchangingStore{}, Quota: quota.New(quota.Allowance{}, quota.DefaultShares()),
		Snapshots: func(map[string]uint64) (map[string]enginepool.Snapshot, map[string]uint64) { return nil, nil },
		Version:   func() uint64 { return 1 }, Outcomes: func() []runners.Outcome { return nil },
		Changed: func(string, string, int) {}, Failed: func(err error) { panic(err) },
		ReceiveSnapshot: func(string, string, enginepool.Snapshot) error { return nil },
	})
	for i := range n {
		name := fmt.Sprint("front-", i)
		address := fmt.Sprintf("10.1.%d.%d:7000", i/250, 1+i%250)
		at, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			panic(err)
		}
		x.receive(&wirepb.GatewayState{Name: name, Incarnation: 1, Sequence: 1, Address: address, Domain: "d"}, at, now)
	}
	return x
}

// unchangingStore is a gateway's copy of a store that never changes.
type unchangingStore struct{ StoreFeed }

func (unchangingStore) Reached() store.Revision { return 7 }

// BenchmarkSendInterval measures what one send interval costs a gateway without any changes. There
// are 17 of them in a second.
func BenchmarkSendInterval(b *testing.B) {
	for _, n := range []int{30, 102, 299, 419} {
		b.Run(fmt.Sprint(n, " others"), func(b *testing.B) {
			now := time.Now()
			x := newExchangeWithPeers(n, now)
			for b.Loop() {
				now = now.Add(sendInterval)
				for _, m := range x.members {
					m.lastSeen = now
				}
				x.sendDue(now)
				x.subscribe(now)
				x.SendStoreUpdates(now)
				x.sweep(now)
				x.IsRelay(now)
			}
		})
	}
}
