package ingress

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

// newPlainIngress returns an ingress with two plain runners: "a" is healthy, "b" is backed off
// after a failed connection.
func newPlainIngress() *Ingress {
	g := New(Options{Domain: "d"})
	for _, id := range []string{"a", "b"} {
		g.Directory.Put(runners.Runner{ID: id, Service: "s", Domain: "d"}, time.Now())
	}
	for _, s := range g.Directory.All("s") {
		if s.ID == "b" {
			s.Unreachable(time.Now())
		}
	}
	return g
}

// chosen returns the runner chosen for a request, nil for none.
func chosen(g *Ingress, w plainRequest) *runners.State {
	runner, _ := g.choosePlain(w)
	return runner
}

// A repeatable request whose only healthy runner failed is sent to one in backoff rather than given
// up: without a retry it would be lost as well.
func TestRepeatableRequestFallsBackToUnreachableRunner(t *testing.T) {
	g := NewWithT(t)
	in := newPlainIngress()
	g.Expect(chosen(in, plainRequest{service: "s", repeatable: true}).ID).To(Equal("a"))
	g.Expect(chosen(in, plainRequest{service: "s", repeatable: true, avoid: map[string]bool{"a": true}}).ID).To(Equal("b"))
	g.Expect(chosen(in, plainRequest{service: "s", repeatable: true, avoid: map[string]bool{"a": true, "b": true}})).To(BeNil())
}

// A request that must not be repeated is not sent to a runner in backoff: it has not run yet, and
// its client may retry.
func TestNonRepeatableRequestSkipsUnreachableRunner(t *testing.T) {
	g := NewWithT(t)
	in := newPlainIngress()
	g.Expect(chosen(in, plainRequest{service: "s"}).ID).To(Equal("a"))
	g.Expect(chosen(in, plainRequest{service: "s", avoid: map[string]bool{"a": true}})).To(BeNil())
}

// A request that must not be repeated is lost if its response is lost. A runner that fails some
// requests gets it only if the others have far more work.
func TestNonRepeatableRequestAvoidsFailingRunner(t *testing.T) {
	g := NewWithT(t)
	in := New(Options{})
	for _, id := range []string{"good", "bad"} {
		in.Directory.Put(runners.Runner{ID: id, Service: "s"}, time.Now())
	}
	good, bad := in.Directory.Find("good"), in.Directory.Find("bad")
	now := time.Now()
	for range 3 {
		good.Completed(50 * time.Millisecond)
		bad.Completed(50 * time.Millisecond)
	}
	bad.Failed(now)
	for range 2 {
		good.BeginRequest()
	}
	g.Expect(chosen(in, plainRequest{service: "s", repeatable: true}).ID).To(Equal("bad"))
	g.Expect(chosen(in, plainRequest{service: "s"}).ID).To(Equal("good"))
	for range 10 {
		good.BeginRequest()
	}
	g.Expect(chosen(in, plainRequest{service: "s"}).ID).To(Equal("bad"), "the other runner can't serve everything")
}

// Guards against gateways that together open more connections to plain runners than the runners
// accept.
func TestGatewaySubsetsBoundConnectionsPerRunner(t *testing.T) {
	g := NewWithT(t)
	const most, gateways = 250, 300
	users := map[string]int{}
	for i := range gateways {
		in := New(Options{Name: fmt.Sprintf("g%d", i), Gateways: gateways})
		table, err := routetable.New(routetable.Config{Version: 1, Services: map[string]routetable.Service{"s": {Name: "s", MaxConnections: most}}})
		g.Expect(err).NotTo(HaveOccurred())
		in.SetTable(table)
		for _, id := range []string{"a", "b", "c"} {
			in.Directory.Put(runners.Runner{ID: id, Service: "s"}, time.Now())
		}
		first := chosen(in, plainRequest{service: "s"})
		g.Expect(chosen(in, plainRequest{service: "s", repeatable: true})).To(Equal(first))
		users[first.ID]++
		// Runners outside the subset are candidates if those inside failed the request or were removed.
		g.Expect(chosen(in, plainRequest{service: "s", avoid: map[string]bool{first.ID: true}})).NotTo(BeNil())
	}
	for _, n := range users {
		g.Expect(2*n).To(BeNumerically("<", most), "two idle connections of each gateway")
	}
	few := New(Options{Name: "g", Gateways: 30})
	g.Expect(few.subsetSize("s", 3)).To(Equal(3))
}
