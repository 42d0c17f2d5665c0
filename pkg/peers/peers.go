// Package peers lets gateways tell each other what they have booked on the
// engines, so that all of them choose as one would. It sends small datagrams: a
// lost one is made up for by the next. Who the others are comes from the store
// once and from the datagrams after that; nothing is agreed on.
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
	// period is the time between two tellings.
	period = 60 * time.Millisecond
	// maxFanout bounds the datagrams of one telling; of more peers, each
	// telling reaches the next ones in turn.
	maxFanout = 16
	// rememberFor is how long a silent peer is remembered and told.
	rememberFor = 60 * time.Second
	// aliveFor is how long a peer counts as alive after it was heard.
	aliveFor = 1500 * time.Millisecond
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 16 << 10
	// namedPeers is how many others a datagram names.
	namedPeers = 4
	// outcomesEvery is in how many tellings runners' outcomes stand once.
	outcomesEvery = 4
	// quietEvery is how often a gateway without any load tells so.
	quietEvery = 8
)

// Options are an exchange's settings.
type Options struct {
	// Name and Address are this gateway's; Address is IP:PORT.
	Name, Address string
	Conn          net.PacketConn
	// Say returns what is to be told, by service.
	Say func() map[string]enginepool.Peer
	// Hear takes what another gateway told of a service.
	Hear func(gateway, service string, said enginepool.Peer)
	// Domain is this gateway's failure domain. Outcomes returns what is to be
	// told of runners that fail requests, HearOutcomes takes what another
	// gateway told of them.
	Domain       string
	Outcomes     func() []runners.Outcome
	HearOutcomes func(gateway string, sameDomain bool, told []runners.Outcome)
	// Version returns the version of the configuration in force.
	Version func() uint64
	// Changed is called when a gateway is heard for the first time, again, or
	// not any more.
	Changed func(name, what string, known int)
}

// member is another gateway.
type member struct {
	name    string
	address *net.UDPAddr
	// incarnation and sequence are those of the newest datagram.
	incarnation, sequence uint64
	version               uint64
	heard                 time.Time
	alive                 bool
}

// Exchange tells and hears. It is safe for concurrent use.
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

// Meet books that a gateway is said to hear at an address.
func (x *Exchange) Meet(name, address string) {
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
		x.members[name] = &member{name: name, address: at, heard: time.Now()}
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

// Addresses returns where the remembered gateways hear, those with the newest
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

// sorted returns the members by name. The lock is held.
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

// Run tells and hears until the context ends.
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
			x.tell(now)
			x.sweep(now)
		}
	}
}

// tell sends one round of datagrams.
func (x *Exchange) tell(now time.Time) {
	said := x.options.Say()
	x.mu.Lock()
	if quiet(said) {
		if x.silent++; x.silent > 1 && x.silent%quietEvery != 0 {
			x.mu.Unlock()
			return
		}
	} else {
		x.silent = 0
	}
	x.sequence++
	state := encode(said)
	state.Name, state.Address = x.options.Name, x.options.Address
	state.Domain = x.options.Domain
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

// quiet reports whether there is nothing to tell.
func quiet(said map[string]enginepool.Peer) bool {
	for _, p := range said {
		if len(p.Loads) > 0 || len(p.Reading) > 0 || p.Waiting > 0 {
			return false
		}
	}
	return true
}

// read hears until the socket closes.
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
			x.hear(&state, from, time.Now())
		}
	}
}

// hear takes one datagram. One that is older than another is left.
func (x *Exchange) hear(s *wirepb.GatewayState, from net.Addr, now time.Time) {
	if s.Name == "" || s.Name == x.options.Name {
		return
	}
	x.Meet(s.Name, s.Address)
	for _, p := range s.Peers {
		x.Meet(p.Name, p.Address)
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
	m.incarnation, m.sequence, m.version, m.heard = s.Incarnation, s.Sequence, s.ConfigVersion, now
	first := !m.alive
	m.alive = true
	known := len(x.members)
	x.mu.Unlock()
	if first {
		x.options.Changed(s.Name, "heard", known)
	}
	if len(s.Outcomes) > 0 {
		x.options.HearOutcomes(s.Name, s.Domain == x.options.Domain, decodeOutcomes(s.Outcomes))
	}
	for service, said := range decode(s, now) {
		x.options.Hear(s.Name, service, said)
	}
}

// sweep forgets peers that are silent for long.
func (x *Exchange) sweep(now time.Time) {
	var silent []string
	x.mu.Lock()
	for name, m := range x.members {
		quiet := now.Sub(m.heard)
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
