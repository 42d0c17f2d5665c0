package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

// eventStream is the media type of a series of events.
const eventStream = "text/event-stream"

// plainStream forwards the events of a stream to the client as they come, each once, from one or several plain
// runners.
type plainStream struct {
	progress
	// begun is set once the response header has been sent to the client, with the status of the runner that
	// brought the first event. origin is that runner's software version.
	begun  bool
	status int
	origin string
	// headerCost is the memory of the header, in bytes, as long as it is not reserved.
	headerCost int64
}

// streams reports whether a response is a series of events.
func (x *exchange) streams(a *Response) bool {
	return x.route.Kind == routetable.Stream && a.OK() && mediaType(a) == eventStream
}

// continueStream prepares the next attempt of a stream whose first events the client has. It fails with
// *resume.ErrUnknown if the version of these is doubted.
func (x *exchange) continueStream() error {
	p := &x.plain
	if !p.begun {
		return nil
	}
	key := x.streamKey(x.call.ID)
	if o, ok := x.g.origins.Find(key, time.Now()); ok && x.call.After == "" && o.Version != p.origin {
		return &resume.ErrUnknown{Service: x.service, Key: key, Why: resume.Contradictory}
	}
	x.software = p.origin
	if err := x.held.Grow(p.headerCost); err != nil {
		return err
	}
	p.headerCost = 0
	x.g.metrics.resumed.Inc()
	return nil
}

// forwardStream forwards the events of a plain runner's response until its end.
func (x *exchange) forwardStream(life *request.Life, n int, a *Response, runner *runners.State) (sendResult, error) {
	p := &x.plain
	if p.last == "" {
		p.last = x.call.After
	}
	p.restart()
	in := newEventReader(x.g.options.Held, a.Body)
	defer in.close()
	for events := 0; ; {
		event, err := in.next()
		if errors.Is(err, io.EOF) && len(event) == 0 {
			if err = x.confirmStreamEnd(runner, a, events > 0); err == nil {
				return x.completeStream(life, n, a, runner)
			}
		}
		if err != nil {
			return x.plainStreamBroken(runner, events == 0, err)
		}
		f := parseEvent(event)
		event = p.trim(event, p.begun)
		if p.sent(f) {
			continue
		}
		x.beginResponse(a, runner)
		if _, err := x.w.Write(event); err != nil {
			return mayHaveRun, errClientGone{}
		}
		if err := x.w.FlushError(); err != nil {
			return mayHaveRun, errClientGone{}
		}
		p.advance(f)
		events++
	}
}

// confirmStreamEnd returns an error if a stream that ended between two events is not complete.
func (x *exchange) confirmStreamEnd(runner *runners.State, a *Response, hasEvents bool) error {
	if !hasEvents && a.CloseDelimited {
		return io.ErrUnexpectedEOF
	}
	return x.confirmComplete(runner, a)
}

// beginResponse sends the header of the first response, which applies to the whole stream.
func (x *exchange) beginResponse(a *Response, runner *runners.State) {
	p := &x.plain
	if p.begun {
		return
	}
	p.begun, p.status, p.origin, p.headerCost = true, a.Status, runner.Version, sentHeaderCost(a.Header)
	x.fields = append(x.fields, decisionlog.F("first_event", time.Since(x.arrived)))
	x.copyHeader(a)
	x.w.WriteHeader(a.Status)
}

// completeStream completes the client's response.
func (x *exchange) completeStream(life *request.Life, n int, a *Response, runner *runners.State) (sendResult, error) {
	x.beginResponse(a, runner)
	x.recordEnd(life, n)
	x.recordCompleted()
	x.recordSound()
	x.finish(a.Status, nil, decisionlog.F("runner", runner.ID))
	return responded, nil
}

// plainStreamBroken records a stream that ended early. If early is set, its runner had sent no event that the
// client lacked.
func (x *exchange) plainStreamBroken(runner *runners.State, early bool, err error) (sendResult, error) {
	p := &x.plain
	runner.Failed(time.Now())
	if reason := x.endReason(); reason != nil {
		return mayHaveRun, reason
	}
	runner.Lost(time.Now())
	x.logFailedStep("stream_broken", runner.ID, err, decisionlog.F("last", shorten(p.last)))
	x.reportBrokenRun(runner, early, err)
	if p.unnumbered {
		err = &ErrNoPosition{After: shorten(p.last), Err: err}
	}
	return mayHaveRun, &ErrBroken{Runner: runner.ID, After: shorten(p.last), Err: err}
}

// breakOff ends a stream of which the client has a part.
func (x *exchange) breakOff(last error) {
	if gone, ok := last.(errClientGone); ok {
		x.finish(0, gone)
		return
	}
	x.finish(x.plain.status, &ErrBroken{After: shorten(x.plain.last), Err: last})
	x.g.metrics.broken.Inc()
	panic(http.ErrAbortHandler)
}
