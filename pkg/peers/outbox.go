package peers

import (
	"slices"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// outboxInterval is the least time between two datagrams about requests to a gateway. A gateway that is busy for
// some milliseconds loses what its kernel has no room for: some 270 datagrams, however small.
const outboxInterval = 2 * time.Millisecond

// outbox holds messages about requests, by gateway. Run sends them soon: datagrams that several
// goroutines send may overtake each other, and a receiver drops those that were overtaken.
type outbox struct {
	mu      sync.Mutex
	pending map[string]*wirepb.GatewayState
	// ready holds a value when something is pending.
	ready chan struct{}
}

// add changes what is to be sent to a gateway.
func (o *outbox) add(to string, change func(*wirepb.GatewayState)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending[to] == nil {
		o.pending[to] = &wirepb.GatewayState{}
	}
	change(o.pending[to])
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// take removes and returns all that is pending.
func (o *outbox) take() map[string]*wirepb.GatewayState {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.pending
	o.pending = map[string]*wirepb.GatewayState{}
	return out
}

// sendOutbox sends what is pending, in datagrams that are small enough.
func (x *Exchange) sendOutbox(now time.Time) {
	pending := x.outbox.take()
	var out []datagram
	x.mu.Lock()
	for name, state := range pending {
		m := x.members[name]
		if m == nil {
			continue
		}
		for _, part := range split(state) {
			out = append(out, x.newDatagram(m, part, now))
		}
	}
	x.mu.Unlock()
	x.write(out)
}

// split returns the contents of a message in datagrams.
func split(state *wirepb.GatewayState) []*wirepb.GatewayState {
	var out []*wirepb.GatewayState
	if len(state.OriginQueries)+len(state.OriginReplies) > 0 {
		out = append(out, &wirepb.GatewayState{OriginQueries: state.OriginQueries, OriginReplies: state.OriginReplies})
	}
	for part := range slices.Chunk(state.StreamOrigins, maxOrigins) {
		out = append(out, &wirepb.GatewayState{StreamOrigins: part})
	}
	for part := range slices.Chunk(state.Suspicions, maxSuspicions) {
		out = append(out, &wirepb.GatewayState{Suspicions: part})
	}
	if e := state.PartEvidence; e != nil {
		for part := range slices.Chunk(e.Crashes, maxCrashes) {
			out = append(out, &wirepb.GatewayState{PartEvidence: &wirepb.PartEvidence{Crashes: part}})
		}
		for part := range slices.Chunk(e.Sound, maxSoundParts) {
			out = append(out, &wirepb.GatewayState{PartEvidence: &wirepb.PartEvidence{Sound: part}})
		}
		for part := range slices.Chunk(e.Blamed, maxBlamed) {
			out = append(out, &wirepb.GatewayState{PartEvidence: &wirepb.PartEvidence{Blamed: part}})
		}
	}
	return out
}
