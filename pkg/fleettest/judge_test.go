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

// broken runs a fleet one of whose mechanisms a test has broken, and expects the
// judge to object to that promise.
func broken(t *testing.T, promise Promise, spec Spec, run func(f *Fleet, r *Record)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := Start(spec)
		defer f.Close()
		r := NewRecord()
		stop := make(chan struct{})
		go f.Watch(r, stop)
		run(f, r)
		time.Sleep(quiet)
		close(stop)
		synctest.Wait()
		NewWithT(t).Expect(f.Judge(r)).To(ContainElement(HaveField("Promise", promise)))
	})
}

// deaf is an engine that goes on when its caller is gone and is told to cancel.
type deaf struct{ engine.Engine }

func (e deaf) Decode(ctx context.Context, d engine.Decode, imported func(), token func(engine.Token) error) error {
	return e.Engine.Decode(context.WithoutCancel(ctx), d, imported, func(t engine.Token) error {
		_ = token(t)
		return nil
	})
}

func (e deaf) Cancel(context.Context, string) error { return nil }

func TestJudgeObjectsToMemoryHeldForAGoneCaller(t *testing.T) {
	spec := DefaultSpec()
	spec.Tweak = func(o *sidecar.Options) {
		if o.Engine != nil {
			o.Engine = deaf{o.Engine}
		}
	}
	broken(t, NoMemoryForGone, spec, func(f *Fleet, r *Record) {
		ctx, leave := context.WithTimeout(context.Background(), time.Second)
		defer leave()
		r.Calls = append(r.Calls, f.Generate(ctx, f.Gateway(0), NewRequest("r", 100, 3000)))
	})
}

func TestJudgeObjectsToTwoAnswers(t *testing.T) {
	broken(t, NothingTwice, DefaultSpec(), func(f *Fleet, r *Record) {
		// A caller's library that hedges below hopwell gets two lives, and both
		// of them answer.
		first := f.Generate(context.Background(), f.Gateway(0), NewRequest("r", 100, 8))
		second := f.Generate(context.Background(), f.Gateway(1), NewRequest("r", 100, 8))
		first.Answers += second.Answers
		r.Calls = append(r.Calls, first)
	})
}

// shifted resumes one token too early under the right offsets.
type shifted struct{ engine.Engine }

func (e shifted) Decode(ctx context.Context, d engine.Decode, imported func(), token func(engine.Token) error) error {
	if d.Offset == 0 {
		return e.Engine.Decode(ctx, d, imported, token)
	}
	d.Offset--
	return e.Engine.Decode(ctx, d, imported, func(t engine.Token) error {
		t.Offset++
		return token(t)
	})
}

func TestJudgeObjectsToAResumeAtTheWrongPlace(t *testing.T) {
	spec := DefaultSpec()
	spec.Tweak = func(o *sidecar.Options) {
		if o.Engine != nil {
			o.Engine = shifted{o.Engine}
		}
	}
	broken(t, WholeOwnAnswer, spec, func(f *Fleet, r *Record) {
		wait := inBackground(r, func() *Call { return f.Generate(context.Background(), f.Gateway(0), NewRequest("r", 100, 300)) })
		time.Sleep(2 * time.Second)
		f.Lose(f.streamingOn("r"))
		wait()
	})
}

// liar runs a call and says that it never reached the service.
type liar struct{ engine.Service }

func (s liar) Call(ctx context.Context, r *http.Request) (*http.Response, error) {
	resp, err := s.Service.Call(ctx, r)
	if err == nil {
		_ = resp.Body.Close()
	}
	return nil, &engine.ErrUnreachable{Sent: false}
}

func TestJudgeObjectsToAFalseNotRun(t *testing.T) {
	spec := DefaultSpec()
	spec.Services = 1
	spec.Tweak = func(o *sidecar.Options) {
		if o.Service != nil {
			o.Service = liar{o.Service}
		}
	}
	broken(t, NotRunIsTrue, spec, func(f *Fleet, r *Record) {
		r.Calls = append(r.Calls, f.Order(context.Background(), f.Gateway(0), NewOrder("o", "k")))
	})
}

// forgetful is a key-value service that loses claims.
type forgetful struct{ platform.KV }

func (k forgetful) Get(ctx context.Context, key string) (platform.Value, error) {
	v, err := k.KV.Get(ctx, key)
	if strings.Contains(key, "claims") {
		v.Data = nil
	}
	return v, err
}

func TestJudgeObjectsToARepeatedOrder(t *testing.T) {
	spec := DefaultSpec()
	spec.WrapKV = func(kv platform.KV) platform.KV { return forgetful{kv} }
	broken(t, AtMostOnce, spec, func(f *Fleet, r *Record) {
		p := f.Gateway(0)
		r.Calls = append(r.Calls, f.Order(context.Background(), p, NewOrder("o1", "k")))
		for _, g := range f.Live(platform.RoleGateway) {
			f.Crash(g.Entry.Name)
			f.Restart(g.Entry)
		}
		time.Sleep(settle)
		r.Calls = append(r.Calls, f.Order(context.Background(), f.Gateway(0), NewOrder("o2", "k")))
	})
}

func TestJudgeObjectsToWorkOnALeavingInstance(t *testing.T) {
	broken(t, LeavingGetsNothing, DefaultSpec(), func(f *Fleet, r *Record) {
		// Nobody tells the sidecar, and the list does not show it.
		r.Left["decode-1"] = time.Now()
		for i := range 30 {
			time.Sleep(time.Second)
			r.Calls = append(r.Calls, f.Generate(context.Background(), f.Gateway(0), NewRequest("r"+string(rune('a'+i)), 100, 8)))
		}
	})
}

func TestJudgeObjectsToACutOffStop(t *testing.T) {
	broken(t, StopCutsNothing, DefaultSpec(), func(f *Fleet, r *Record) {
		p := f.Gateway(0)
		wait := inBackground(r, func() *Call { return f.Generate(context.Background(), p, NewRequest("r", 100, 300)) })
		time.Sleep(time.Second)
		r.Planned[p.Entry.Name] = true
		f.Crash(p.Entry.Name)
		wait()
	})
}

// unwatched is a key-value service without watches.
type unwatched struct{ platform.KV }

func (k unwatched) Watch(ctx context.Context, key string, _ uint64, wait time.Duration) (platform.Value, error) {
	time.Sleep(wait)
	return k.Get(ctx, key)
}

func TestJudgeObjectsToALateChange(t *testing.T) {
	spec := DefaultSpec()
	spec.WrapKV = func(kv platform.KV) platform.KV { return unwatched{kv} }
	broken(t, ChangeInForce, spec, func(f *Fleet, r *Record) {
		// Without watches, what is cut off from its peers learns nothing.
		f.Net.Freeze("decode-1")
		doc, err := f.Change(&fleet.Change{ID: "c", SetLabels: map[string]fleet.Labels{"decode-1": {"rack": "7"}}})
		if err == nil {
			r.Accepted[doc.Revision] = time.Now()
		}
		time.Sleep(10 * time.Second)
	})
}
