package peers

import (
	"context"
	"net"
	"time"

	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// read receives datagrams until the context ends.
func (x *Exchange) read(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		var n int
		var from net.Addr
		var err error
		x.receiving.outside(func() { n, from, err = x.options.Conn.ReadFrom(buffer) })
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			x.options.Failed(&ErrDatagram{Err: err})
			time.Sleep(sendInterval)
			continue
		}
		var state wirepb.GatewayState
		err = unmarshal(buffer[:n], &state)
		if err == nil {
			err = checkNames(&state)
		}
		if err != nil {
			x.options.Failed(&ErrDatagram{Gateway: from.String(), Bytes: n, Err: err})
			continue
		}
		countDatagram("in", &state, n)
		x.receive(&state, from, time.Now())
	}
}

// receive processes one datagram. It drops one that is older than the newest from the same gateway.
func (x *Exchange) receive(s *wirepb.GatewayState, from net.Addr, now time.Time) {
	if s.Name == "" || s.Name == x.options.Name {
		return
	}
	x.addNamedGateways(s, from)
	x.mu.Lock()
	m := x.members[s.Name]
	if m == nil || s.Incarnation < m.incarnation {
		x.mu.Unlock()
		return
	}
	if s.Incarnation == m.incarnation && s.Sequence <= m.sequence {
		x.mu.Unlock()
		// What is sent once is received also if another datagram has overtaken it.
		x.receiveOrigins(s)
		return
	}
	becameAlive := x.updateMember(m, s, from, now)
	known, sameDomain, inSync := len(x.members), m.domain == x.options.Domain, !m.lostData
	x.mu.Unlock()
	if becameAlive {
		x.options.Changed(s.Name, Alive, known)
	}
	if inSync {
		x.receiveSpending(s, now)
	}
	x.receiveLimits(s, now)
	if len(s.Outcomes) > 0 {
		x.options.ReceiveOutcomes(s.Name, sameDomain, decodeOutcomes(s.Outcomes))
	}
	x.receiveLeaving(s, now)
	if len(s.StageChanges) > 0 {
		x.options.ReceiveStageChanges(decodeStageChanges(s.StageChanges))
	}
	for _, r := range decodeSuspicions(s.Suspicions, now) {
		x.options.ReceiveSuspicion(r)
	}
	if s.PartEvidence != nil && x.options.ReceivePartEvidence != nil {
		x.options.ReceivePartEvidence(decodePartEvidence(s.PartEvidence, now))
	}
	x.receiveOrigins(s)
	if s.StoreSubscription != nil {
		x.receiveSubscription(s.Name, s.StoreSubscription, now)
	}
	if s.StoreUpdate != nil {
		update := decodeStoreUpdate(s.StoreUpdate)
		update.Confirmed = x.confirmedAt(s.StoreUpdate)
		x.receiveUpdate(s.Name, update, now)
	}
	for service, snapshot := range decodeSnapshots(s) {
		var err error
		x.receiving.outside(func() { err = x.options.ReceiveSnapshot(s.Name, service, snapshot) })
		if err != nil {
			x.options.Failed(err)
		}
	}
}

// addNamedGateways adds the sender of a datagram, and the gateways that the datagram names, to the
// membership list.
func (x *Exchange) addNamedGateways(s *wirepb.GatewayState, from net.Addr) {
	address := s.Address
	if address == "" && from != nil {
		address = from.String()
	}
	for _, p := range append(s.Peers, &wirepb.GatewayPeer{Name: s.Name, Address: address}) {
		if err := x.Add(p.Name, p.Address); err != nil {
			x.options.Failed(err)
		}
	}
}

// updateMember records the header fields of a datagram, and reports whether its sender was not alive
// before. A gap in the sequence shows that a datagram was lost; the full state is then requested.
// The caller holds the lock.
func (x *Exchange) updateMember(m *member, s *wirepb.GatewayState, from net.Addr, now time.Time) bool {
	if at, ok := from.(*net.UDPAddr); ok {
		m.address = at
	}
	full := s.Address != ""
	lost := s.Incarnation != m.incarnation || s.Sequence != m.sequence+1
	m.lostData = !full && (m.lostData || lost)
	m.needsFull = m.needsFull || s.WantFull || s.Incarnation != m.incarnation
	if full {
		m.domain, m.version = s.Domain, s.ConfigVersion
	}
	m.incarnation, m.sequence, m.lastSeen, m.lag = s.Incarnation, s.Sequence, now, float64(s.LagPermille)/permille
	if m.alive {
		return false
	}
	m.alive = true
	x.updateSubset()
	return true
}
