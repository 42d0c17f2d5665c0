package peers

import (
	"time"

	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/subset"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// originKeepers is the number of gateways that keep the origin of a stream if there are more than
	// subset.GatewaysPerEngine. If there are fewer, all keep all origins. Some may be lost at the same
	// time as the gateway that began the stream, or miss the datagram.
	originKeepers = 4
	// askedKeepers is the number of gateways that are then asked for an origin. It is larger, because
	// the gateways' membership lists may differ.
	askedKeepers = 8
	// maxAsked bounds the number of gateways that are asked together for one origin, with some 80 bytes each way.
	maxAsked = 64
	// maxOrigins limits the origins in one datagram, at some 35 bytes each, and the queries and replies.
	maxOrigins = 200
)

// keepers returns the names of the gateways that keep the origin of a stream, among them possibly this
// one: the first n by rendezvous hashing, or all if there are few.
func (x *Exchange) keepers(k resume.Key, n int) []string {
	s := x.subset.Load()
	if s.Gateways() <= subset.GatewaysPerEngine {
		n = subset.GatewaysPerEngine
	}
	return s.First(k.String(), n)
}

// AnnounceOrigins sends the origins of this gateway's streams to the gateways that keep them. It is
// called before the first event of a stream is sent to its client, since this gateway may be lost at
// any time after that. It does not wait.
func (x *Exchange) AnnounceOrigins(list []resume.Origin) {
	for _, o := range list {
		encoded := &wirepb.StreamOrigin{Stream: uint64(o.Key), Software: o.Version, Runner: o.Runner, LeftMs: uint32(o.Left.Milliseconds())}
		for _, name := range x.keepers(o.Key, originKeepers) {
			if name != x.options.Name {
				x.outbox.add(name, func(s *wirepb.GatewayState) { s.StreamOrigins = append(s.StreamOrigins, encoded) })
			}
		}
	}
}

// AskOrigin asks the gateways that keep the origin of a stream and are alive for it. It returns their
// number. It does not wait for replies.
func (x *Exchange) AskOrigin(k resume.Key, service string) (asked int) {
	names := x.aliveAmong(x.keepers(k, askedKeepers))
	x.askOrigin(names, k, service)
	return len(names)
}

// AskOriginOfAll asks all gateways that are alive for the origin of a stream. It returns their number, and that of
// all, also silent ones. It returns false, without a query, if there are more than maxAsked.
func (x *Exchange) AskOriginOfAll(k resume.Key, service string) (asked, all int, ok bool) {
	names := x.Names()
	if len(names) > maxAsked {
		return 0, 0, false
	}
	alive := x.aliveAmong(names)
	x.askOrigin(alive, k, service)
	return len(alive), len(names), true
}

// askOrigin sends a query for the origin of a stream to the named gateways.
func (x *Exchange) askOrigin(names []string, k resume.Key, service string) {
	query := &wirepb.OriginQuery{Stream: uint64(k), Service: service}
	for _, name := range names {
		x.outbox.add(name, func(s *wirepb.GatewayState) {
			if len(s.OriginQueries) < maxOrigins {
				s.OriginQueries = append(s.OriginQueries, query)
			}
		})
	}
}

// aliveAmong returns those of the named gateways that are alive, without this one.
func (x *Exchange) aliveAmong(names []string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for _, name := range names {
		if m := x.members[name]; m != nil && m.alive {
			out = append(out, name)
		}
	}
	return out
}

// receiveOrigins records the origins and replies of a datagram, and replies to its queries.
func (x *Exchange) receiveOrigins(s *wirepb.GatewayState) {
	if x.options.ReceiveOrigins == nil {
		return
	}
	if len(s.StreamOrigins) > 0 {
		x.options.ReceiveOrigins(s.Name, decodeOrigins(s.StreamOrigins))
	}
	for _, r := range s.OriginReplies {
		x.options.ReceiveOriginReply(s.Name, resume.Reply{Key: resume.Key(r.Stream), Known: r.Known, Version: r.Software, Only: r.Only, Unannounced: r.Unannounced})
	}
	if len(s.OriginQueries) > 0 {
		x.replyOrigins(s.Name, s.OriginQueries)
	}
}

func decodeOrigins(list []*wirepb.StreamOrigin) []resume.Origin {
	out := make([]resume.Origin, 0, len(list))
	for _, o := range list {
		out = append(out, resume.Origin{Key: resume.Key(o.Stream), Version: o.Software, Runner: o.Runner, Left: time.Duration(o.LeftMs) * time.Millisecond})
	}
	return out
}

// replyOrigins replies to a gateway's queries.
func (x *Exchange) replyOrigins(to string, queries []*wirepb.OriginQuery) {
	replies := make([]*wirepb.OriginReply, 0, len(queries))
	for _, q := range queries[:min(len(queries), maxOrigins)] {
		r := x.options.OriginOf(resume.Key(q.Stream), q.Service)
		replies = append(replies, &wirepb.OriginReply{Stream: q.Stream, Known: r.Known, Software: r.Version, Only: r.Only, Unannounced: r.Unannounced})
	}
	x.outbox.add(to, func(s *wirepb.GatewayState) {
		if len(s.OriginReplies) < maxOrigins {
			s.OriginReplies = append(s.OriginReplies, replies...)
		}
	})
}
