package fleettest

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/claim"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/trace"
)

// scenario runs a test against a fleet in a synctest bubble and reports all
// violations as errors. testing/synctest needs a *testing.T of its own, so these
// are plain tests with gomega's matchers.
func scenario(t *testing.T, spec Spec, run func(g *WithT, f *Fleet, r *Record)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := Start(spec)
		defer f.Close()
		r := NewRecord()
		stop := make(chan struct{})
		var watch sync.WaitGroup
		watch.Go(func() { f.Watch(r, stop) })
		end := sync.OnceFunc(func() { close(stop) })
		defer end()
		run(NewWithT(t), f, r)
		time.Sleep(quiescence)
		end()
		watch.Wait()
		for _, v := range f.Judge(r) {
			t.Error(v)
		}
	})
}

// inBackground starts a call and returns a function that waits for its end and
// records it.
func inBackground(r *Record, do func() *Call) func() *Call {
	done := make(chan *Call, 1)
	go func() { done <- do() }()
	return func() *Call {
		c := <-done
		r.Calls = append(r.Calls, c)
		return c
	}
}

// heldBy returns the number of pieces of engine memory held for a request.
func (f *Fleet) heldBy(id string) int {
	n := 0
	for _, e := range f.Engines {
		held, _ := e.Held(context.Background())
		for _, h := range held {
			if requestID(h.ID) == id {
				n++
			}
		}
	}
	return n
}

// streamingOn returns the decode instance that a request streams from.
func (f *Fleet) streamingOn(id string) string {
	for name, e := range f.Engines {
		held, _ := e.Held(context.Background())
		for _, h := range held {
			if requestID(h.ID) == id && h.What == "decode" {
				return name
			}
		}
	}
	return ""
}

func TestClientDisconnectFreesMemoryWithinASecond(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		ctx, leave := context.WithCancel(context.Background())
		wait := inBackground(r, func() *Call { return f.Generate(ctx, f.Gateway(0), NewRequest("r", 300, 4000)) })
		time.Sleep(2 * time.Second)
		g.Expect(f.heldBy("r")).To(Equal(1))
		leave()
		time.Sleep(freeBound)
		g.Expect(f.heldBy("r")).To(BeZero())
		wait()
	})
}

func TestGatewayCrashFreesMemoryAfterHoldLease(t *testing.T) {
	for _, name := range []string{"killed", "cut off"} {
		t.Run(name, func(t *testing.T) {
			scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
				p := f.Gateway(0)
				wait := inBackground(r, func() *Call { return f.Generate(context.Background(), p, NewRequest("r", 300, 4000)) })
				time.Sleep(2 * time.Second)
				if name == "killed" {
					f.Crash(p.Entry.Name)
				} else {
					r.CutOff[p.Entry.Name] = time.Now()
					defer f.Net.Freeze(p.Entry.Inner)()
				}
				time.Sleep(gateway.DefaultLease + freeBound)
				g.Expect(f.heldBy("r")).To(BeZero())
				wait()
			})
		})
	}
}

func TestRestartedSidecarFreesOrphanedEngineMemory(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		wait := inBackground(r, func() *Call { return f.Generate(context.Background(), f.Gateway(0), NewRequest("r", 300, 900)) })
		time.Sleep(2 * time.Second)
		on := f.streamingOn("r")
		entry := f.Process(on).Entry
		f.Crash(on)
		time.Sleep(time.Second)
		held, _ := f.Engines[on].Held(context.Background())
		g.Expect(held).NotTo(BeEmpty(), "the engine continues without its sidecar")
		f.Restart(entry)
		time.Sleep(100 * time.Millisecond)
		held, _ = f.Engines[on].Held(context.Background())
		g.Expect(held).To(BeEmpty())
		g.Expect(wait().Result.Outcome).To(Equal(request.Done), "the stream resumes on another engine")
	})
}

func TestOrderRunsAtMostOnceThroughTwoGateways(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		p := f.Gateway(0)
		first := inBackground(r, func() *Call { return f.Order(context.Background(), p, NewOrder("o1", "k")) })
		time.Sleep(10 * time.Millisecond)
		f.Crash(p.Entry.Name)
		second := f.Order(context.Background(), f.Gateway(0), NewOrder("o2", "k"))
		r.Calls = append(r.Calls, second)
		first()
		var held *claim.ErrHeld
		g.Expect(errors.As(second.Result.Err, &held)).To(BeTrue(), "%v", second.Result.Err)
		g.Expect(f.orderRuns("order k")).To(BeNumerically("<=", 1))
	})
}

func TestConcurrentOrdersWithOneKeyRunOnce(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		var waits []func() *Call
		for i, id := range []string{"o1", "o2", "o3", "o4", "o5", "o6"} {
			waits = append(waits, inBackground(r, func() *Call { return f.Order(context.Background(), f.Gateway(i), NewOrder(id, "k")) }))
		}
		done := 0
		for _, wait := range waits {
			if wait().Result.Outcome == request.Done {
				done++
			}
		}
		g.Expect(done).To(Equal(1))
		g.Expect(f.orderRuns("order k")).To(Equal(1))
	})
}

func TestOrderRunsOnceWhenClaimResponseIsLost(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		f.KV.LoseAnswers(1)
		c := f.Order(context.Background(), f.Gateway(0), NewOrder("o1", "k"))
		r.Calls = append(r.Calls, c)
		g.Expect(c.Result.Outcome).To(Equal(request.Done))
		g.Expect(f.orderRuns("order k")).To(Equal(1))
	})
}

func TestOrderInStoreOutageIsNotRunAndFreesItsKey(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		f.KV.SetDown(true)
		c := f.Order(context.Background(), f.Gateway(0), NewOrder("o1", "k"))
		r.Calls = append(r.Calls, c)
		g.Expect(c.Result.Outcome).To(Equal(request.NotRun))
		g.Expect(c.Result.Err).To(BeAssignableToTypeOf(&gateway.ErrShed{}))
		f.KV.SetDown(false)
		time.Sleep(3 * time.Second)
		c = f.Order(context.Background(), f.Gateway(1), NewOrder("o2", "k"))
		r.Calls = append(r.Calls, c)
		g.Expect(c.Result.Outcome).To(Equal(request.Done))
	})
}

func TestOrderIsUnknownAndNotRepeatedWhenRunnerIsLost(t *testing.T) {
	spec := DefaultSpec()
	spec.ServiceTime = time.Second
	scenario(t, spec, func(g *WithT, f *Fleet, r *Record) {
		wait := inBackground(r, func() *Call { return f.Order(context.Background(), f.Gateway(0), NewOrder("o1", "k")) })
		time.Sleep(300 * time.Millisecond)
		for name, s := range f.Calls {
			if s.Runs("order k") == 1 {
				f.Lose(name)
			}
		}
		g.Expect(wait().Result.Outcome).To(Equal(request.Unknown))
		again := f.Order(context.Background(), f.Gateway(1), NewOrder("o2", "k"))
		r.Calls = append(r.Calls, again)
		var held *claim.ErrHeld
		g.Expect(errors.As(again.Result.Err, &held)).To(BeTrue())
		g.Expect(f.orderRuns("order k")).To(Equal(1))
	})
}

func TestLeavingInstanceGetsNoWorkFromStaleGateway(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		f.List.SetLag(time.Hour)
		r.Left["decode-1"] = time.Now()
		f.Process("decode-1").Sidecar.Leave(time.Time{}, "notice")
		for i := range 30 {
			c := f.Generate(context.Background(), f.Gateway(i), NewRequest("r"+string(rune('a'+i)), 100, 20))
			r.Calls = append(r.Calls, c)
			g.Expect(c.Result.Err).NotTo(HaveOccurred())
		}
		g.Expect(f.Process("decode-1").Node.Log.Events(trace.Filter{})).NotTo(ContainElement(HaveField("Type", trace.Started)))
	})
}

func TestLeavingLabelStopsWorkOnInstanceWithinLeaveBound(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		doc, err := f.Change(&fleet.Change{ID: "out", SetLabels: map[string]fleet.Labels{"decode-1": {fleet.LabelLeaving: "true"}}})
		g.Expect(err).NotTo(HaveOccurred())
		r.Accepted[doc.Revision], r.Left["decode-1"] = time.Now(), time.Now()
		for i := range 30 {
			c := f.Generate(context.Background(), f.Gateway(i), NewRequest("r"+string(rune('a'+i)), 100, 20))
			r.Calls = append(r.Calls, c)
			g.Expect(c.Result.Outcome).To(Equal(request.Done))
		}
	})
}

func TestDrainMovesStreamThatCannotEndBeforeDeadline(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		wait := inBackground(r, func() *Call { return f.Generate(context.Background(), f.Gateway(0), NewRequest("r", 300, 2000)) })
		time.Sleep(2 * time.Second)
		on := f.streamingOn("r")
		r.Planned[on], r.Left[on] = true, time.Now()
		began := time.Now()
		f.Drain(on, time.Now().Add(5*time.Second))
		g.Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
		c := wait()
		g.Expect(c.Result.Outcome).To(Equal(request.Done))
		g.Expect(c.Result.Wasted).To(BeZero(), "the KV cache is moved and nothing is computed again")
		g.Expect(c.Result.PerToken).To(BeNumerically("<", 63*time.Millisecond))
	})
}

func TestDrainWithoutDeadlineFinishesOpenRequests(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		var waits []func() *Call
		for i := range 12 {
			waits = append(waits, inBackground(r, func() *Call {
				return f.Generate(context.Background(), f.Gateway(i), NewRequest("r"+string(rune('a'+i)), 300, 200))
			}))
		}
		time.Sleep(time.Second)
		for _, name := range []string{"decode-1", "prefill-1", "gateway-1"} {
			r.Planned[name] = true
			f.Drain(name, time.Time{})
		}
		for _, wait := range waits {
			c := wait()
			g.Expect(c.Result.Outcome).To(Equal(request.Done))
			g.Expect(c.Result.Attempts).To(Equal(1))
		}
	})
}

func TestChangeReachesAllProcessesDuringStoreOutage(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		doc, err := f.Change(&fleet.Change{ID: "c", SetLabels: map[string]fleet.Labels{"decode-1": {"rack": "7"}}})
		g.Expect(err).NotTo(HaveOccurred())
		f.KV.SetDown(true)
		r.Accepted[doc.Revision] = time.Now()
		f.Crash("prefill-3")
		time.Sleep(time.Second)
		p := f.Restart(f.entry("prefill-3", 2, "sidecar", "prefill"))
		time.Sleep(inForceBound)
		g.Expect(p.Node.Keeper.Document().Revision).To(Equal(doc.Revision), "a process that starts during the outage receives the change from its peers")
	})
}

func TestChangeTakesEffectOnceWhenResponseIsLost(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		before := f.Gateway(0).Node.Keeper.Document().Revision
		f.KV.LoseAnswers(1)
		doc, err := f.Change(&fleet.Change{ID: "c", SetLabels: map[string]fleet.Labels{"decode-1": {"rack": "7"}}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(doc.Revision).To(Equal(before+1), "the change takes effect once")
		r.Accepted[doc.Revision] = time.Now()
	})
}

func TestConcurrentChangesAreRebasedOrConflict(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		base := f.Gateway(0).Node.Keeper.Document().Revision
		set := func(id, in, key, value string) error {
			doc, err := f.Change(&fleet.Change{ID: id, Base: base, SetLabels: map[string]fleet.Labels{in: {key: value}}})
			if err == nil {
				r.Accepted[doc.Revision] = time.Now()
			}
			return err
		}
		g.Expect(set("a", "decode-1", "rack", "7")).To(Succeed())
		g.Expect(set("b", "decode-2", "rack", "8")).To(Succeed(), "a disjoint change is rebased")
		var conflict *fleet.ErrConflict
		g.Expect(errors.As(set("c", "decode-1", "rack", "9"), &conflict)).To(BeTrue())
		g.Expect(conflict.Theirs).To(Equal("7"))
		g.Expect(conflict.Mine).To(Equal("9"))
	})
}

func TestEmptyInstanceListRemovesNoHealthyRunner(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, r *Record) {
		f.List.SetEmpty(true)
		for i := range 20 {
			time.Sleep(time.Second)
			c := f.Generate(context.Background(), f.Gateway(i), NewRequest("r"+string(rune('a'+i)), 100, 20))
			r.Calls = append(r.Calls, c)
			g.Expect(c.Result.Outcome).To(Equal(request.Done))
		}
	})
}

func TestWeightFetchesStayWithinStoreRateLimit(t *testing.T) {
	scenario(t, DefaultSpec(), func(g *WithT, f *Fleet, _ *Record) {
		time.Sleep(10 * time.Second)
		for name, e := range f.Engines {
			l, _ := e.Load(context.Background())
			g.Expect(l.Assigned.Model).To(Equal(Model), name)
		}
		g.Expect(f.Weights.Fetches()).To(Equal(len(f.Engines)))
	})
}

// A moved stream retries a runner that refused it for lack of capacity until it
// is accepted, so that its prefill is not wasted. A refusal used to fence the
// attempt on that runner permanently.
func TestMovedStreamRetriesRunnerThatRefusedIt(t *testing.T) {
	spec := DefaultSpec()
	spec.Decodes = 2
	spec.Decode.BatchLimit = 1
	scenario(t, spec, func(g *WithT, f *Fleet, r *Record) {
		long := inBackground(r, func() *Call { return f.Generate(context.Background(), f.Gateway(0), NewRequest("long", 300, 1000)) })
		time.Sleep(time.Second)
		short := inBackground(r, func() *Call { return f.Generate(context.Background(), f.Gateway(1), NewRequest("short", 300, 200)) })
		time.Sleep(time.Second)
		on := f.streamingOn("long")
		r.Planned[on], r.Left[on] = true, time.Now()
		f.Drain(on, time.Now().Add(3100*time.Millisecond))
		g.Expect(short().Result.Outcome).To(Equal(request.Done))
		c := long()
		g.Expect(c.Result.Err).NotTo(HaveOccurred())
		g.Expect(c.Result.Attempts).To(Equal(2))
		g.Expect(c.Result.Wasted).To(BeZero())
	})
}

// The reserved decode runner computes a short prompt whose prefill runner has
// crashed, if the decode runner has both roles.
func TestDecodeRunnerPrefillsWhenPrefillRunnerIsLost(t *testing.T) {
	spec := DefaultSpec()
	spec.Prefills = 1
	spec.Selectors = DefaultSelectors()
	spec.Selectors[0].Match = "pool in (prefill,decode)"
	scenario(t, spec, func(g *WithT, f *Fleet, r *Record) {
		c := f.Generate(context.Background(), f.Gateway(0), NewRequest("before", 100, 20))
		r.Calls = append(r.Calls, c)
		g.Expect(f.Engines["prefill-1"].Stats().Prefilled).To(BeNumerically(">", 0), "decode runners prefill only if no prefill runner can")
		f.Crash("prefill-1")
		c = f.Generate(context.Background(), f.Gateway(0), NewRequest("short", 100, 20))
		r.Calls = append(r.Calls, c)
		g.Expect(c.Result.Outcome).To(Equal(request.Done))
		g.Expect(c.Result.Prefilled).To(Equal(100))
		g.Expect(c.Result.Wasted).To(BeZero())
		long := f.Generate(context.Background(), f.Gateway(0), NewRequest("long", 5000, 20))
		r.Calls = append(r.Calls, long)
		g.Expect(long.Result.Outcome).To(Equal(request.NotRun))
	})
}
