package process

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/peers"
)

// Guards against a feed that stands still while the host name in another writer's entry of a gateway is looked up.
func TestHostNameInAGatewayEntryIsNotLookedUp(t *testing.T) {
	g := NewWithT(t)
	var lookups atomic.Int64
	usual := net.DefaultResolver
	defer func() { net.DefaultResolver = usual }()
	net.DefaultResolver = &net.Resolver{PreferGo: true, Dial: func(context.Context, string, string) (net.Conn, error) {
		lookups.Add(1)
		return nil, errors.New("no name server")
	}}
	p := &Ingress{log: decisionlog.New("g", io.Discard), peers: peers.New(peers.Options{Name: "g", Changed: func(string, string, int) {}})}
	for _, address := range []string{"front.example:80", "front:80", "", "\xff:80", "127.0.0.1:0", "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", "127.0.0.1:99999", strings.Repeat("a.", 8<<10) + ":1"} {
		p.addPeer("x"+address, address)
	}
	g.Expect(lookups.Load()).To(BeZero())
	g.Expect(p.peers.MemberCount()).To(BeZero())
	p.addPeer("front-2", "127.0.0.1:7000")
	g.Expect(p.peers.Names()).To(Equal([]string{"front-2"}))
}
