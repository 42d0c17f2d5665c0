package process

import (
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/config"
	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/peers"
	"github.com/hopwell/hopwell/pkg/store"
)

// Guards against stages that are never assigned because another writer's item under the key of the lock counts as held.
func TestLockOfAnUnknownGatewayMayBeTried(t *testing.T) {
	g := NewWithT(t)
	p := &Ingress{log: decisionlog.New("g", io.Discard), peers: peers.New(peers.Options{Name: "g", Changed: func(string, string, int) {}}), feed: newFixture(t, 10).feed}
	c := &config.Ingress{}
	c.Instance.Name = "g"
	p.settings.Store(c)
	p.addPeer("front-2", "127.0.0.1:7000")
	g.Expect(p.lockForeign()).To(BeFalse())
	for holder, foreign := range map[string]bool{"": true, "\xff": true, "nobody": true, "front-2": false, "g": false} {
		p.feed.apply(put(store.Item{Key: orderKey, Value: []byte(holder), Revision: p.feed.Reached() + 1}), p.feed.Reached()+1)
		g.Expect(p.lockForeign()).To(Equal(foreign), "%q", holder)
	}
}
