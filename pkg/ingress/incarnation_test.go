package ingress

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/upstream"
)

// announcements records the origins that a gateway announces.
type announcements struct{ list []resume.Origin }

func (a *announcements) AnnounceOrigins(list []resume.Origin)     { a.list = append(a.list, list...) }
func (a *announcements) AskOrigin(resume.Key, string) (asked int) { return 0 }
func (a *announcements) AskOriginOfAll(resume.Key, string) (asked, all int, ok bool) {
	return 0, 0, true
}

// newStreamExchange returns a request for a new stream, at a gateway whose runners are checked by calls.
func newStreamExchange(t *testing.T, calls RunnerClient, route routetable.Route, others OriginExchange) *exchange {
	g := New(Options{Name: "a", Runners: calls, Log: newLog(t), Origins: Origins{Exchange: others}})
	return &exchange{g: g, ctx: context.Background(), call: &Call{ID: "q"}, route: &route, service: "llm", arrived: time.Now()}
}

// Guards against a stream that is passed on although its runner may have another software version than its entry, and
// against failing those whose runner does not tell.
func TestStreamBeginsOnlyAtConfirmedIncarnation(t *testing.T) {
	const bound = "v1"
	resumable, once := routetable.Route{Kind: routetable.Stream, Resumable: true}, routetable.Route{Kind: routetable.Stream}
	silent := errors.New("silent")
	for name, c := range map[string]struct {
		asked     askedRunners
		route     routetable.Route
		bound     string
		forwarded bool
		certain   bool
	}{
		"the same":                            {askedRunners{current: true}, resumable, "", true, true},
		"restarted":                           {askedRunners{}, resumable, "", false, true},
		"not known":                           {askedRunners{alive: silent}, resumable, "", true, false},
		"the same, resumed":                   {askedRunners{current: true}, resumable, bound, true, true},
		"restarted, resumed":                  {askedRunners{}, resumable, bound, false, true},
		"not known, resumed":                  {askedRunners{alive: silent}, resumable, bound, false, true},
		"restarted, stream can't be resumed":  {askedRunners{}, once, "", true, true},
		"not known, resumed at another route": {askedRunners{alive: silent}, once, bound, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			others := &announcements{}
			x := newStreamExchange(t, &c.asked, c.route, others)
			x.g.Directory.Put(runners.Runner{ID: "d1@1", Name: "d1", Service: "llm", Version: "v1", Born: 1}, time.Now())
			runner := x.g.Directory.Find("d1@1")
			x.beginStream(runner)
			err := x.confirmVersion(runner, &Response{Peer: &upstream.Peer{}}, c.bound)
			g.Expect(err == nil).To(Equal(c.forwarded), "%v", err)
			if !c.route.Resumable {
				return
			}
			o, known := x.g.origins.Find(x.streamKey("q"), time.Now())
			g.Expect(known).To(BeTrue())
			g.Expect(o.Version != "").To(Equal(c.certain))
			if !c.certain {
				g.Expect(others.list).To(ConsistOf(HaveField("Version", "")), "other gateways must not take the version for certain")
			}
		})
	}
}

// Guards against a check of the runner for each stream, and against trusting a connection to another incarnation.
func TestRunnerIsAskedOncePerConnection(t *testing.T) {
	g := NewWithT(t)
	asked := &askedRunners{current: true}
	x := newStreamExchange(t, asked, routetable.Route{Kind: routetable.Stream, Resumable: true}, nil)
	x.g.Directory.Put(runners.Runner{ID: "d1@1", Name: "d1", Service: "llm", Version: "v1", Born: 1}, time.Now())
	runner := x.g.Directory.Find("d1@1")
	response := &Response{Peer: &upstream.Peer{}}
	g.Expect(x.confirmIncarnation(runner, response)).To(Succeed())
	asked.current = false
	g.Expect(x.confirmIncarnation(runner, response)).To(Succeed(), "the same connection")
	g.Expect(x.confirmIncarnation(runner, &Response{Peer: &upstream.Peer{}})).NotTo(Succeed(), "a new connection")
	response.Peer.Identify("d1@2")
	g.Expect(x.confirmIncarnation(runner, response)).NotTo(Succeed(), "a connection of another incarnation")
}

// Guards against a request that is sent again at another version than the announced one: the second announcement may be
// lost with this gateway.
func TestAnnouncedStreamBeginsOnlyAtItsVersion(t *testing.T) {
	g := NewWithT(t)
	others := &announcements{}
	x := newStreamExchange(t, &askedRunners{}, routetable.Route{Kind: routetable.Stream, Resumable: true}, others)
	for id, version := range map[string]string{"d1": "v1", "d2": "v2"} {
		x.g.Directory.Put(runners.Runner{ID: id, Service: "llm", Version: version}, time.Now())
		x.g.ObserveVersion(&runners.Runner{Service: "llm", Version: version})
	}
	x.g.ReadRecord("llm", resume.Record{Versions: []string{"v1", "v2"}, Lifetime: time.Minute})
	g.Expect(x.versionFilter()("v1")).To(BeTrue())
	x.beginStream(x.g.Directory.Find("d2"))
	g.Expect(others.list).To(HaveLen(1))
	g.Expect(x.versionFilter()("v1")).To(BeFalse())
	g.Expect(x.versionFilter()("v2")).To(BeTrue())
	x.doubtOrigin()
	g.Expect(x.versionFilter()("v1")).To(BeTrue(), "the announced origin names no version")
}

// Guards against other gateways that keep an origin as uncertain after the stream began anew at a confirmed runner.
func TestOriginIsAnnouncedAgainAfterDoubt(t *testing.T) {
	g := NewWithT(t)
	others := &announcements{}
	x := newStreamExchange(t, &askedRunners{}, routetable.Route{Kind: routetable.Stream, Resumable: true}, others)
	for _, id := range []string{"d1", "d2"} {
		x.g.Directory.Put(runners.Runner{ID: id + "@1", Name: id, Service: "llm", Version: "v1", Born: 1}, time.Now())
	}
	x.beginStream(x.g.Directory.Find("d1@1"))
	g.Expect(others.list).To(BeEmpty(), "one version")
	x.doubtOrigin()
	x.beginStream(x.g.Directory.Find("d2@1"))
	x.beginStream(x.g.Directory.Find("d2@1"))
	g.Expect(others.list).To(HaveExactElements(HaveField("Version", ""), HaveField("Version", "v1")))
}
