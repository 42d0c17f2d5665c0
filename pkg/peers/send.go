package peers

import (
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// datagram is one that is ready to be sent.
type datagram struct {
	to    *net.UDPAddr
	name  string
	state *wirepb.GatewayState
}

// sendChanges sends what changed to the gateways that use the engines concerned.
func (x *Exchange) sendChanges(now time.Time) {
	x.mu.Lock()
	changed, reached := x.options.Snapshots(x.reached)
	x.reached = reached
	var out []datagram
	for _, m := range x.members {
		if !m.alive || m.wantFull {
			continue
		}
		if part := x.partFor(m.name, changed); len(part) > 0 {
			out = append(out, x.datagram(m, encode(part), now))
		}
	}
	x.mu.Unlock()
	x.write(out)
}

// partFor returns the part of changes that a gateway is interested in: those at engines
// that it uses.
func (x *Exchange) partFor(name string, changed map[string]enginepool.Snapshot) map[string]enginepool.Snapshot {
	subset := x.subset.Load()
	out := map[string]enginepool.Snapshot{}
	for service, s := range changed {
		part := enginepool.Snapshot{Full: s.Full, Waiting: s.Waiting}
		for _, e := range s.Engines {
			if slices.Contains(subset.Of(e.Runner), name) {
				part.Engines = append(part.Engines, e)
			}
		}
		if part.Full || len(part.Engines) > 0 {
			out[service] = part
		}
	}
	return out
}

// sendDue sends everything to gateways that lack something or had nothing like that for
// long, and heartbeats to those that had nothing for a while. Outcomes and stage changes
// go out with them.
func (x *Exchange) sendDue(now time.Time) {
	outcomes, changes := x.outcomes(), encodeStageChanges(x.options.StageChanges())
	var all map[string]enginepool.Snapshot
	x.mu.Lock()
	heartbeat := x.heartbeat()
	var out []datagram
	for _, m := range x.members {
		full := m.wantFull && now.Sub(m.lastFull) >= period || now.Sub(m.lastFull) >= max(fullEvery, heartbeat)
		news := len(outcomes) > 0 || len(changes) > 0 || m.missing
		if !full && !news && now.Sub(m.lastSent) < heartbeat {
			continue
		}
		state := &wirepb.GatewayState{}
		if full {
			if all == nil {
				all, _ = x.options.Snapshots(nil)
			}
			state = x.full(m, all, now)
		}
		state.Outcomes, state.StageChanges, state.WantFull = outcomes, changes, m.missing
		out = append(out, x.datagram(m, state, now))
	}
	x.mu.Unlock()
	x.write(out)
}

// outcomes returns the outcomes at runners in every outcomesEvery-th period.
func (x *Exchange) outcomes() []*wirepb.RunnerOutcome {
	x.periods++
	if x.periods%outcomesEvery != 0 {
		return nil
	}
	return encodeOutcomes(x.options.Outcomes())
}

// full returns a message with everything that a gateway should know. The caller holds
// the lock.
func (x *Exchange) full(m *member, all map[string]enginepool.Snapshot, now time.Time) *wirepb.GatewayState {
	state := encode(x.partFor(m.name, all))
	state.Address, state.Domain, state.ConfigVersion = x.options.Address, x.options.Domain, x.options.Version()
	list := x.sorted()
	for i := range min(namedPeers, len(list)) {
		p := list[(int(m.sent)+i)%len(list)]
		state.Peers = append(state.Peers, &wirepb.GatewayPeer{Name: p.name, Address: p.address.String()})
	}
	m.lastFull, m.wantFull = now, false
	return state
}

// datagram addresses a message. The caller holds the lock.
func (x *Exchange) datagram(m *member, state *wirepb.GatewayState, now time.Time) datagram {
	m.sent++
	m.lastSent = now
	state.Name, state.Incarnation, state.Sequence = x.options.Name, x.incarnation, m.sent
	return datagram{to: m.address, name: m.name, state: state}
}

// write sends datagrams. One that is lost is made up for by the next with everything.
func (x *Exchange) write(out []datagram) {
	for _, d := range out {
		data, err := proto.Marshal(d.state)
		if err == nil && len(data) <= maxDatagram {
			_, err = x.options.Conn.WriteTo(data, d.to)
		}
		if err != nil || len(data) > maxDatagram {
			x.options.Failed(&ErrDatagram{Gateway: d.name, Bytes: len(data), Err: err})
		}
	}
}
