package peers

import (
	"time"

	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// leavingFor is how long a start of a runner that leaves is reported: each gateway that hears of it
	// reports it in turn, so that all know of it within a few rounds, also those that saw no answer and
	// can't reach the store.
	leavingFor = 30 * time.Second
	// maxLeaving bounds the starts that one datagram names, some 25 bytes each.
	maxLeaving = 32
)

// leaving returns the runners that are reported as leaving now, the latest first.
func (x *Exchange) leaving(now time.Time) []string {
	if x.options.Notices == nil {
		return nil
	}
	list := x.options.Notices.Leaving(leavingFor, now)
	return list[:min(len(list), maxLeaving)]
}

// receiveLeaving takes the runners that another gateway reported as leaving.
func (x *Exchange) receiveLeaving(s *wirepb.GatewayState, now time.Time) {
	if x.options.Notices != nil && len(s.LeavingRunners) > 0 {
		x.options.Notices.Receive(s.Name, s.LeavingRunners[:min(len(s.LeavingRunners), maxLeaving)], now)
	}
}
