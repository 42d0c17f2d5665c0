package fleettest

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/engine"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/sidecar"
)

// expectViolation runs a fleet with a mechanism that the test has broken on
// purpose, and expects Judge to report a violation of the promise.
func expectViolation(t *testing.T, promise Promise, spec Spec, run func(f *Fleet, r *Record)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := Start(spec)
		defer f.Close()
		r := NewRecord()
		stop := make(chan struct{})
		go f.Watch(r, stop)
		run(f, r)
		time.Sleep(quiescence)
		close(stop)
		synctest.Wait()
		NewWithT(t).Expect(f.Judge(r)).To(ContainElement(HaveField("Promise", promise)))
	})
}

// uncancellableEngine is an engine that continues a stream after its client
// disconnected, and that ignores Cancel.
type uncancellableEngine struct{ engine.Engine }

func (e uncancellableEngine) Decode(ctx context.Context, d engine.Decode, imported func(), token func(engine.Token) error) error {
	return e.Engine.Decode(context.WithoutCancel(ctx), d, imported, func(t engine.Token) error {
		_ = token(t)
		return nil
	})
}

func (e uncancellableEngine) Cancel(context.Context, string) error { return nil }

func TestJudgeReportsMemoryHeldAfterClientDisconnect(t *testing.T) {
	spec := DefaultSpec()
	spec.Tweak = func(o *sidecar.Options) {
		if o.Engine != nil {
			o.Engine = uncancellableEngine{o.Engine}
		}
	}
	expectViolation(t, NoMemoryForGone, spec, func(f *Fleet, r *Record) {
		ctx, leave := context.WithTimeout(context.Background(), time.Second)
		defer leave()
		r.Calls = append(r.Calls, f.Generate(ctx, f.Gateway(0), NewRequest("r", 100, 3000)))
	})
}

func TestJudgeReportsDuplicateResponse(t *testing.T) {
	expectViolation(t, NothingTwice, DefaultSpec(), func(f *Fleet, r *Record) {
		// A client library that hedges sends the same request to two gateways, and
		// both respond.
		first := f.Generate(context.Background(), f.Gateway(0), NewRequest("r", 100, 8))
		second := f.Generate(context.Background(), f.Gateway(1), NewRequest("r", 100, 8))
		first.Answers += second.Answers
		r.Calls = append(r.Calls, first)
	})
}

// shiftedEngine is an engine that resumes a stream one token too early but
// reports the expected offsets.
type shiftedEngine struct{ engine.Engine }

func (e shiftedEngine) Decode(ctx context.Context, d engine.Decode, imported func(), token func(engine.Token) error) error {
	if d.Offset == 0 {
		return e.Engine.Decode(ctx, d, imported, token)
	}
	d.Offset--
	return e.Engine.Decode(ctx, d, imported, func(t engine.Token) error {
		t.Offset++
		return token(t)
	})
}

func TestJudgeReportsResumeAtWrongOffset(t *testing.T) {
	spec := DefaultSpec()
	spec.Tweak = func(o *sidecar.Options) {
		if o.Engine != nil {
			o.Engine = shiftedEngine{o.Engine}
		}
	}
	expectViolation(t, WholeOwnAnswer, spec, func(f *Fleet, r *Record) {
		wait := inBackground(r, func() *Call { return f.Generate(context.Background(), f.Gateway(0), NewRequest("r", 100, 300)) })
		time.Sleep(2 * time.Second)
		f.Lose(f.streamingOn("r"))
		wait()
	})
}

// falseNotSentService is a service that runs a call and then reports that the call
// never reached it.
type falseNotSentService struct{ engine.Service }

func (s falseNotSentService) Call(ctx context.Context, r *http.Request) (*http.Response, error) {
	resp, err := s.Service.Call(ctx, r)
	if err == nil {
		_ = resp.Body.Close()
	}
	return nil, &engine.ErrUnreachable{Sent: false}
}

func TestJudgeReportsFalseNotRun(t *testing.T) {
	spec := DefaultSpec()
	spec.Services = 1
	spec.Tweak = func(o *sidecar.Options) {
		if o.Service != nil {
			o.Service = falseNotSentService{o.Service}
		}
	}
	expectViolation(t, NotRunIsTrue, spec, func(f *Fleet, r *Record) {
		r.Calls = append(r.Calls, f.Order(context.Background(), f.Gateway(0), NewOrder("o", "k")))
	})
}

// claimLosingKV is a key-value service that returns claims without their data.
type claimLosingKV struct{ platform.KV }

func (k claimLosingKV) Get(ctx context.Context, key string) (platform.Value, error) {
	v, err := k.KV.Get(ctx, key)
	if strings.Contains(key, "claims") {
		v.Data = nil
	}
	return v, err
}

func TestJudgeReportsRepeatedOrder(t *testing.T) {
	spec := DefaultSpec()
	spec.WrapKV = func(kv platform.KV) platform.KV { return claimLosingKV{kv} }
	expectViolation(t, AtMostOnce, spec, func(f *Fleet, r *Record) {
		p := f.Gateway(0)
		r.Calls = append(r.Calls, f.Order(context.Background(), p, NewOrder("o1", "k")))
		for _, g := range f.Live(platform.RoleGateway) {
			f.Crash(g.Entry.Name)
			f.Restart(g.Entry)
		}
		time.Sleep(startupTime)
		r.Calls = append(r.Calls, f.Order(context.Background(), f.Gateway(0), NewOrder("o2", "k")))
	})
}

func TestJudgeReportsWorkOnLeavingInstance(t *testing.T) {
	expectViolation(t, LeavingGetsNothing, DefaultSpec(), func(f *Fleet, r *Record) {
		// The sidecar receives no notice, and the list does not show the instance as
		// leaving.
		r.Left["decode-1"] = time.Now()
		for i := range 30 {
			time.Sleep(time.Second)
			r.Calls = append(r.Calls, f.Generate(context.Background(), f.Gateway(0), NewRequest("r"+string(rune('a'+i)), 100, 8)))
		}
	})
}

func TestJudgeReportsRequestCutOffByPlannedStop(t *testing.T) {
	expectViolation(t, StopCutsNothing, DefaultSpec(), func(f *Fleet, r *Record) {
		p := f.Gateway(0)
		wait := inBackground(r, func() *Call { return f.Generate(context.Background(), p, NewRequest("r", 100, 300)) })
		time.Sleep(time.Second)
		r.Planned[p.Entry.Name] = true
		f.Crash(p.Entry.Name)
		wait()
	})
}

// kvWithoutWatches is a key-value service whose watches report a change only at
// the end of their wait.
type kvWithoutWatches struct{ platform.KV }

func (k kvWithoutWatches) Watch(ctx context.Context, key string, _ uint64, wait time.Duration) (platform.Value, error) {
	time.Sleep(wait)
	return k.Get(ctx, key)
}

func TestJudgeReportsLateChange(t *testing.T) {
	spec := DefaultSpec()
	spec.WrapKV = func(kv platform.KV) platform.KV { return kvWithoutWatches{kv} }
	expectViolation(t, ChangeInForce, spec, func(f *Fleet, r *Record) {
		// Without watches, a process that is cut off from its peers receives a
		// change only at the end of a watch.
		f.Net.Freeze("decode-1")
		doc, err := f.Change(&fleet.Change{ID: "c", SetLabels: map[string]fleet.Labels{"decode-1": {"rack": "7"}}})
		if err == nil {
			r.Accepted[doc.Revision] = time.Now()
		}
		time.Sleep(10 * time.Second)
	})
}
