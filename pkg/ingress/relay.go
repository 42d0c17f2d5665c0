package ingress

import (
	"errors"
	"io"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/runners"
)

// relay forwards the events of a stream to the client, each exactly once, from one or several
// runners.
type relay struct {
	s *generation
	// begun is set once the response header has been sent to the client.
	begun bool
	// headerCost is the memory that the header takes after its response has ended, as long as it is not
	// reserved, in bytes.
	headerCost int64
	// origin is the software version of the runner that brought the first event.
	origin string
	progress
	// status and mediaType are those of the client's response.
	status    int
	mediaType string
	// runner is the runner of the current response.
	runner *runners.State
	events int
	// ends is the number of responses in a row without an event. asked is set while a second call asks for the
	// events after an end that is in doubt, until it has brought one.
	ends  int
	asked bool
	// written is when the last event was sent. longestGap is the longest time between two events,
	// which is logged as pause.
	written    time.Time
	longestGap time.Duration
}

// forwardEvents forwards the events of a response until its end.
func (r *relay) forwardEvents(n int, runner *runners.State, a *Response) (sendResult, error) {
	if r.begun && !r.continuedBy(a) {
		r.s.failedDecode[runner.ID] = true
		runner.Failed(time.Now())
		return mayHaveRun, &ErrAnswer{Runner: runner.ID, Status: a.Status, Why: "does not continue the stream: type=" + a.Header.Get("Content-Type")}
	}
	r.runner = runner
	r.restart()
	began, before := time.Now(), r.events
	in := newEventReader(r.s.g.options.Held, a.Body)
	defer in.close()
	for {
		readyAt := time.Now()
		event, err := in.next()
		if errors.Is(err, io.EOF) && len(event) == 0 {
			if err = r.confirmEnd(runner, a, r.events > before); err == nil {
				return r.completeOrAsk(n, runner, a, began, r.events > before)
			}
		}
		if err != nil && r.asked && r.events == before {
			return r.endNotAsked(n, runner, a, began, err)
		}
		if err != nil {
			return r.streamBroken(runner, r.events == before, err)
		}
		r.s.pool.RecordTokens(runner.ID, r.s.job.ID, (r.events+1)*max(1, r.s.engine.TokensPerEvent), readyAt, time.Now())
		if err := r.write(a, event); err != nil {
			return mayHaveRun, errClientGone{}
		}
		if r.asked && r.events > before {
			r.partFound(runner)
		}
		if r.events-before == soundEvents {
			r.s.recordSound()
		}
	}
}

// continuedBy reports whether a response can go on with the client's: its status and content type are the same.
func (r *relay) continuedBy(a *Response) bool {
	return a.Status == r.status && mediaType(a) == r.mediaType
}

// mediaType returns the content type of a response without its parameters.
func mediaType(a *Response) string {
	kind, _, _ := strings.Cut(a.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(kind))
}

// confirmEnd returns an error if a stream that ended between two events is not complete.
func (r *relay) confirmEnd(runner *runners.State, a *Response, hasEvents bool) error {
	if !hasEvents {
		return r.confirmNoEvents(a)
	}
	if err := r.s.confirmComplete(runner, a); err != nil {
		return err
	}
	r.s.recordSound()
	return nil
}

// complete completes the client's response.
func (r *relay) complete(n int, runner *runners.State, a *Response, began time.Time) (sendResult, error) {
	if !r.begun {
		r.writeHeader(a)
	}
	runner.Completed(time.Since(began))
	r.s.pool.Lengths.Learn(r.s.lengthHint(), r.events*r.s.engine.TokensPerEvent)
	r.s.exchange.recordEnd(r.s.life, n)
	r.s.recordCompleted()
	r.s.finish(a.Status, nil, decisionlog.F("runner", runner.ID), decisionlog.F("events", r.events), decisionlog.F("pause", r.longestGap), decisionlog.F("end", r.s.end))
	return responded, nil
}

// streamBroken records a stream that ended early. If early is set, its runner had sent no event
// yet.
func (r *relay) streamBroken(runner *runners.State, early bool, err error) (sendResult, error) {
	r.s.failedDecode[runner.ID] = true
	r.s.brokeEarly = r.s.brokeEarly || early
	if reason := r.s.endReason(); reason != nil {
		return mayHaveRun, reason
	}
	runner.Failed(time.Now())
	r.s.logFailedStep("stream_broken", runner.ID, err, decisionlog.F("events", r.events), decisionlog.F("last", shorten(r.last)),
		decisionlog.F("asked", r.s.digest()), decisionlog.F("parts", r.s.call.SharedParts))
	r.s.exchange.reportBrokenRun(runner, early, err)
	if r.unnumbered {
		err = &ErrNoPosition{After: shorten(r.last), Err: err}
	}
	return mayHaveRun, &ErrBroken{Runner: runner.ID, After: shorten(r.last), Err: err}
}

// writeHeader sends the header of the first response. It applies to the whole stream, also if
// another runner resumes it.
func (r *relay) writeHeader(a *Response) {
	r.begun, r.status, r.mediaType = true, a.Status, mediaType(a)
	r.headerCost = sentHeaderCost(a.Header)
	r.origin = r.runner.Version
	r.s.g.metrics.firstEvent.UpdateDuration(r.s.arrived)
	r.s.planner.Serving.Learn(time.Since(r.s.roomAt))
	r.s.fields = append(r.s.fields, decisionlog.F("first_event", time.Since(r.s.arrived)))
	r.s.copyHeader(a)
	r.s.w.WriteHeader(a.Status)
}

// write sends one event to the client, unless the client has it already.
func (r *relay) write(a *Response, event []byte) error {
	f := parseEvent(event)
	event = r.trim(event, r.begun)
	if r.sent(f) {
		return nil
	}
	if !r.begun {
		r.writeHeader(a)
	}
	if _, err := r.s.w.Write(event); err != nil {
		return err
	}
	if err := r.s.w.FlushError(); err != nil {
		return err
	}
	now := time.Now()
	if r.events > 0 {
		r.longestGap = max(r.longestGap, now.Sub(r.written))
	}
	r.written = now
	r.events++
	r.advance(f)
	r.ends = 0
	return nil
}
