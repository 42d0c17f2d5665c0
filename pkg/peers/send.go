package peers

import (
	"cmp"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/subset"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// datagram is a message with its receiver, ready to be sent.
type datagram struct {
	to    *net.UDPAddr
	name  string
	state *wirepb.GatewayState
}

// sendChanges sends changed reservations to the gateways that use the engines concerned, and changes
// of runners' rate limits to the gateways that lack them.
func (x *Exchange) sendChanges(now time.Time) {
	changed, reached := x.snapshots(x.sentRevisions)
	x.sentRevisions = reached
	x.mu.Lock()
	x.limitWaiting(changed, now)
	var out []datagram
	for _, m := range x.members {
		if !m.alive || m.needsFull {
			continue
		}
		if part := x.changesFor(m.name, changed); len(part) > 0 || x.limitsDue(m) {
			out = append(out, x.newDatagram(m, encodeSnapshots(part), now))
		}
	}
	x.mu.Unlock()
	x.write(out)
}

// snapshots calls Options.Snapshots.
func (x *Exchange) snapshots(since map[string]uint64) (changed map[string]enginepool.Snapshot, reached map[string]uint64) {
	x.sending.outside(func() { changed, reached = x.options.Snapshots(since) })
	return changed, reached
}

// limitWaiting leaves out that jobs began or ceased to wait if that was sent lately: it goes to all
// gateways. It is then sent with the next change. The caller holds the lock.
func (x *Exchange) limitWaiting(changed map[string]enginepool.Snapshot, now time.Time) {
	due := now.Sub(x.waitingSent) >= time.Duration(len(x.members))*waitingPerGateway
	for service, s := range changed {
		if !s.WaitingChanged && !x.waitingLeft[service] {
			continue
		}
		s.WaitingChanged = due
		changed[service] = s
		if x.waitingLeft[service] = !due; due {
			x.waitingSent = now
		}
	}
}

// changesFor returns the changes at the engines that a gateway uses.
func (x *Exchange) changesFor(name string, changed map[string]enginepool.Snapshot) map[string]enginepool.Snapshot {
	subset := x.subset.Load()
	out := map[string]enginepool.Snapshot{}
	for service, s := range changed {
		part := enginepool.Snapshot{Full: s.Full, Waiting: s.Waiting, WaitingChanged: s.WaitingChanged, Promised: s.Promised, PromisedAge: s.PromisedAge}
		for _, e := range s.Engines {
			if slices.Contains(subset.GatewaysOf(e.Runner), name) {
				part.Engines = append(part.Engines, e)
			}
		}
		if part.Full || part.WaitingChanged || len(part.Engines) > 0 {
			out[service] = part
		}
	}
	return out
}

// sendDue sends the full state to gateways that lack data or were not sent it for the full interval,
// and heartbeats to those that were sent nothing for the heartbeat interval. Outcomes and leaving
// runners go to some gateways at a time.
func (x *Exchange) sendDue(now time.Time) {
	outcomes, leaving := x.reports(now)
	own := x.ownState(now)
	x.mu.Lock()
	heartbeat := x.heartbeat()
	receivers := x.outcomeReceivers(len(outcomes)+len(leaving) > 0)
	var out []datagram
	for _, m := range x.members {
		full := own != nil && x.fullDue(m, now)
		if !full && !m.lostData && !receivers[m.name] && !m.limitsLeft && !x.spendingDue(m, now) && !x.sharedLimitDue(m, now) && now.Sub(m.lastSent) < heartbeat {
			continue
		}
		state := &wirepb.GatewayState{}
		if full {
			state = x.fullState(m, own, now)
		}
		state.WantFull = m.lostData
		if receivers[m.name] {
			state.Outcomes, state.LeavingRunners = outcomes, leaving
		}
		out = append(out, x.newDatagram(m, state, now))
	}
	x.mu.Unlock()
	x.write(out)
}

// ownState is what a datagram with the full state contains of this gateway.
type ownState struct {
	snapshots map[string]enginepool.Snapshot
	version   uint64
}

// ownState returns the full state if a gateway is due one, otherwise nil. Options.Snapshots is called without the
// lock, see docs/design/lock-order.md.
func (x *Exchange) ownState(now time.Time) *ownState {
	if !x.anyFullDue(now) {
		return nil
	}
	all, _ := x.snapshots(nil)
	return &ownState{snapshots: all, version: x.options.Version()}
}

// anyFullDue reports whether a gateway is due the full state.
func (x *Exchange) anyFullDue(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, m := range x.members {
		if x.fullDue(m, now) {
			return true
		}
	}
	return false
}

// fullDue reports whether a gateway is due the full state. The caller holds the lock.
func (x *Exchange) fullDue(m *member, now time.Time) bool {
	interval := max(minFullInterval, time.Duration(len(x.members))*heartbeatPerGateway)
	since := now.Sub(m.lastFull)
	return m.needsFull && since >= sendInterval || since >= interval
}

// reports returns the outcomes at runners and the leaving runners in every outcomesEvery-th send
// interval, and nothing in the others.
func (x *Exchange) reports(now time.Time) (outcomes []*wirepb.RunnerOutcome, leaving []string) {
	x.intervals++
	if x.intervals%outcomesEvery != 0 {
		return nil, nil
	}
	return encodeOutcomes(worstOutcomes(x.options.Outcomes())), x.leaving(now)
}

// worstOutcomes returns up to maxOutcomes outcomes: first those of unusable runners, then those with
// the most failed requests.
func worstOutcomes(outcomes []runners.Outcome) []runners.Outcome {
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

// outcomeReceivers returns the gateways that are sent reports of outcomes and leaving runners now:
// all of them if they are few, otherwise the next ones in turn. The caller holds the lock.
func (x *Exchange) outcomeReceivers(hasReports bool) map[string]bool {
	out := map[string]bool{}
	if !hasReports {
		return out
	}
	list := x.sortedMembers()
	n := len(list)
	if n > subset.GatewaysPerEngine {
		n = max(minReceivers, subset.GatewaysPerEngine*subset.GatewaysPerEngine/n)
	}
	for range n {
		out[list[x.nextReceiver%len(list)].name] = true
		x.nextReceiver++
	}
	return out
}

// SendStageChanges informs all gateways of engines that were ordered to another stage, so that none
// sends them requests. A gateway whose datagram is lost reads the change from the store.
func (x *Exchange) SendStageChanges(changes []runners.StageChange, now time.Time) {
	encoded := encodeStageChanges(changes)
	var out []datagram
	x.mu.Lock()
	for _, m := range x.members {
		if m.alive {
			out = append(out, x.newDatagram(m, &wirepb.GatewayState{StageChanges: encoded}, now))
		}
	}
	x.mu.Unlock()
	x.write(out)
}

// fullState returns a message with the full state for a gateway. The caller holds the lock.
func (x *Exchange) fullState(m *member, own *ownState, now time.Time) *wirepb.GatewayState {
	state := encodeSnapshots(x.changesFor(m.name, own.snapshots))
	state.Address, state.Domain, state.ConfigVersion = x.options.Address, x.options.Domain, own.version
	list := x.sortedMembers()
	for i := range min(peersPerDatagram, len(list)) {
		p := list[(int(m.sent)+i)%len(list)]
		state.Peers = append(state.Peers, &wirepb.GatewayPeer{Name: p.name, Address: p.address.String()})
	}
	m.lastFull, m.needsFull = now, false
	return state
}

// newDatagram adds spending, rate limits and header fields to a message for a gateway. The caller
// holds the lock.
func (x *Exchange) newDatagram(m *member, state *wirepb.GatewayState, now time.Time) datagram {
	x.addSpending(m, state)
	x.addLimits(m, state, now)
	m.sent++
	m.lastSent = now
	state.Name, state.Incarnation, state.Sequence, state.LagPermille = x.options.Name, x.incarnation, m.sent, x.lagPermille()
	return datagram{to: m.address, name: m.name, state: state}
}

// write sends datagrams. The next datagram with the full state makes up for a lost one.
func (x *Exchange) write(out []datagram) {
	for _, d := range out {
		x.sending.step()
		data, err := proto.Marshal(d.state)
		if size := len(data); err == nil && size > maxDatagram {
			err = memory.TooLarge("datagram", int64(size), maxDatagram)
		}
		if err == nil {
			countDatagram("out", d.state, len(data))
			_, err = x.options.Conn.WriteTo(data, d.to)
		}
		if err != nil {
			x.options.Failed(&ErrDatagram{Gateway: d.name, Bytes: len(data), Err: err})
		}
	}
}
