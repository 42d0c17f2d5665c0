package peers

import (
	"cmp"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/subset"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// datagram is one that is ready to be sent.
type datagram struct {
	to    *net.UDPAddr
	name  string
	state *wirepb.GatewayState
}

// sendChanges sends what changed to the gateways that use the engines concerned, and share the
// runners' limits.
func (x *Exchange) sendChanges(now time.Time) {
	x.mu.Lock()
	changed, reached := x.options.Snapshots(x.reached)
	x.reached = reached
	var out []datagram
	for _, m := range x.members {
		if !m.alive || m.wantFull {
			continue
		}
		if part := x.partFor(m.name, changed); len(part) > 0 || x.limitsDue(m) {
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
// long, and heartbeats to those that had nothing for a while. Outcomes go to some at a
// time.
func (x *Exchange) sendDue(now time.Time) {
	outcomes, leaving := x.reports(now)
	var all map[string]enginepool.Snapshot
	x.mu.Lock()
	heartbeat := x.heartbeat()
	fullPause := max(fullEvery, time.Duration(len(x.members))*heartbeatShare)
	informed := x.outcomeReceivers(len(outcomes)+len(leaving) > 0)
	var out []datagram
	for _, m := range x.members {
		full := m.wantFull && now.Sub(m.lastFull) >= period || now.Sub(m.lastFull) >= fullPause
		if !full && !m.missing && !informed[m.name] && !x.spendingDue(m, now) && !x.shares(m, now) && now.Sub(m.lastSent) < heartbeat {
			continue
		}
		state := &wirepb.GatewayState{}
		if full {
			if all == nil {
				all, _ = x.options.Snapshots(nil)
			}
			state = x.full(m, all, now)
		}
		state.WantFull = m.missing
		if informed[m.name] {
			state.Outcomes, state.LeavingRunners = outcomes, leaving
		}
		out = append(out, x.datagram(m, state, now))
	}
	x.mu.Unlock()
	x.write(out)
}

// reports returns the outcomes at runners, and the runners that leave, in every outcomesEvery-th period.
func (x *Exchange) reports(now time.Time) (outcomes []*wirepb.RunnerOutcome, leaving []string) {
	x.periods++
	if x.periods%outcomesEvery != 0 {
		return nil, nil
	}
	return encodeOutcomes(worst(x.options.Outcomes())), x.leaving(now)
}

// worst returns the outcomes that say most: of runners that refused, and of those that
// failed most requests.
func worst(outcomes []runners.Outcome) []runners.Outcome {
	if len(outcomes) <= maxOutcomes {
		return outcomes
	}
	slices.SortFunc(outcomes, func(a, b runners.Outcome) int {
		if a.Unusable != b.Unusable {
			if a.Unusable {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.Failed, a.Failed)
	})
	return outcomes[:maxOutcomes]
}

// outcomeReceivers returns the gateways that get outcomes now: all where they are few,
// otherwise the next ones in turn. The caller holds the lock.
func (x *Exchange) outcomeReceivers(news bool) map[string]bool {
	out := map[string]bool{}
	if !news {
		return out
	}
	list := x.sorted()
	n := len(list)
	if n > subset.Users {
		n = max(leastReceivers, subset.Users*subset.Users/n)
	}
	for range n {
		out[list[x.turn%len(list)].name] = true
		x.turn++
	}
	return out
}

// SendStageChanges tells all gateways of engines that are ordered to another stage, so
// that none sends them work. A gateway whose datagram is lost learns of it from the
// store.
func (x *Exchange) SendStageChanges(changes []runners.StageChange, now time.Time) {
	encoded := encodeStageChanges(changes)
	var out []datagram
	x.mu.Lock()
	for _, m := range x.members {
		if m.alive {
			out = append(out, x.datagram(m, &wirepb.GatewayState{StageChanges: encoded}, now))
		}
	}
	x.mu.Unlock()
	x.write(out)
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
	x.addSpending(m, state)
	x.addLimits(m, state, now)
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
			count("out", d.state, len(data))
			_, err = x.options.Conn.WriteTo(data, d.to)
		}
		if err != nil || len(data) > maxDatagram {
			x.options.Failed(&ErrDatagram{Gateway: d.name, Bytes: len(data), Err: err})
		}
	}
}
