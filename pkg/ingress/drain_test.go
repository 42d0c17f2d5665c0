package ingress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/routetable"
)

// While streams keep a draining process alive, short requests are accepted until shortly before its
// end; new streams are not.
func TestDrainServesShortRequestsWhileStreamsRun(t *testing.T) {
	g := NewWithT(t)
	in := New(Options{})
	in.StartDrain(2*time.Second, 8*time.Second)
	now := time.Now()
	d := &in.drain
	d.streams.Store(1)
	for _, c := range []struct {
		after           time.Duration
		stream, refused bool
	}{{time.Second, true, false}, {3 * time.Second, true, true}, {3 * time.Second, false, false}, {7500 * time.Millisecond, false, true}} {
		g.Expect(d.refuses(now.Add(c.after), c.stream, 0)).To(Equal(c.refused), "after %s, stream %t", c.after, c.stream)
	}
	d.streams.Store(0)
	g.Expect(d.refuses(now.Add(3*time.Second), false, 0)).To(BeTrue(), "no stream keeps the process alive")
	g.Expect(d.bound(now.Add(7*time.Second), 4*time.Second)).To(BeNumerically("<", time.Second))
	g.Expect(d.bound(now, 0)).To(BeNumerically(">", 7*time.Second))
}

// Guards against a request that is sent late in a drain although requests of its route take longer than the time left.
func TestDrainRefusesRequestsThatCannotEndInTime(t *testing.T) {
	const slow, fast, unknown, repeatable = "slow", "fast", "unknown", "unknown and repeatable"
	g := NewWithT(t)
	in := New(Options{})
	in.StartDrain(2*time.Second, 8*time.Second)
	in.drain.streams.Store(1)
	now := time.Now()
	in.durations.observe(slow, 2*time.Second, now)
	in.durations.observe(slow, time.Second, now)
	in.durations.observe(fast, 100*time.Millisecond, now)
	for _, c := range []struct {
		route            string
		timeout, allowed time.Duration
		after            time.Duration
		refused          bool
	}{
		{slow, 0, 0, 4900 * time.Millisecond, false}, {slow, 0, 0, 5100 * time.Millisecond, true}, {slow, 4 * time.Second, 0, 5100 * time.Millisecond, true},
		{slow, 4 * time.Second, 1500 * time.Millisecond, 6400 * time.Millisecond, false}, {slow, 4 * time.Second, 1500 * time.Millisecond, 6600 * time.Millisecond, true},
		{fast, 4 * time.Second, 0, 6900 * time.Millisecond, false}, {fast, 4 * time.Second, 0, 7100 * time.Millisecond, true},
		{unknown, 4 * time.Second, 0, 3900 * time.Millisecond, false}, {unknown, 4 * time.Second, 0, 4100 * time.Millisecond, true},
		{unknown, 10 * time.Second, 0, time.Second, true}, {repeatable, 10 * time.Second, 0, 6900 * time.Millisecond, false},
	} {
		arrived := now.Add(c.after)
		x := &exchange{g: in, arrived: arrived, call: &Call{Timeout: c.allowed}, route: &routetable.Route{Name: c.route, Timeout: c.timeout, Kind: routetable.Unsafe}}
		if c.route == repeatable {
			x.route.Kind = routetable.Safe
		}
		g.Expect(in.drain.refuses(arrived, false, x.drainNeed(arrived))).To(Equal(c.refused), "%+v", c)
	}
}

// Guards against a route whose requests were slow once, and that counts as slow for ever.
func TestLongestDurationIsForgotten(t *testing.T) {
	g := NewWithT(t)
	var d routeDurations
	now := time.Now()
	g.Expect(d.longest("r", now)).To(BeZero())
	d.observe("r", 2*time.Second, now)
	d.observe("r", time.Second, now.Add(durationWindow+time.Second))
	g.Expect(d.longest("r", now.Add(durationWindow+time.Second))).To(Equal(2*time.Second), "in the window before")
	g.Expect(d.longest("r", now.Add(2*durationWindow+time.Second))).To(Equal(time.Second))
	g.Expect(d.longest("r", now.Add(5*durationWindow))).To(BeZero())
	d.observe("other", time.Second, now.Add(9*durationWindow))
	g.Expect(d.routes).To(HaveLen(1), "routes without recent durations take no memory")
}

// Retry-After is short if another gateway can serve the client, otherwise it lasts until this
// gateway has restarted.
func TestDrainRetryAfterDependsOnOtherGateways(t *testing.T) {
	g := NewWithT(t)
	others := 1
	in := New(Options{Neighbours: func() int { return others }})
	in.StartDrain(0, 3*time.Second)
	x := &exchange{g: in, arrived: time.Now(), call: &Call{Timeout: 14 * time.Second}}
	g.Expect(x.drainRetryAfter()).To(Equal(shortRetryAfter))
	others = 0
	g.Expect(x.drainRetryAfter()).To(BeNumerically("~", 3*time.Second+restartTime, 100*time.Millisecond))
	x.call.Timeout = 3 * time.Second
	g.Expect(x.drainRetryAfter()).To(BeNumerically("<=", time.Second))
}
