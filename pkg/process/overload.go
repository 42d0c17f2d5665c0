package process

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/overload"
)

var connectionsShed = metrics.GetOrCreateCounter("hopwell_ingress_connections_shed_total")

// shedding returns a listener that closes new connections while this gateway is overloaded and others are not.
func (p *Ingress) shedding(l net.Listener) net.Listener {
	return &overload.Listener{Listener: l, Shedder: &p.shedder, Closed: connectionsShed.Inc}
}

// shedOverload adjusts the share of new connections that are closed, until the context ends.
func (p *Ingress) shedOverload(ctx context.Context) {
	tick := time.NewTicker(overload.UpdateInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			own := p.lag.Lag()
			peers := p.peers.DomainLags(now)
			if p.shedder.Update(own, peers) {
				p.log.Write(decisionlog.KindState, "connections_shed", decisionlog.F("share", p.shedder.Share()), decisionlog.F("lag", own),
					decisionlog.F("others", len(peers)))
			}
		}
	}
}
