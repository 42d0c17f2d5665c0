package runnerlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// step is the time between two looks of the simulation; gathered is how long news are let come
	// together before they are sent, beat the time between two datagrams to another user.
	step     = time.Millisecond
	gathered = 10 * time.Millisecond
	beat     = 300 * time.Millisecond
)

// sim is a runner that names a limit, before gateways that exchange datagrams, in virtual time.
type sim struct {
	random   *rand.Rand
	now      time.Time
	began    time.Time
	gateways []*simGateway
	mail     []datagram
	arrivals []time.Time
	// lost is the part of the datagrams that are lost, link the longest way of one.
	lost float64
	link time.Duration
	// limit is what the runner names, 0 for none.
	limit float64
	calls int
}

// simGateway is one gateway of a simulation.
type simGateway struct {
	name        string
	table       *Table
	incarnation uint64
	// demand is the requests a second that would go to the runner if it named no limit.
	demand float64
	// island says with which others it can talk, frozen until when it stands still.
	island  int
	frozen  time.Time
	told    map[string]uint64
	last    map[string]time.Time
	changed time.Time
}

type datagram struct {
	from, to    *simGateway
	incarnation uint64
	reports     []Report
	at          time.Time
}

func newSim(seed uint64, gateways int, limit float64, demand func(i int) float64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), began: time.Unix(1000, 0), link: 8 * time.Millisecond, lost: 0.005, limit: limit, calls: 1}
	for i := range gateways {
		s.gateways = append(s.gateways, &simGateway{name: fmt.Sprintf("g%03d", i), demand: demand(i)})
	}
	for _, g := range s.gateways {
		s.start(g)
	}
	return s
}

// start begins a gateway's process.
func (s *sim) start(g *simGateway) {
	g.table, g.incarnation = New(g.name), g.incarnation+1
	g.told, g.last, g.changed = map[string]uint64{}, map[string]time.Time{}, time.Time{}
	g.table.Counted = func() {
		if g.changed.IsZero() {
			g.changed = s.now
		}
	}
	s.introduce(g)
}

// introduce tells a gateway of all others.
func (s *sim) introduce(g *simGateway) {
	var others []string
	for _, o := range s.gateways {
		if o != g {
			others = append(others, o.name)
		}
	}
	g.table.Members(others)
}

// run goes on for a time.
func (s *sim) run(lasts time.Duration) {
	for end := s.now.Add(lasts); s.now.Before(end); s.now = s.now.Add(step) {
		s.deliver()
		for _, g := range s.gateways {
			if s.now.Before(g.frozen) {
				continue
			}
			s.ask(g)
			s.talk(g)
		}
	}
}

func (s *sim) deliver() {
	s.mail = slices.DeleteFunc(s.mail, func(d datagram) bool {
		if s.now.Before(d.at) || s.now.Before(d.to.frozen) {
			return false
		}
		if d.from.island == d.to.island {
			d.to.table.GatewaySeen(d.from.name, s.now)
			d.to.table.Receive(d.from.name, d.incarnation, d.reports, s.now)
		}
		return true
	})
}

// ask lets a gateway send what it would and may.
func (s *sim) ask(g *simGateway) {
	if s.random.Float64() >= g.demand*step.Seconds() {
		return
	}
	request := fmt.Sprint(len(s.arrivals), g.name)
	if !g.table.Claim("runner", request, s.calls, s.now) {
		return
	}
	for range s.calls {
		g.table.Sent("runner", request, s.now)
		s.arrivals = append(s.arrivals, s.now)
	}
	g.table.Release("runner", request)
	g.table.Observe("runner", Statement{Kind: Run, Asked: s.now, Named: s.limit > 0, PerSecond: s.limit, Calls: s.calls}, s.now)
}

// talk sends what others should hear.
func (s *sim) talk(g *simGateway) {
	due := !g.changed.IsZero() && s.now.Sub(g.changed) >= gathered
	if !due && s.now.UnixMilli()%60 != 0 {
		return
	}
	if due {
		g.changed = time.Time{}
	}
	for _, o := range s.gateways {
		if o == g || !(due && g.table.Due(o.name, g.told[o.name])) && !(g.table.Shares(o.name) && s.now.Sub(g.last[o.name]) >= beat) {
			continue
		}
		var reports []Report
		reports, g.told[o.name] = g.table.Since(o.name, g.told[o.name], s.now)
		g.last[o.name] = s.now
		if s.random.Float64() >= s.lost {
			way := time.Millisecond + time.Duration(s.random.Int64N(int64(s.link)))
			s.mail = append(s.mail, datagram{g, o, g.incarnation, reports, s.now.Add(way)})
		}
	}
}

// most returns the most calls in any window from a time on.
func (s *sim) most(from time.Time) int {
	most, first := 0, 0
	for i, at := range s.arrivals {
		for first < i && (s.arrivals[first].Before(from) || at.Sub(s.arrivals[first]) >= window) {
			first++
		}
		if !s.arrivals[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// used returns the calls a second from a time on, as a part of the limit.
func (s *sim) used(from time.Time) float64 {
	n := 0
	for _, at := range s.arrivals {
		if !at.Before(from) {
			n++
		}
	}
	return float64(n) / s.now.Sub(from).Seconds() / s.limit
}
