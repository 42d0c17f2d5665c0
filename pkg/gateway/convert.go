package gateway

import (
	"context"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// toReport converts a load message from a sidecar.
func toReport(l *wirepb.Load) route.Report {
	return route.Report{
		Running: int(l.Running), Reserved: int(l.Reserved), Batch: int(l.BatchLimit),
		KVUsed: float64(l.KvUsed), KVTotal: float64(l.KvTotal), KVPerToken: float64(l.KvPerToken),
		Queued: float64(l.QueuedTokens), Urgent: float64(l.UrgentTokens), Rate: l.PrefillRate,
		StepBase: l.StepBase, StepSlope: l.StepSlope, SlotWait: l.SlotSeconds,
		Transfers: int(l.Transfers), LinkRate: l.LinkRate,
	}
}

// receiveLoad records the load that a sidecar reported. It ignores a report with an older epoch
// than the newest epoch that the gateway recorded for the instance. If the sidecar has a newer
// configuration, the gateway fetches it.
func (g *Gateway) receiveLoad(r *route.Runner, m *fleet.Member, l *wirepb.Load) {
	now := time.Now()
	if !g.Members.Seen(m.Name, l.Epoch, l.Leaving, now) {
		return
	}
	r.Reported(toReport(l), now)
	if d, _ := g.Keeper.Digest(); l.Revision > d.Revision {
		go func() { _ = g.Agent.Exchange(context.Background(), m.Inner) }()
	}
}
