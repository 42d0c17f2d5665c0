package peers

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/runnerlimit"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

func TestRunnerLimitsSurviveEncoding(t *testing.T) {
	g := NewWithT(t)
	reports := []runnerlimit.Report{
		{Runner: "r", Statement: runnerlimit.Statement{Kind: runnerlimit.PrefillCall, Named: true, PerSecond: 2.9, Calls: 2}, NamedAgo: 40 * time.Millisecond, Sent: 7},
		{Runner: "s", Statement: runnerlimit.Statement{Kind: runnerlimit.RunCall, Named: true, PerSecond: 1, Calls: 1}, NamedAgo: time.Second, Ended: true, EndedAgo: 5 * time.Millisecond},
	}
	g.Expect(decodeLimits(encodeLimits(reports))).To(Equal(reports))
	g.Expect(decodeLimits([]*wirepb.RunnerLimit{{PerSecond: 1}, {Runner: "r", PerSecond: -1}, {Runner: "r", PerSecond: math.NaN()}, {Runner: "r", PerSecond: math.Inf(1)}})).To(BeEmpty())
}

// Guards against a gateway from which no full state arrives because the rate limits of many runners exceed a datagram.
func TestStateArrivesBesideTheLimitsOfManyRunners(t *testing.T) {
	g := NewWithT(t)
	const runners = 4000
	var mu sync.Mutex
	var failed []error
	gateways := map[string]*gateway{"a": newGateway(t, "a", 10), "b": newGateway(t, "b", 20)}
	for name, w := range gateways {
		w.options.Limits = runnerlimit.New(name)
		w.options.Failed = func(err error) {
			mu.Lock()
			defer mu.Unlock()
			failed = append(failed, err)
		}
	}
	a, b := gateways["a"], gateways["b"]
	var known atomic.Int64
	b.options.Limits.Changed = func(runnerlimit.Change) { known.Add(1) }
	now := time.Now()
	for i := range runners {
		a.options.Limits.Observe(fmt.Sprintf("runner-%d", i), runnerlimit.Statement{Kind: runnerlimit.RunCall, SentAt: now, Named: true, PerSecond: 10, Calls: 1}, now)
	}
	run(t, a)
	run(t, b)
	g.Expect(b.Add("a", a.address)).To(Succeed())
	g.Eventually(func() bool { _, ok := b.receivedFrom("a"); return ok }, "10s").Should(BeTrue())
	g.Eventually(known.Load, "20s").Should(BeEquivalentTo(runners))
	mu.Lock()
	defer mu.Unlock()
	g.Expect(failed).To(BeEmpty())
}
