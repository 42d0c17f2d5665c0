package peers

import (
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// maxMembers bounds the membership list: some times the gateways of the largest fleet.
	maxMembers = 2048
	// maxName bounds the names and addresses in a datagram, in bytes. Many of them are remembered.
	maxName = 256
)

// checkNames returns *memory.ErrTooLarge if a name in a datagram exceeds its bound.
func checkNames(s *wirepb.GatewayState) error {
	longest := max(len(s.Name), len(s.Address), len(s.Domain))
	add := func(names ...string) {
		for _, name := range names {
			longest = max(longest, len(name))
		}
	}
	add(s.LeavingRunners...)
	for _, p := range s.Peers {
		add(p.Name, p.Address)
	}
	for _, p := range s.Pools {
		add(p.Service)
		for _, e := range p.Engines {
			add(e.Runner)
		}
	}
	for _, c := range s.StageChanges {
		add(c.Runner)
	}
	for _, l := range s.Limits {
		add(l.Runner)
	}
	for _, o := range s.StreamOrigins {
		add(o.Software)
	}
	for _, r := range s.OriginReplies {
		add(r.Software, r.Only)
	}
	if longest > maxName {
		return memory.TooLarge("name in a datagram", int64(longest), maxName)
	}
	return nil
}
