package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/pkg/workspace"
)

// A limit that is added while gateways run shortens the heartbeat interval. The quota must then detect
// silent gateways sooner, although the membership does not change.
func TestNewLimitShortensTheQuotaGrace(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	x := newExchangeWithPeers(31, now)
	x.sweep(now)
	before := x.quotaGrace
	w := &workspace.Workspace{Name: "w", Limit: workspace.Limit{Unit: workspace.Tokens, Rate: 1000}}
	x.options.Quota.Configure([]*workspace.Workspace{w}, now)
	x.sweep(now.Add(sendInterval))
	g.Expect(x.quotaGrace).To(BeNumerically("<", before))
	g.Expect(x.quotaGrace).To(Equal(time.Duration(graceFactor * float64(x.heartbeat()))))
}

// Spending must be sent once, with the next datagram, and again as a whole with the full state.
func TestSpendingIsSentOnceAndInFullStates(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	x := newExchangeWithPeers(2, now)
	w := &workspace.Workspace{Name: "w", Limit: workspace.Limit{Unit: workspace.Tokens, Rate: 1000, Burst: 1000}}
	x.options.Quota.Configure(nil, now)
	x.options.Quota.Configure([]*workspace.Workspace{w}, now)
	g.Expect(x.options.Quota.Admit(w, 300, now)).To(Succeed())
	m := x.members["front-0"]
	changes := x.newDatagram(m, encodeSnapshots(nil), now).state
	g.Expect(changes.Spenders).To(Equal([]uint64{uint64(quota.KeyOf("w"))}))
	g.Expect(changes.Spent).To(Equal([]int64{300}))
	g.Expect(x.newDatagram(m, encodeSnapshots(nil), now).state.Spenders).To(BeEmpty())
	full := encodeSnapshots(nil)
	full.Address = "10.0.0.1:1"
	fullState := x.newDatagram(m, full, now).state
	g.Expect(fullState.Spent).To(Equal([]int64{300}))
	g.Expect(fullState.Levels).To(HaveLen(1))
}
