package runnerlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// step is the time step of the simulation. batchDelay is how long reports are collected before they are
	// sent. datagramInterval is the time between two datagrams to another user.
	step             = time.Millisecond
	batchDelay       = 10 * time.Millisecond
	datagramInterval = 300 * time.Millisecond
)

// sim simulates, in virtual time, a runner that names a limit and gateways that exchange datagrams.
type sim struct {
	random   *rand.Rand
	now      time.Time
	began    time.Time
	gateways []*simGateway
	inFlight []datagram
	arrivals []time.Time
	// lossRate is the fraction of the datagrams that are lost, maxLatency the longest transit time of one.
	lossRate   float64
	maxLatency time.Duration
	// limit is the limit that the runner names, 0 for none. calls is the number of calls per request.
	limit float64
	calls int
}

// simGateway is one gateway of a simulation.
type simGateway struct {
	name        string
	table       *Table
	incarnation uint64
	// demand is the number of requests per second that would go to the runner if it named no limit.
	demand float64
	// partition is the part of the network that the gateway is in: only gateways in the same part exchange
	// datagrams. The gateway's process is frozen until frozenUntil.
	partition    int
	frozenUntil  time.Time
	sentRevision map[string]uint64
	lastSent     map[string]time.Time
	changedAt    time.Time
}

type datagram struct {
	from, to    *simGateway
	incarnation uint64
	reports     []Report
	at          time.Time
}

func newSim(seed uint64, gateways int, limit float64, demand func(i int) float64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), began: time.Unix(1000, 0), maxLatency: 8 * time.Millisecond, lossRate: 0.005, limit: limit, calls: 1}
	for i := range gateways {
		s.gateways = append(s.gateways, &simGateway{name: fmt.Sprintf("g%03d", i), demand: demand(i)})
	}
	for _, g := range s.gateways {
		s.start(g)
	}
	return s
}

// start starts a process of a gateway.
func (s *sim) start(g *simGateway) {
	g.table, g.incarnation = New(g.name), g.incarnation+1
	g.sentRevision, g.lastSent, g.changedAt = map[string]uint64{}, map[string]time.Time{}, time.Time{}
	g.table.ReportsPending = func() {
		if g.changedAt.IsZero() {
			g.changedAt = s.now
		}
	}
	s.setMembers(g)
}

// setMembers sets all other gateways as the members of a gateway's table.
func (s *sim) setMembers(g *simGateway) {
	var others []string
	for _, o := range s.gateways {
		if o != g {
			others = append(others, o.name)
		}
	}
	g.table.Members(others)
}

// run advances the simulation by a time.
func (s *sim) run(lasts time.Duration) {
	for end := s.now.Add(lasts); s.now.Before(end); s.now = s.now.Add(step) {
		s.deliver()
		for _, g := range s.gateways {
			if s.now.Before(g.frozenUntil) {
				continue
			}
			s.sendRequest(g)
			s.sendReports(g)
		}
	}
}

func (s *sim) deliver() {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(d datagram) bool {
		if s.now.Before(d.at) || s.now.Before(d.to.frozenUntil) {
			return false
		}
		if d.from.partition == d.to.partition {
			d.to.table.GatewaySeen(d.from.name, s.now)
			d.to.table.Receive(d.from.name, d.incarnation, d.reports, s.now)
		}
		return true
	})
}

// sendRequest sends a request of a gateway to the runner, if one arrives in this step and the limit allows
// it.
func (s *sim) sendRequest(g *simGateway) {
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
	g.table.Observe("runner", Statement{Kind: RunCall, SentAt: s.now, Named: s.limit > 0, PerSecond: s.limit, Calls: s.calls}, s.now)
}

// sendReports sends the datagrams that are due from a gateway to the others.
func (s *sim) sendReports(g *simGateway) {
	due := !g.changedAt.IsZero() && s.now.Sub(g.changedAt) >= batchDelay
	if !due && s.now.UnixMilli()%60 != 0 {
		return
	}
	if due {
		g.changedAt = time.Time{}
	}
	for _, o := range s.gateways {
		if o == g || !(due && g.table.HasReportsFor(o.name, g.sentRevision[o.name])) && !(g.table.Shares(o.name) && s.now.Sub(g.lastSent[o.name]) >= datagramInterval) {
			continue
		}
		var reports []Report
		reports, g.sentRevision[o.name], _ = g.table.ReportsSince(o.name, g.sentRevision[o.name], math.MaxInt, s.now)
		g.lastSent[o.name] = s.now
		if s.random.Float64() >= s.lossRate {
			latency := time.Millisecond + time.Duration(s.random.Int64N(int64(s.maxLatency)))
			s.inFlight = append(s.inFlight, datagram{g, o, g.incarnation, reports, s.now.Add(latency)})
		}
	}
}

// maxPerWindow returns the largest number of calls in any window since a time.
func (s *sim) maxPerWindow(from time.Time) int {
	highest, first := 0, 0
	for i, at := range s.arrivals {
		for first < i && (s.arrivals[first].Before(from) || at.Sub(s.arrivals[first]) >= window) {
			first++
		}
		if !s.arrivals[first].Before(from) {
			highest = max(highest, i-first+1)
		}
	}
	return highest
}

// utilization returns the calls per second since a time, as a fraction of the limit.
func (s *sim) utilization(from time.Time) float64 {
	n := 0
	for _, at := range s.arrivals {
		if !at.Before(from) {
			n++
		}
	}
	return float64(n) / s.now.Sub(from).Seconds() / s.limit
}
