package process

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/peers"
)

// Guards against gateways that start together and all write a record, because none has received datagrams of the
// others yet.
func TestGatewaysThatStartTogetherTakeTurnsToWriteRecords(t *testing.T) {
	g := NewWithT(t)
	p := &Ingress{peers: peers.New(peers.Options{Name: "c"})}
	settings := &config.Ingress{}
	settings.Instance.Name = "c"
	p.settings.Store(settings)
	g.Expect(p.recordTurn()).To(BeZero())
	for _, name := range []string{"a", "b", "d"} {
		g.Expect(p.peers.Add(name, "127.0.0.1:1")).To(Succeed())
	}
	g.Expect(p.recordTurn()).To(Equal(2))
	g.Expect(p.peers.Rank()).To(BeZero(), "no gateway is known to be alive")
}

// Guards against a record that is created before the store was read.
func TestRecordIsCreatedOnlyAfterTheFirstRead(t *testing.T) {
	g := NewWithT(t)
	var f feed
	now := time.Now()
	g.Expect(f.readSince(maxCreateDelay, now)).To(BeFalse(), "nothing read yet")
	f.noteFirstRead(now)
	g.Expect(f.readSince(maxCreateDelay, now.Add(maxCreateDelay-1))).To(BeFalse())
	g.Expect(f.readSince(maxCreateDelay, now.Add(maxCreateDelay))).To(BeTrue())
}
