package ingress

import (
	"context"
	"errors"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

// resumed reports whether the client resumes a stream.
func (x *exchange) resumed() bool { return x.route.Kind == routetable.Stream && x.call.After != "" }

// ErrNotResumable reports that a client resumes a stream on a route that does not allow it: the events of
// another run would not fit those that it has.
type ErrNotResumable struct {
	Route string
}

// Error implements error.
func (e *ErrNotResumable) Error() string { return "streams can't be resumed: route=" + e.Route }

// streamKey returns the key of the stream whose first event was brought by the request with an ID.
func (x *exchange) streamKey(id string) resume.Key { return x.streamKeyAt(x.service, id) }

// streamKeyAt returns the key if a given service of the route serves the stream.
func (x *exchange) streamKeyAt(service, id string) resume.Key {
	workspace := ""
	if x.workspace != nil {
		workspace = x.workspace.Name
	}
	return resume.KeyOf(service, workspace, id)
}

// bindResumed binds a request that resumes a stream to the software version at which the stream
// began. It fails with *ErrNotResumable, *resume.ErrUnknown or *resume.ErrNoRunner.
func (x *exchange) bindResumed() error {
	if !x.resumed() {
		return nil
	}
	if !x.route.Resumable {
		return &ErrNotResumable{Route: x.route.Name}
	}
	x.fields = append(x.fields, decisionlog.F("origin_request", shorten(x.call.OriginID)))
	if err := x.checkService(); err != nil {
		x.g.metrics.resumption(err)
		return err
	}
	e := resume.Evidence{Service: x.service, Named: x.call.OriginID != "", Key: x.streamKey(x.call.OriginID)}
	x.lookUpOrigin(&e)
	from := "own"
	if !e.Known && (e.Only != "" || e.Unannounced != "") {
		e.Fresh = x.refreshCopy()
		x.lookUpOrigin(&e)
	}
	if e.NeedsReplies() {
		from = "replies"
		x.askOrigin(&e)
		x.lookUpVersions(&e)
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

// lookUpOrigin adds to the evidence what this gateway knows.
func (x *exchange) lookUpOrigin(e *resume.Evidence) {
	now := time.Now()
	if e.Named {
		o, known := x.g.origins.Find(e.Key, now)
		e.Known, e.Version = known, o.Version
	}
	x.lookUpVersions(e)
}

// lookUpVersions adds to the evidence which versions streams may have.
func (x *exchange) lookUpVersions(e *resume.Evidence) {
	now := time.Now()
	e.Only, e.Unannounced = x.g.versions.Only(x.service, now), x.g.unannounced(x.service, now)
}

// refreshCopy brings this gateway's copy of the store up to date, and reports whether it succeeded in time.
func (x *exchange) refreshCopy() bool {
	refresh := x.g.options.Origins.Refresh
	if refresh == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(x.ctx, refreshWait)
	defer cancel()
	return refresh(ctx)
}

// bindBegun binds a stream whose first event this gateway has sent to the software version of the
// runner that brought it. It fails with *resume.ErrUnknown if that version is doubted.
func (s *generation) bindBegun() error {
	if !s.relay.begun || s.job.Version != "" {
		return nil
	}
	key := s.streamKey(s.call.ID)
	if o, ok := s.g.origins.Find(key, time.Now()); ok && o.Version != s.relay.origin {
		return &resume.ErrUnknown{Service: s.service, Key: key, Why: resume.Contradictory}
	}
	s.job.Version = s.relay.origin
	return nil
}

// checkVersion returns *resume.ErrNoRunner if the request is bound to a software version at which no
// engine decodes.
func (s *generation) checkVersion() error {
	if s.job.Version == "" {
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
	return &resume.ErrNoRunner{Service: s.service, Version: s.job.Version, Registered: registered}
}

// notResumable reports whether a stream can't be resumed because of its software version or its position.
func notResumable(err error) bool {
	var unknown *resume.ErrUnknown
	var none *resume.ErrNoRunner
	var nowhere *ErrNoPosition
	return errors.As(err, &unknown) || errors.As(err, &none) || errors.As(err, &nowhere)
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

// resumedRank returns the rank of a request. A resumed stream that may use only some of the engines
// goes before new requests, which may use all.
func (x *exchange) resumedRank(rank enginepool.Rank) enginepool.Rank {
	if x.software != "" && x.g.versions.Mixed(x.service, x.arrived) {
		return enginepool.Begun
	}
	return rank
}
