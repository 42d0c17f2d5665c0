package ingress

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/runners"
)

// OriginExchange sends origins of streams to other gateways and asks them for origins.
type OriginExchange interface {
	// AnnounceOrigins sends origins to the gateways that keep them.
	AnnounceOrigins(list []resume.Origin)
	// AskOrigin asks the gateways that keep the origin of a stream and are alive. It returns their
	// number. Replies are passed to ReceiveOriginReply.
	AskOrigin(k resume.Key, service string) (asked int)
	// AskOriginOfAll does the same with all gateways, whether or not they keep the origin. It returns false,
	// without a query, if there are too many.
	AskOriginOfAll(k resume.Key, service string) (asked, all int, ok bool)
}

// Origins connects an Ingress to the origins of streams that other gateways keep.
type Origins struct {
	// Exchange is nil if there are no other gateways.
	Exchange OriginExchange
	// Refresh brings this gateway's copy of the store up to date. It reports whether the copy then has all
	// changes made before the call. If it is nil, the copy always has.
	Refresh func(ctx context.Context) bool
}

const (
	// refreshWait is how long the store is waited for. Its calls take some milliseconds, but those of one gateway
	// are a millisecond apart for each gateway of the fleet.
	refreshWait = 600 * time.Millisecond
	// originReplyWait is how long replies of other gateways are waited for, and originAskInterval the
	// interval at which they are asked again, since datagrams get lost. A round trip within a region
	// takes some milliseconds.
	originReplyWait   = 200 * time.Millisecond
	originAskInterval = 60 * time.Millisecond
)

// questions holds the requests that wait for replies about the origins of their streams.
type questions struct {
	mu   sync.Mutex
	open map[resume.Key][]*question
}

// question collects the replies to one request, by gateway.
type question struct {
	replies map[string]resume.Reply
	// changed holds a value after a reply.
	changed chan struct{}
}

func (q *questions) add(k resume.Key) *question {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := &question{replies: map[string]resume.Reply{}, changed: make(chan struct{}, 1)}
	q.open[k] = append(q.open[k], out)
	return out
}

func (q *questions) remove(k resume.Key, one *question) {
	q.mu.Lock()
	defer q.mu.Unlock()
	left := slices.DeleteFunc(q.open[k], func(other *question) bool { return other == one })
	if q.open[k] = left; len(left) == 0 {
		delete(q.open, k)
	}
}

// receive passes a reply to the requests that wait for it.
func (q *questions) receive(gateway string, r resume.Reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, one := range q.open[r.Key] {
		one.replies[gateway] = r
		select {
		case one.changed <- struct{}{}:
		default:
		}
	}
}

// list returns the replies so far, and whether one of them has the origin.
func (q *questions) list(one *question) (replies []resume.Reply, known bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range one.replies {
		replies = append(replies, r)
		known = known || r.Known
	}
	return replies, known
}

// ReceiveOrigins records origins that another gateway announced.
func (g *Ingress) ReceiveOrigins(gateway string, list []resume.Origin) {
	now := time.Now()
	for _, o := range list {
		g.origins.Receive(gateway, o, now)
	}
}

// ReceiveOriginReply passes on another gateway's reply about a stream.
func (g *Ingress) ReceiveOriginReply(gateway string, r resume.Reply) { g.questions.receive(gateway, r) }

// OriginOf returns this gateway's reply to another gateway's question about a stream.
func (g *Ingress) OriginOf(k resume.Key, service string) resume.Reply {
	now := time.Now()
	o, known := g.origins.Find(k, now)
	r := resume.Reply{Key: k, Known: known, Version: o.Version, Only: g.versions.Only(service, now)}
	r.Unannounced = g.unannounced(service, now)
	return r
}

// unannounced returns Versions.Unannounced if this gateway has the origins of all streams that it began.
func (g *Ingress) unannounced(service string, now time.Time) string {
	if !g.origins.Complete(now) {
		return ""
	}
	return g.versions.Unannounced(service, now)
}

// ObserveVersion records that a runner serves. Streams of its service that began while there was only
// one version are announced when a second one comes.
func (g *Ingress) ObserveVersion(r *runners.Runner) {
	now := time.Now()
	if g.versions.Observe(r.Service, r.Version, now) {
		g.announceOwn(r.Service, now, decisionlog.F("new", r.Version))
	}
}

// ReadRecord applies the record of a service's software versions in the store. Streams that began while
// there was only one version are announced if it lists a second one.
func (g *Ingress) ReadRecord(service string, r resume.Record) {
	now := time.Now()
	if g.versions.ReadRecord(service, r, now) {
		g.announceOwn(service, now, decisionlog.F("recorded", r.Versions))
	}
}

// announceOwn announces the origins of this gateway's streams of a service, and logs why.
func (g *Ingress) announceOwn(service string, now time.Time, why decisionlog.Field) {
	own := g.origins.Own(service, now)
	g.announce(own)
	g.options.Log.Write(decisionlog.KindState, "software_versions", decisionlog.F("service", service), why, decisionlog.F("announced", len(own)))
}

// DoubtOrigins handles that a runner restarted under its name at another software version. Streams of other
// gateways that were announced shortly before may have begun at either version.
func (g *Ingress) DoubtOrigins(before *runners.Runner) {
	if doubted := g.origins.Doubt(resume.RunnerDigest(before.ID), time.Now()); doubted > 0 {
		g.options.Log.Write(decisionlog.KindState, "origins_doubted", decisionlog.F("runner", before.ID), decisionlog.F("streams", doubted))
	}
}

// StreamsBegunSince returns the number of this gateway's resumable streams that were sent since a time to an
// incarnation of a runner.
func (g *Ingress) StreamsBegunSince(since time.Time, r *runners.Runner) int {
	return g.origins.BegunSince(resume.RunnerDigest(r.ID), since, time.Now())
}

// MarkMixed records that, according to a gateway of an earlier build, a service has had several software versions.
func (g *Ingress) MarkMixed(service string) {
	g.versions.MarkMixed(service, time.Now())
}

// Versions returns the tracker of software versions.
func (g *Ingress) Versions() *resume.Versions { return g.versions }

func (g *Ingress) announce(list []resume.Origin) {
	if x := g.options.Origins.Exchange; x != nil && len(list) > 0 {
		x.AnnounceOrigins(list)
	}
}

// sweepOrigins removes expired origins, and observes the versions that serve.
func (g *Ingress) sweepOrigins(now time.Time) {
	g.origins.Sweep(now)
	t := g.table.Load()
	if t == nil {
		return
	}
	for name := range t.Config.Services {
		for _, r := range g.versionsPresent(name, now) {
			g.ObserveVersion(&r.Runner)
		}
	}
}

// versionsPresent returns a runner of each software version that serves a service.
func (g *Ingress) versionsPresent(service string, now time.Time) map[string]*runners.State {
	out := map[string]*runners.State{}
	for _, r := range g.Directory.Present(service, now) {
		out[r.Version] = r
	}
	return out
}

// askOrigin asks other gateways for the origin of a stream and waits for their replies.
func (x *exchange) askOrigin(e *resume.Evidence) {
	exchange := x.g.options.Origins.Exchange
	if exchange == nil {
		e.AskedAll = true
		return
	}
	q := x.g.questions.add(e.Key)
	defer x.g.questions.remove(e.Key, q)
	ctx, cancel := context.WithTimeout(x.ctx, originReplyWait)
	defer cancel()
	tick := time.NewTicker(originAskInterval)
	defer tick.Stop()
	askOnce := func() {
		var asked, all int
		if e.Unannounced != "" && e.Fresh {
			asked, all, e.AskedAll = exchange.AskOriginOfAll(e.Key, e.Service)
		}
		if !e.AskedAll {
			asked = exchange.AskOrigin(e.Key, e.Service)
		}
		e.Asked, e.All = max(e.Asked, asked), max(e.All, all)
	}
	askOnce()
	for {
		var known bool
		e.Replies, known = x.g.questions.list(q)
		if known || len(e.Replies) >= e.Asked && (e.Asked > 0 || e.AskedAll && e.All == 0) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-q.changed:
		case <-tick.C:
			askOnce()
		}
	}
}

// versionFilter returns at which software versions a new resumable stream may begin: at those of the record
// in the store, from which gateways that start know that it may have begun there. It returns nil if that
// is not restricted.
func (x *exchange) versionFilter() func(version string) bool {
	v := x.g.versions
	if !x.route.Resumable || x.call.After != "" {
		return nil
	}
	if x.announced != nil && x.announced.Version != "" {
		// Another announcement may not reach all gateways that have this one.
		announced := x.announced.Version
		return func(version string) bool { return version == announced }
	}
	return func(version string) bool { return v.MayBegin(x.service, version, time.Now()) }
}

// beginStream records and announces that a runner is about to begin the request's stream.
func (x *exchange) beginStream(runner *runners.State) {
	if !x.route.Resumable || x.call.After != "" {
		return
	}
	now := time.Now()
	o := resume.Origin{Key: x.streamKey(x.call.ID), Version: runner.Version, Runner: resume.RunnerDigest(runner.ID), Left: resume.Lifetime(max(x.call.Timeout, x.route.Timeout))}
	x.g.versions.ObserveLifetime(x.service, o.Left)
	x.g.origins.Begin(o, x.service, now)
	if x.announced == nil && !x.g.versions.Mixed(x.service, now) || x.announced != nil && x.announced.Version == o.Version {
		return
	}
	x.announceOrigin(o)
}

// announceOrigin announces the origin of the request's own stream.
func (x *exchange) announceOrigin(o resume.Origin) {
	x.announced = &o
	x.g.announce([]resume.Origin{o})
}

// doubtOrigin records and announces that it is not certain at which version the request's own stream began.
func (x *exchange) doubtOrigin() {
	k := x.streamKey(x.call.ID)
	if o, known := x.g.origins.Find(k, time.Now()); known {
		o.Version = ""
		x.g.origins.Begin(o, x.service, time.Now())
		x.announceOrigin(o)
	}
}
