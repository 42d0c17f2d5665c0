package ingress

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

// OriginExchange sends origins of streams to other gateways and asks them for origins.
type OriginExchange interface {
	// AnnounceOrigins sends origins to the gateways that keep them.
	AnnounceOrigins(list []resume.Origin)
	// AskOrigin asks the gateways that keep the origin of a stream, and returns their number. Their
	// replies are passed to ReceiveOriginReply.
	AskOrigin(k resume.Key, service string) int
}

// Origins connects an Ingress to the origins of streams that other gateways keep.
type Origins struct {
	// Exchange is nil if there are no other gateways.
	Exchange OriginExchange
	// Fresh reports whether this gateway's copy of the store is up to date; nil if it always is.
	Fresh func() bool
}

const (
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
	var left []*question
	for _, other := range q.open[k] {
		if other != one {
			left = append(left, other)
		}
	}
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
	return resume.Reply{Key: k, Known: known, Version: o.Version, Only: g.versions.Only(service, now)}
}

// ObserveVersion records that a runner serves. Streams of its service that began while there was only
// one version are announced when a second one comes.
func (g *Ingress) ObserveVersion(r *runners.Runner) {
	now := time.Now()
	if g.versions.Observe(r.Service, r.Version, now) {
		own := g.origins.Own(r.Service, now)
		g.announce(own)
		g.options.Log.Write(decisionlog.KindState, "software_versions", decisionlog.F("service", r.Service),
			decisionlog.F("new", r.Version), decisionlog.F("announced", len(own)))
	}
}

// DoubtOrigins handles that a runner restarted under its name at another software version. Streams
// that began there shortly before may have begun at either version.
func (g *Ingress) DoubtOrigins(before *runners.Runner) {
	now := time.Now()
	doubted := g.origins.Doubt(resume.RunnerDigest(before.ID), now)
	g.announce(doubted)
	if len(doubted) > 0 {
		g.options.Log.Write(decisionlog.KindState, "origins_doubted", decisionlog.F("runner", before.ID), decisionlog.F("streams", len(doubted)))
	}
}

// MarkMixed records that, according to the store, a service has had several software versions.
func (g *Ingress) MarkMixed(service string) {
	g.versions.MarkMixed(service, time.Now().Add(g.versions.Lifetime(service)))
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

// resumed reports whether the client resumes a stream.
func (x *exchange) resumed() bool { return x.route.Kind == routetable.Stream && x.call.After != "" }

// workspaceName returns the name of the request's workspace, empty for none.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// bindResumed binds a request that resumes a stream to the software version at which the stream
// began. It fails with *resume.ErrUnknown or *resume.ErrNoRunner.
func (x *exchange) bindResumed() error {
	if !x.resumed() {
		return nil
	}
	x.fields = append(x.fields, decisionlog.F("resumes", shorten(x.call.Resumes)))
	e := resume.Evidence{Service: x.service, Named: x.call.Resumes != "", Key: resume.KeyOf(x.service, x.workspaceName(), x.call.Resumes)}
	now := time.Now()
	if e.Named {
		o, known := x.g.origins.Find(e.Key, now)
		e.Known, e.Version = known, o.Version
	}
	e.Only = x.g.versions.Only(x.service, now)
	e.Fresh = x.g.options.Origins.Fresh == nil || x.g.options.Origins.Fresh()
	from := "own"
	if e.NeedsReplies() {
		from = "replies"
		x.askOrigin(&e)
	}
	version, err := resume.Decide(e)
	x.g.metrics.resumption(err)
	if err != nil {
		return err
	}
	x.software = version
	x.fields = append(x.fields, decisionlog.F("software", version), decisionlog.F("software_from", from), decisionlog.F("asked", e.Asked))
	return nil
}

// askOrigin asks other gateways for the origin of a stream and waits for their replies.
func (x *exchange) askOrigin(e *resume.Evidence) {
	exchange := x.g.options.Origins.Exchange
	if exchange == nil {
		return
	}
	q := x.g.questions.add(e.Key)
	defer x.g.questions.remove(e.Key, q)
	ctx, cancel := context.WithTimeout(x.ctx, originReplyWait)
	defer cancel()
	tick := time.NewTicker(originAskInterval)
	defer tick.Stop()
	e.Asked = exchange.AskOrigin(e.Key, e.Service)
	for {
		var known bool
		e.Replies, known = x.g.questions.list(q)
		if known || e.Asked > 0 && len(e.Replies) >= e.Asked {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-q.changed:
		case <-tick.C:
			e.Asked = max(e.Asked, exchange.AskOrigin(e.Key, e.Service))
		}
	}
}

// beginStream records and announces that a runner is about to begin the request's stream.
func (x *exchange) beginStream(runner *runners.State) {
	if !x.route.Resumable || x.call.After != "" {
		return
	}
	now := time.Now()
	o := resume.Origin{Key: resume.KeyOf(x.service, x.workspaceName(), x.call.ID), Version: runner.Version, Runner: resume.RunnerDigest(runner.ID), Left: resume.Lifetime(max(x.call.Timeout, x.route.Timeout))}
	x.g.versions.ObserveLifetime(x.service, o.Left)
	x.g.origins.Begin(o, x.service, now)
	if x.g.versions.Mixed(x.service, now) && o.Version != x.announced {
		x.announced = o.Version
		x.g.announce([]resume.Origin{o})
	}
}

// bindBegun binds a stream whose first event this gateway has sent to the software version of the
// runner that brought it. It fails with *resume.ErrUnknown if that version is doubted.
func (s *generation) bindBegun() error {
	if !s.relay.begun || s.software != "" {
		return nil
	}
	key := resume.KeyOf(s.service, s.workspaceName(), s.call.ID)
	if o, ok := s.g.origins.Find(key, time.Now()); ok && o.Version != s.began {
		return &resume.ErrUnknown{Service: s.service, Key: key, Why: resume.Contradictory}
	}
	s.software = s.began
	return nil
}

// checkVersion returns *resume.ErrNoRunner if the request is bound to a software version at which no
// engine decodes.
func (s *generation) checkVersion() error {
	s.job.Version = s.software
	if s.software == "" {
		return nil
	}
	registered := 0
	for _, r := range s.g.Directory.Present(s.service, time.Now()) {
		if !s.job.Accepts(r) {
			continue
		}
		to, changing := r.Changing(time.Now())
		if r.Stage == runners.Decode && !changing || changing && to == runners.Decode {
			return nil
		}
		registered++
	}
	return &resume.ErrNoRunner{Service: s.service, Version: s.software, Registered: registered}
}

// notResumable reports whether a stream can't be resumed because of its software version.
func notResumable(err error) bool {
	var unknown *resume.ErrUnknown
	var none *resume.ErrNoRunner
	return errors.As(err, &unknown) || errors.As(err, &none)
}

// otherStageRetryAfter is the Retry-After of a resumed stream while engines of its software version
// are registered, but none decodes: about the time that a stage change takes.
const otherStageRetryAfter = 2 * time.Second

// refuseResumed refuses a stream that can't be resumed because of its software version. There is no
// Retry-After unless engines of the version are left: it would promise what is not expected.
func (x *exchange) refuseResumed(err error) {
	var none *resume.ErrNoRunner
	if errors.As(err, &none) && none.Registered > 0 {
		x.refuse(err, otherStageRetryAfter)
		return
	}
	x.respond(statusNotRun, err)
}

// ErrOutdated reports that a runner has restarted since its entry was written, so that its software
// version is not known.
type ErrOutdated struct {
	Runner string
	// Err is why the runner did not tell its start; nil if it told another one.
	Err error
}

// Error implements error.
func (e *ErrOutdated) Error() string {
	text := "runner restarted, so that its software version is unknown: runner=" + e.Runner
	if e.Err != nil {
		text += " cause=" + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *ErrOutdated) Unwrap() error { return e.Err }

// confirmBegun confirms, after the first event of a new stream, that its runner is the incarnation of
// its entry. It does not delay the stream. Only if several versions serve can the runner have another
// one than its entry, apart from the first runner that restarts at another one.
func (x *exchange) confirmBegun(runner *runners.State) {
	if runner.Born == 0 || !x.route.Resumable || !x.g.versions.Mixed(x.service, time.Now()) {
		return
	}
	key := resume.KeyOf(x.service, x.workspaceName(), x.call.ID)
	x.g.confirmations.run(runner.ID, key, func(keys []resume.Key) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), aliveTimeout)
		defer cancel()
		runner.CallSent("", time.Now())
		alive, err := x.g.options.Runners.Alive(ctx, runner)
		if err == nil && !alive {
			runner.MarkUnusable(time.Now())
			x.g.DoubtOrigins(&runner.Runner)
		}
		if err == nil && alive {
			for _, k := range keys {
				x.g.origins.Confirm(k)
			}
		}
	})
}

// confirmations runs one check of each runner at a time.
type confirmations struct {
	mu sync.Mutex
	// waiting holds, for the runners that are being checked, the streams whose first event came after
	// the current check had started.
	waiting map[string][]resume.Key
}

// run checks a runner in the background for a stream. If a check is running, which began before the
// stream's first event, the next one is for all streams that wait.
func (c *confirmations) run(runner string, k resume.Key, check func(keys []resume.Key)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list, running := c.waiting[runner]; running {
		c.waiting[runner] = append(list, k)
		return
	}
	c.waiting[runner] = nil
	go func() {
		for keys := []resume.Key{k}; len(keys) > 0; {
			check(keys)
			keys = c.next(runner)
		}
	}()
}

// next returns the streams that wait for the next check of a runner. Without any, no check is running
// any more.
func (c *confirmations) next(runner string) []resume.Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := c.waiting[runner]
	if c.waiting[runner] = nil; len(keys) == 0 {
		delete(c.waiting, runner)
	}
	return keys
}

// confirmIncarnation makes sure that the runner which resumes a stream is the incarnation of its
// entry, whose software version is known. It is called after the first event has arrived, because the
// runner could restart before, and before that event is forwarded.
func (s *generation) confirmIncarnation(runner *runners.State) error {
	if runner.Born == 0 {
		return nil // Each start has a new name, which the runner checks itself.
	}
	ctx, cancel := context.WithTimeout(s.ctx, aliveTimeout)
	defer cancel()
	runner.CallSent("", time.Now())
	alive, err := s.g.options.Runners.Alive(ctx, runner)
	if alive && err == nil {
		return nil
	}
	if err == nil {
		runner.MarkUnusable(time.Now())
		s.g.DoubtOrigins(&runner.Runner)
	}
	return &ErrOutdated{Runner: runner.ID, Err: err}
}

// resumedRank returns the rank of a request. A resumed stream that may use only some of the engines
// goes before new requests, which may use all.
func (x *exchange) resumedRank(rank enginepool.Rank) enginepool.Rank {
	if x.software != "" && x.g.versions.Mixed(x.service, x.arrived) {
		return enginepool.Begun
	}
	return rank
}
