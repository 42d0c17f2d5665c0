package peers

import (
	"time"

	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// leavingFor is how long an incarnation of a runner is reported as leaving. Each gateway that
	// receives the report forwards it, so that it reaches all gateways within a few send intervals,
	// including those that received no response of the runner and can't reach the store.
	leavingFor = 30 * time.Second
	// maxLeaving bounds the leaving runners in one datagram, some 25 bytes each.
	maxLeaving = 32
)

// leaving returns the runners to report as leaving, the latest first.
func (x *Exchange) leaving(now time.Time) []string {
	if x.options.Notices == nil {
		return nil
	}
	list := x.options.Notices.Leaving(leavingFor, now)
	return list[:min(len(list), maxLeaving)]
}

// receiveLeaving records the runners that another gateway reported as leaving.
func (x *Exchange) receiveLeaving(s *wirepb.GatewayState, now time.Time) {
	if x.options.Notices != nil && len(s.LeavingRunners) > 0 {
		x.options.Notices.Receive(s.Name, s.LeavingRunners[:min(len(s.LeavingRunners), maxLeaving)], now)
	}
}
