package ingress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
		g.Expect(d.refuses(now.Add(c.after), c.stream)).To(Equal(c.refused), "after %s, stream %t", c.after, c.stream)
	}
	d.streams.Store(0)
	g.Expect(d.refuses(now.Add(3*time.Second), false)).To(BeTrue(), "no stream keeps the process alive")
	g.Expect(d.bound(now.Add(7*time.Second), 4*time.Second)).To(BeNumerically("<", time.Second))
	g.Expect(d.bound(now, 0)).To(BeNumerically(">", 7*time.Second))
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
