package peers

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/notice"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// A notice must not stay with the gateway that received it in a response: the other gateways would
// learn of it from the store alone, which may be unavailable.
func TestLeavingRunnersAreReportedAndForwarded(t *testing.T) {
	g := NewWithT(t)
	a, b := start(t, "a", 1), start(t, "b", 2)
	g.Expect(a.Add("b", b.address)).To(Succeed())
	a.options.Notices.Observe("r@1", notice.Notice{Leaving: true}, time.Now())
	g.Eventually(func() bool { return b.options.Notices.Leaves("r@1") }, "20s").Should(BeTrue())
	c := start(t, "c", 3)
	g.Expect(c.Add("b", b.address)).To(Succeed())
	g.Eventually(func() bool { return c.options.Notices.Leaves("r@1") }, "20s").Should(BeTrue(), "forwarded by a gateway that only received a report")
}

// Datagrams must not grow with the number of leaving runners.
func TestLeavingRunnersPerDatagramAreBounded(t *testing.T) {
	g := NewWithT(t)
	a := newGateway(t, "a", 1)
	now := time.Now()
	for i := range 3 * maxLeaving {
		a.options.Notices.Observe(fmt.Sprint(i), notice.Notice{Leaving: true}, now.Add(time.Duration(i)))
	}
	list := a.leaving(now)
	g.Expect(list).To(HaveLen(maxLeaving))
	g.Expect(list[0]).To(Equal(fmt.Sprint(3*maxLeaving-1)), "the latest first")
	g.Expect(a.leaving(now.Add(2 * leavingFor))).To(BeEmpty())
	b := newGateway(t, "b", 1)
	b.receiveLeaving(&wirepb.GatewayState{Name: "a", LeavingRunners: make([]string, 1000)}, now)
	b.receiveLeaving(&wirepb.GatewayState{Name: "a"}, now)
	g.Expect(len(b.options.Notices.Withheld(time.Hour, now))).To(BeNumerically("<=", maxLeaving))
}
