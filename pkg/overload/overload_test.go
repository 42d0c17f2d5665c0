package overload

import (
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_800_000_000, 0)

func TestMeterMeasuresLateShare(t *testing.T) {
	for _, c := range []struct {
		gap       time.Duration
		low, high float64
	}{{20 * time.Millisecond, 0, 0}, {25 * time.Millisecond, 0.15, 0.25}, {80 * time.Millisecond, 0.7, 0.8}} {
		g := NewWithT(t)
		m, now := NewMeter(20*time.Millisecond), start
		for range 100 {
			m.Tick(now)
			now = now.Add(c.gap)
		}
		g.Expect(m.Lag()).To(BeNumerically("~", (c.low+c.high)/2, (c.high-c.low)/2+1e-9), c.gap.String())
	}
}

// Guards against a process that takes a suspension for overload.
func TestSuspensionIsNoOverload(t *testing.T) {
	g := NewWithT(t)
	m, now := NewMeter(20*time.Millisecond), start
	for i := range 60 {
		if i == 45 {
			now = now.Add(5 * time.Second)
		}
		m.Tick(now)
		now = now.Add(20 * time.Millisecond)
	}
	g.Expect(m.Lag()).To(BeNumerically("<", overloadLag))
}

func TestShedderFollowsLagOfThisGatewayAndOthers(t *testing.T) {
	calm, busy := []float64{0, 0.1, 0.05}, []float64{0.8, 0.9, 0.1}
	for _, c := range []struct {
		name  string
		own   float64
		peers []float64
		sheds bool
	}{
		{"overloaded alone", 0.8, calm, true}, {"calm", 0.1, calm, false}, {"all overloaded", 0.8, busy, false},
		{"no other gateway", 0.8, nil, false}, {"between the bounds", 0.4, calm, false},
	} {
		g := NewWithT(t)
		var s Shedder
		for range 20 {
			s.Update(c.own, c.peers)
		}
		g.Expect(s.Share() > 0).To(Equal(c.sheds), c.name)
		g.Expect(s.Share()).To(BeNumerically("<=", maxShare))
		for range 20 {
			s.Update(0, calm)
		}
		g.Expect(s.Share()).To(BeZero(), c.name)
	}
}

// Guards against a gateway that is ready but takes no connection.
func TestShedderKeepsConnections(t *testing.T) {
	g := NewWithT(t)
	var s Shedder
	for range 20 {
		s.Update(1, []float64{0})
	}
	closed := 0
	for i := range 1000 {
		if s.Close(start.Add(time.Duration(i) * time.Millisecond)) {
			closed++
		}
	}
	g.Expect(closed).To(BeNumerically("~", 900, 5))
	var kept []time.Duration
	for i := range 20 {
		if at := time.Duration(i) * 300 * time.Millisecond; !s.Close(start.Add(time.Hour + at)) {
			kept = append(kept, at)
		}
	}
	g.Expect(len(kept)).To(BeNumerically(">=", 6000/600), "with few connections")
}

// Guards against a client that waits instead of connecting to another gateway.
func TestListenerClosesConnectionsUnread(t *testing.T) {
	g := NewWithT(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	closed := make(chan struct{}, 100)
	l := &Listener{Listener: raw, Shedder: &Shedder{share: maxShare, kept: time.Now().Add(time.Hour)}, Closed: func() { closed <- struct{}{} }}
	defer l.Close()
	rejected, accepted := 0, make(chan net.Conn, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	const dials = 10
	for range int(dials) {
		c, err := net.Dial("tcp", raw.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		select {
		case other := <-accepted:
			_ = other.Close()
		case <-closed:
			rejected++
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err := c.Read(make([]byte, 1))
			g.Expect(err).To(HaveOccurred())
			g.Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
		}
	}
	g.Expect(rejected).To(BeNumerically("~", dials*maxShare, 1))
}

const (
	crowdGateways = 10
	// crowdCapacity is the number of requests that a gateway can serve in a second.
	crowdCapacity = 10.0
	// crowdRate is the number of requests that arrive at all gateways in a second.
	crowdRate = 40.0
	// crowdStart is when one gateway begins to get nine of ten requests.
	crowdStart = 3 * time.Second
	crowdEnd   = 20 * time.Second
	// crowdTarget is the time within which a request is served in time.
	crowdTarget = time.Second
	crowdStep   = 20 * time.Millisecond
)

// simulateCrowd simulates gateways of which the first gets most requests from crowdStart on. It returns the share of
// requests served in time, of those that arrive later than contact after that. A closed connection is opened anew at
// another gateway.
func simulateCrowd(shed bool, contact time.Duration) float64 {
	var backlog [crowdGateways]float64
	meter, shedder := NewMeter(crowdStep), &Shedder{}
	arrived, counted, served, due, delay := 0, 0, 0, 0.0, 0.0
	for now := time.Duration(0); now < crowdEnd; now += crowdStep {
		at := start.Add(now)
		for i := range backlog {
			backlog[i] = max(0, backlog[i]-crowdCapacity*crowdStep.Seconds())
		}
		// A periodic task waits for the work before it.
		if delay -= crowdStep.Seconds(); delay <= 0 {
			meter.Tick(at)
			delay = min(backlog[0]/crowdCapacity, maxGap.Seconds())
		}
		if shed && now%UpdateInterval == 0 {
			shedder.Update(meter.Lag(), make([]float64, crowdGateways-1))
		}
		for due += crowdRate * crowdStep.Seconds(); due >= 1; due-- {
			to := arrived % crowdGateways
			if now > crowdStart {
				to = max(0, to-crowdGateways+2) // nine of ten go to the first
			}
			if arrived++; to == 0 && shedder.Close(at) {
				to = 1 + arrived%(crowdGateways-1)
			}
			backlog[to]++
			if now < crowdStart+contact {
				continue
			}
			if counted++; backlog[to]/crowdCapacity <= crowdTarget.Seconds() {
				served++
			}
		}
	}
	return float64(served) / float64(counted)
}

// Guards against a gateway that reads most new connections of its failure domain and serves them late or not at all,
// while other gateways are calm (RECOVER: three quarters as often as before, from contact on).
func TestCrowdedGatewayLeavesRequestsToOthers(t *testing.T) {
	g := NewWithT(t)
	const contact = 3 * time.Second
	g.Expect(simulateCrowd(false, contact)).To(BeNumerically("<", 0.5), "without shedding")
	g.Expect(simulateCrowd(true, contact)).To(BeNumerically(">=", 0.75))
}
