package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/pkg/workspace"
)

// Limits that come to a running fleet make heartbeats more frequent; the quota must take silence
// for silence sooner then, although no gateway comes or goes.
func TestLimitsThatComeLaterShortenTheGrace(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	x := crowd(31, now)
	x.sweep(now)
	before := x.toldGrace
	w := &workspace.Workspace{Name: "w", Limit: workspace.Limit{Unit: workspace.Tokens, Rate: 1000}}
	x.options.Quota.Configure([]*workspace.Workspace{w}, now)
	x.sweep(now.Add(period))
	g.Expect(x.toldGrace).To(BeNumerically("<", before))
	g.Expect(x.toldGrace).To(Equal(time.Duration(graceFactor * float64(x.heartbeat()))))
}

// What a gateway spends goes out with the next datagram, once, and all of it where everything
// else does.
func TestSpendingTravelsOnceAndWholeWithEverything(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	x := crowd(2, now)
	w := &workspace.Workspace{Name: "w", Limit: workspace.Limit{Unit: workspace.Tokens, Rate: 1000, Burst: 1000}}
	x.options.Quota.Configure(nil, now)
	x.options.Quota.Configure([]*workspace.Workspace{w}, now)
	g.Expect(x.options.Quota.Admit(w, 300, now)).To(Succeed())
	m := x.members["front-0"]
	first := x.datagram(m, encode(nil), now).state
	g.Expect(first.Spenders).To(Equal([]uint64{uint64(quota.KeyOf("w"))}))
	g.Expect(first.Spent).To(Equal([]int64{300}))
	g.Expect(x.datagram(m, encode(nil), now).state.Spenders).To(BeEmpty())
	whole := encode(nil)
	whole.Address = "10.0.0.1:1"
	again := x.datagram(m, whole, now).state
	g.Expect(again.Spent).To(Equal([]int64{300}))
	g.Expect(again.Levels).To(HaveLen(1))
}
