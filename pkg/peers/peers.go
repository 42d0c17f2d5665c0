// Package peers exchanges between gateways what they have reserved on the engines,
// so that all of them choose as one would. It sends small datagrams: a lost one is
// made up for by the next. The other gateways' addresses come from the store once
// and from the datagrams after that; nothing is agreed on.
package peers

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// period is the time between two rounds of datagrams.
	period = 60 * time.Millisecond
	// maxFanout bounds the datagrams of one round; of more peers, each round
	// reaches the next ones in turn.
	maxFanout = 16
	// rememberFor is how long a silent peer is kept and sent to.
	rememberFor = 60 * time.Second
	// aliveFor is how long a peer counts as alive after its last datagram.
	aliveFor = 1500 * time.Millisecond
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 16 << 10
	// namedPeers is how many others a datagram names.
	namedPeers = 4
	// outcomesEvery is how many rounds pass between reports of runners' outcomes.
	outcomesEvery = 4
	// quietEvery is how many rounds pass between reports of a gateway without load.
	quietEvery = 8
)

// Options are an exchange's settings.
type Options struct {
	// Name and Address are this gateway's; Address is IP:PORT.
	Name, Address string
	Conn          net.PacketConn
	// Snapshots returns this gateway's reservations, by service.
	Snapshots func() map[string]enginepool.Snapshot
	// ReceiveSnapshot takes another gateway's reservations for a service.
	ReceiveSnapshot func(gateway, service string, snapshot enginepool.Snapshot)
	// Domain is this gateway's failure domain. Outcomes returns the outcomes at
	// runners that fail requests, ReceiveOutcomes takes those of another gateway.
	Domain          string
	Outcomes        func() []runners.Outcome
	ReceiveOutcomes func(gateway string, sameDomain bool, outcomes []runners.Outcome)
	// StageChanges returns the engines on their way to another stage,
	// ReceiveStageChanges takes those that another gateway reported.
	StageChanges        func() []runners.StageChange
	ReceiveStageChanges func(changes []runners.StageChange)
	// Version returns the version of the configuration in force.
	Version func() uint64
	// Changed is called when a gateway becomes alive or silent.
	Changed func(name, what string, known int)
}

// member is another gateway.
type member struct {
	name    string
	address *net.UDPAddr
	// incarnation and sequence are those of the newest datagram.
	incarnation, sequence uint64
	version               uint64
	lastSeen              time.Time
	alive                 bool
}

// Exchange sends and receives reports. It is safe for concurrent use.
type Exchange struct {
	options     Options
	incarnation uint64

	mu       sync.Mutex
	members  map[string]*member
	sequence uint64
	turn     int
	silent   int
}

// New returns an exchange that knows nobody.
func New(o Options) *Exchange {
	return &Exchange{options: o, incarnation: uint64(time.Now().UnixNano()), members: map[string]*member{}}
}

// Add records the address of another gateway.
func (x *Exchange) Add(name, address string) {
	if name == x.options.Name {
		return
	}
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.members[name] == nil {
		x.members[name] = &member{name: name, address: at, lastSeen: time.Now()}
	}
}

// Known returns how many other gateways are remembered, the silent ones too.
func (x *Exchange) Known() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.members)
}

// Rank returns how many living gateways come before this one by name.
func (x *Exchange) Rank() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for name, m := range x.members {
		if m.alive && name < x.options.Name {
			n++
		}
	}
	return n
}

// Addresses returns the addresses of the known gateways, those with the newest
// configuration first.
func (x *Exchange) Addresses() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.sorted()
	slices.SortStableFunc(list, func(a, b *member) int { return int(b.version) - int(a.version) })
	out := make([]string, 0, len(list))
	for _, m := range list {
		out = append(out, m.address.String())
	}
	return out
}

// sorted returns the members by name. The caller holds the lock.
func (x *Exchange) sorted() []*member {
	list := make([]*member, 0, len(x.members))
	for _, m := range x.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

// Run sends and receives until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = x.options.Conn.Close() })
	defer stop()
	var reading sync.WaitGroup
	reading.Go(func() { x.read(ctx) })
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			reading.Wait()
			return
		case now := <-tick.C:
			x.send(now)
			x.sweep(now)
		}
	}
}

// send sends one round of datagrams.
func (x *Exchange) send(now time.Time) {
	snapshots, changes := x.options.Snapshots(), x.options.StageChanges()
	x.mu.Lock()
	if len(changes) == 0 && quiet(snapshots) {
		if x.silent++; x.silent > 1 && x.silent%quietEvery != 0 {
			x.mu.Unlock()
			return
		}
	} else {
		x.silent = 0
	}
	x.sequence++
	state := encode(snapshots)
	state.Name, state.Address = x.options.Name, x.options.Address
	state.Domain = x.options.Domain
	state.StageChanges = encodeStageChanges(changes)
	if x.sequence%outcomesEvery == 0 {
		state.Outcomes = encodeOutcomes(x.options.Outcomes())
	}
	state.Incarnation, state.Sequence, state.ConfigVersion = x.incarnation, x.sequence, x.options.Version()
	list := x.sorted()
	for i := range min(namedPeers, len(list)) {
		m := list[(int(x.sequence)+i)%len(list)]
		state.Peers = append(state.Peers, &wirepb.GatewayPeer{Name: m.name, Address: m.address.String()})
	}
	var to []*net.UDPAddr
	for range min(maxFanout, len(list)) {
		to = append(to, list[x.turn%len(list)].address)
		x.turn++
	}
	x.mu.Unlock()
	data, err := proto.Marshal(state)
	if err != nil || len(data) > maxDatagram {
		return
	}
	for _, address := range to {
		_, _ = x.options.Conn.WriteTo(data, address)
	}
}

// quiet reports whether there is nothing to report.
func quiet(snapshots map[string]enginepool.Snapshot) bool {
	for _, p := range snapshots {
		if len(p.Loads) > 0 || len(p.Reading) > 0 || p.Waiting > 0 {
			return false
		}
	}
	return true
}

// read receives until the socket closes.
func (x *Exchange) read(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := x.options.Conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(period)
			continue
		}
		var state wirepb.GatewayState
		if unmarshal(buffer[:n], &state) == nil {
			x.receive(&state, from, time.Now())
		}
	}
}

// receive takes one datagram. One that is older than another is dropped.
func (x *Exchange) receive(s *wirepb.GatewayState, from net.Addr, now time.Time) {
	if s.Name == "" || s.Name == x.options.Name {
		return
	}
	x.Add(s.Name, s.Address)
	for _, p := range s.Peers {
		x.Add(p.Name, p.Address)
	}
	x.mu.Lock()
	m := x.members[s.Name]
	if m == nil || s.Incarnation < m.incarnation || s.Incarnation == m.incarnation && s.Sequence <= m.sequence {
		x.mu.Unlock()
		return
	}
	if at, ok := from.(*net.UDPAddr); ok {
		m.address = at
	}
	m.incarnation, m.sequence, m.version, m.lastSeen = s.Incarnation, s.Sequence, s.ConfigVersion, now
	first := !m.alive
	m.alive = true
	known := len(x.members)
	x.mu.Unlock()
	if first {
		x.options.Changed(s.Name, "alive", known)
	}
	if len(s.Outcomes) > 0 {
		x.options.ReceiveOutcomes(s.Name, s.Domain == x.options.Domain, decodeOutcomes(s.Outcomes))
	}
	if len(s.StageChanges) > 0 {
		x.options.ReceiveStageChanges(decodeStageChanges(s.StageChanges))
	}
	for service, snapshot := range decode(s, now) {
		x.options.ReceiveSnapshot(s.Name, service, snapshot)
	}
}

// sweep forgets peers that are silent for long.
func (x *Exchange) sweep(now time.Time) {
	var silent []string
	x.mu.Lock()
	for name, m := range x.members {
		quiet := now.Sub(m.lastSeen)
		if m.alive && quiet > aliveFor {
			m.alive = false
			silent = append(silent, name)
		}
		if quiet > rememberFor {
			delete(x.members, name)
		}
	}
	known := len(x.members)
	x.mu.Unlock()
	for _, name := range silent {
		x.options.Changed(name, "silent", known)
	}
}
