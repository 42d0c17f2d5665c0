package peers

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// datagramKinds are the kinds by which datagrams are counted. A datagram counts as the first that
// matches.
var datagramKinds = []struct {
	name    string
	matches func(*wirepb.GatewayState) bool
}{
	{"everything", func(s *wirepb.GatewayState) bool { return s.Address != "" }},
	{"store_update", func(s *wirepb.GatewayState) bool { return s.StoreUpdate != nil }},
	{"store_subscription", func(s *wirepb.GatewayState) bool { return s.StoreSubscription != nil }},
	{"stage_changes", func(s *wirepb.GatewayState) bool { return len(s.StageChanges) > 0 }},
	{"suspicions", func(s *wirepb.GatewayState) bool { return len(s.Suspicions) > 0 }},
	{"part_evidence", func(s *wirepb.GatewayState) bool { return s.PartEvidence != nil }},
	{"reservations", func(s *wirepb.GatewayState) bool { return len(s.Pools) > 0 }},
	{"outcomes", func(s *wirepb.GatewayState) bool { return len(s.Outcomes)+len(s.LeavingRunners) > 0 }},
	{"spending", func(s *wirepb.GatewayState) bool { return len(s.Spent) > 0 }},
	{"limits", func(s *wirepb.GatewayState) bool { return len(s.Limits) > 0 }},
	{"heartbeat", func(*wirepb.GatewayState) bool { return true }},
}

// countDatagram counts a datagram that was sent or received, by its kind: no other metric shows which
// bytes grow with the number of gateways.
func countDatagram(direction string, s *wirepb.GatewayState, bytes int) {
	for _, k := range datagramKinds {
		if k.matches(s) {
			label := fmt.Sprintf("{kind=%q,direction=%q}", k.name, direction)
			metrics.GetOrCreateCounter("hopwell_peers_datagrams_total" + label).Inc()
			metrics.GetOrCreateCounter("hopwell_peers_bytes_total" + label).Add(bytes)
			return
		}
	}
}
