package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/plainload"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runnerlimit"
	"github.com/hopwell/hopwell/pkg/runners"
)

func newLog(t *testing.T) *decisionlog.Log {
	log := decisionlog.New("g", io.Discard)
	t.Cleanup(func() { log.Close(time.Second) })
	return log
}

// newFullIngress returns an ingress with the plain runners "full", which has one request and just
// turned another one away, and "losing", which loses responses.
func newFullIngress(t *testing.T) *Ingress {
	g := New(Options{Log: newLog(t)})
	now := time.Now()
	for _, id := range []string{"full", "losing"} {
		g.Directory.Put(runners.Runner{ID: id, Service: "s"}, now)
	}
	full, losing := g.Directory.Find("full"), g.Directory.Find("losing")
	for range 3 {
		full.Declined(now)
		losing.Failed(now)
		losing.Lost(now)
	}
	turnAway(g, "full", now)
	return g
}

// turnAway leaves one request at a runner, which turned another one away.
func turnAway(g *Ingress, runner string, now time.Time) {
	g.plain.Claim("s", runner, now)
	g.plain.Claim("s", runner, now)
	g.plain.End(runner, plainload.TurnedAway, 0, 120*time.Millisecond, now)
}

// newPlainExchange returns a request with a latency target of 120 ms.
func newPlainExchange(ctx context.Context, g *Ingress, kind routetable.Kind) *exchange {
	table, err := routetable.New(routetable.Config{Version: 1, Services: map[string]routetable.Service{"s": {Name: "s"}}})
	if err != nil {
		panic(err)
	}
	g.SetTable(table)
	return &exchange{
		g: g, ctx: ctx, w: httpd.NewStallWriter(httptest.NewRecorder(), time.Second), service: "s", arrived: time.Now(),
		call: &Call{ID: "q", Timeout: 1500 * time.Millisecond}, route: &routetable.Route{Name: "r", Kind: kind, LatencyTarget: 120 * time.Millisecond},
	}
}

// A request that must not be repeated is not lost at a runner that loses responses because another
// one is full.
func TestNonRepeatableRequestIsNotSentToLosingRunner(t *testing.T) {
	g := NewWithT(t)
	in := newFullIngress(t)
	g.Expect(chosen(in, plainRequest{id: "a", service: "s"})).To(BeNil())
	_, err := in.choosePlain(plainRequest{id: "a", service: "s"})
	g.Expect(isFull(err)).To(BeTrue())
	g.Expect(chosen(in, plainRequest{id: "b", service: "s", repeatable: true}).ID).To(Equal("losing"), "it can be sent again")
}

// Guards against a refusal because the only runner that loses nothing can't be reached.
func TestNonRepeatableRequestIsSentToLosingRunnerIfOthersFailedIt(t *testing.T) {
	g := NewWithT(t)
	in := newFullIngress(t)
	runner := chosen(in, plainRequest{id: "a", service: "s", avoid: map[string]bool{"full": true}})
	g.Expect(runner).NotTo(BeNil())
	g.Expect(runner.ID).To(Equal("losing"))
}

// A request that finds others waiting waits for a runner at its rate limit like one that comes alone.
func TestRequestBehindOthersWaitsForRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in := New(Options{Log: newLog(t)})
		in.Directory.Put(runners.Runner{ID: "a", Service: "s"}, time.Now())
		in.Directory.Limits.Observe("a", runnerlimit.Statement{Kind: runnerlimit.RunCall, Named: true, PerSecond: 100, Calls: 1}, time.Now())
		runner := in.Directory.Find("a")
		for i := 0; runner.Claim(fmt.Sprint("r", i), time.Now()); i++ {
			runner.Sent(fmt.Sprint("r", i), time.Now())
		}
		x := newPlainExchange(t.Context(), in, routetable.Unsafe)
		x.route.LatencyTarget = time.Second
		other := in.plain.Queue("s").Enter(plainload.Request{Lane: "other"})
		defer in.plain.Queue("s").Leave(other, time.Now())
		got, err := x.claimPlain(map[string]bool{}, map[string]bool{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(runner))
		g.Expect(time.Since(x.arrived)).To(BeNumerically(">", 0))
	})
}

func TestRequestWaitsForPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in := newFullIngress(t)
		x := newPlainExchange(t.Context(), in, routetable.Unsafe)
		go func() {
			time.Sleep(15 * time.Millisecond)
			x.endPlace(in.Directory.Find("full"), responded, nil, 15*time.Millisecond)
		}()
		runner, err := x.claimPlain(map[string]bool{}, map[string]bool{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(runner.ID).To(Equal("full"))
		g.Expect(time.Since(x.arrived)).To(Equal(15 * time.Millisecond))
	})
}

// Guards against a refusal that comes so late that the client's return is late in any case, and
// against a Retry-After beyond what clients honor.
func TestRequestIsRefusedWhileItCanReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x := newPlainExchange(t.Context(), newFullIngress(t), routetable.Unsafe)
		_, err := x.claimPlain(map[string]bool{}, map[string]bool{})
		g.Expect(isFull(err)).To(BeTrue())
		g.Expect(cause(err)).To(Equal("runners_full"))
		g.Expect(time.Since(x.arrived)).To(BeNumerically("<=", 30*time.Millisecond))
		after := float64(plainRetryAfter(err)) * retryAfterSpread
		g.Expect(after).To(BeNumerically("<=", retryAfterShare*float64(x.call.Timeout)))
		g.Expect(x.g.plain.Queue("s").Len()).To(BeZero())
	})
}

// Guards against requests that are refused at once since their route has no latency target.
func TestRequestWithoutTargetWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in := newFullIngress(t)
		ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
		defer cancel()
		x := newPlainExchange(ctx, in, routetable.Unsafe)
		x.route.LatencyTarget = 0
		time.AfterFunc(100*time.Millisecond, func() { x.endPlace(in.Directory.Find("full"), responded, nil, 15*time.Millisecond) })
		runner, err := x.claimPlain(map[string]bool{}, map[string]bool{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(runner.ID).To(Equal("full"))
	})
}

// Guards against *enginepool.ErrNoRunner if a place becomes free between the choice and the check why it failed.
func TestPlaceThatBecomesFreeAfterTheChoiceIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in := newFullIngress(t)
		time.Sleep(100 * time.Millisecond)
		w, now := plainRequest{id: "a", service: "s"}, time.Now()
		list := []*runners.State{in.Directory.Find("full")}
		g.Expect(in.claimBest(w, list, failureCost, now)).To(BeNil())
		in.plain.End("full", plainload.Answered, 15*time.Millisecond, 120*time.Millisecond, now)
		g.Expect(w.anyFull(list, now)).To(BeTrue(), "the request waits and asks again")
		g.Expect(in.claimBest(w, list, failureCost, now)).To(Equal(list[0]))
		g.Expect(plainRequest{avoid: map[string]bool{"full": true}}.anyFull(list, now)).To(BeFalse())
	})
}

// Guards against a Retry-After beyond what a client with little time honors.
func TestImpatientClientCanReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x := newPlainExchange(t.Context(), newFullIngress(t), routetable.Unsafe)
		x.call.Timeout = 600 * time.Millisecond
		_, err := x.claimPlain(map[string]bool{}, map[string]bool{})
		g.Expect(isFull(err)).To(BeTrue())
		after := float64(plainRetryAfter(err)) * retryAfterSpread
		g.Expect(after).To(BeNumerically("<=", retryAfterShare*float64(x.call.Timeout)))
		g.Expect(after).To(BeNumerically(">=", shortRetryAfter))
	})
}

// Guards against a request that holds up others which may use runners that it may not.
func TestRequestsOfDifferentRegionsDoNotWaitForEachOther(t *testing.T) {
	g := NewWithT(t)
	in := newFullIngress(t)
	lane := func(region string, failed ...string) string {
		x := newPlainExchange(t.Context(), in, routetable.Safe)
		x.version = in.table.Load().Config.Version
		x.route.Regions = []string{region}
		avoid := map[string]bool{}
		for _, id := range failed {
			avoid[id] = true
		}
		return x.waitingRequest(plainRequest{repeatable: true, avoid: avoid, allows: x.runnerFilter()}).Lane
	}
	g.Expect(lane("north", "a", "b")).To(Equal(lane("north", "b", "a")))
	g.Expect(lane("north")).NotTo(Equal(lane("south")))
	g.Expect(lane("north", "a")).NotTo(Equal(lane("north")))
}

// Guards against requests of clients that left and still wait.
func TestGoneClientLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		x := newPlainExchange(ctx, newFullIngress(t), routetable.Unsafe)
		x.rank = enginepool.Returning
		time.AfterFunc(5*time.Millisecond, cancel)
		_, err := x.claimPlain(map[string]bool{}, map[string]bool{})
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(x.arrived)).To(Equal(5 * time.Millisecond))
		g.Expect(x.g.plain.Queue("s").Len()).To(BeZero())
	})
}

// A runner that turned a request away is asked again after a wait, one that failed it is not.
func TestRunnerThatTurnedRequestAwayIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		in := New(Options{Log: newLog(t)})
		in.Directory.Put(runners.Runner{ID: "a", Service: "s"}, time.Now())
		x := newPlainExchange(t.Context(), in, routetable.Safe)
		full := map[string]bool{"a": true}
		runner, err := x.claimPlain(map[string]bool{}, full)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(runner.ID).To(Equal("a"))
		in.plain.End("a", plainload.NotSent, 0, 0, time.Now())
		_, err = x.claimPlain(map[string]bool{"a": true}, full)
		g.Expect(isFull(err)).To(BeFalse())
		g.Expect(err).To(HaveOccurred())
	})
}

// leavingBody is a response whose client leaves before its end.
type leavingBody struct{ leave context.CancelFunc }

func (b leavingBody) Read([]byte) (int, error) {
	b.leave()
	return 0, context.Canceled
}

// brokenBody is a response that breaks off.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a runner that gets no requests because clients leave.
func TestGoneClientIsNoLoss(t *testing.T) {
	g := NewWithT(t)
	in := New(Options{Log: newLog(t), Held: memory.NewAccount("held", 1<<20)})
	in.Directory.Put(runners.Runner{ID: "a", Service: "s"}, time.Now())
	runner := in.Directory.Find("a")
	ctx, cancel := context.WithCancel(t.Context())
	x := newPlainExchange(ctx, in, routetable.Safe)
	_, err := x.forwardResponse(nil, 0, &Response{Status: 200, Body: io.NopCloser(leavingBody{cancel})}, runner)
	g.Expect(err).To(Equal(errClientGone{}))
	g.Expect(runner.Losses(time.Now())).To(BeZero())

	x = newPlainExchange(t.Context(), in, routetable.Safe)
	_, err = x.forwardResponse(nil, 0, &Response{Status: 200, Body: io.NopCloser(brokenBody{})}, runner)
	g.Expect(err).To(HaveOccurred())
	g.Expect(runner.Losses(time.Now())).To(BeNumerically(">=", lossThreshold))
}
