package decisionlog

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Explanation lists the steps of one request in all processes, with the state changes
// that may have affected it.
type Explanation struct {
	ID string
	// Lines are the lines of the request. Context are the lines about the state of the processes
	// that handled it, of its runners, and of the dependencies of these processes. Origin are the main
	// steps of the request that began the stream, if this one resumes it.
	Lines, Context, Origin []Line
	// Outcome and Cause describe how the request ended and why.
	Outcome, Cause string
}

// contextBefore is the time before a request's end from which lines are included in its context.
const contextBefore = 10 * time.Second

// ErrNoRequest reports that a log has no line about a request.
type ErrNoRequest struct {
	ID string
	// Lines is the number of lines read, LeftOut the number of reports of dropped lines among
	// them.
	Lines, LeftOut int
}

// Error implements error.
func (e *ErrNoRequest) Error() string {
	return fmt.Sprintf("no line about the request: id=%s lines=%d left_out=%d", e.ID, e.Lines, e.LeftOut)
}

// Explain collects what a log contains about a request. It fails with *ErrNoRequest.
func Explain(lines []Line, id string) (*Explanation, error) {
	s := &Explanation{ID: id}
	leftOut := 0
	for i := range lines {
		if id != "" && lines[i].Get("request") == id {
			s.Lines = append(s.Lines, lines[i])
		}
		if lines[i].Event == "lines_left_out" {
			leftOut++
		}
	}
	if len(s.Lines) == 0 {
		return nil, &ErrNoRequest{ID: id, Lines: len(lines), LeftOut: leftOut}
	}
	s.collectOrigin(lines)
	s.collectContext(lines)
	s.summarize()
	return s, nil
}

// originEvents are the events of the request that began a stream which are listed with those of a
// request that resumes it: which runner and software version began it, and how that ended.
var originEvents = []string{"decode_begin", "stream_broken", "request_end"}

// collectOrigin selects the lines about the request whose stream this request resumes.
func (e *Explanation) collectOrigin(lines []Line) {
	began := e.Lines[len(e.Lines)-1].Get("origin_request")
	if began == "" || began == e.ID {
		return
	}
	for i := range lines {
		if l := &lines[i]; l.Get("request") == began && slices.Contains(originEvents, l.Event) {
			e.Origin = append(e.Origin, *l)
		}
	}
}

// collectContext selects the lines about the state of the request's processes and runners.
// Of the config lines, it selects only the one for the version that the request was served
// with.
func (e *Explanation) collectContext(lines []Line) {
	var processes, runners []string
	for i := range e.Lines {
		processes = append(processes, e.Lines[i].Process)
		for _, key := range []string{"runner", "decode", "prefill"} {
			if r := e.Lines[i].Get(key); r != "" {
				runners = append(runners, r)
			}
		}
	}
	last := &e.Lines[len(e.Lines)-1]
	end, version := last.Time, last.Get("version")
	for i := range lines {
		l := &lines[i]
		if l.Time.After(end) || l.Time.Before(end.Add(-contextBefore)) || !slices.Contains(processes, l.Process) {
			continue
		}
		if l.Event == "config" && l.Get("version") != version {
			continue
		}
		about := l.Get("runner")
		if l.Kind == KindProcess || l.Kind == KindState && (about == "" || slices.Contains(runners, about)) {
			e.Context = append(e.Context, *l)
		}
	}
}

// causeEvents are the context events that are listed with the cause of a request's end.
var causeEvents = []string{"store_lost", "runner_leaving", "runner_gone", "runner_leaving_told", "runner_pause_begins"}

// summarize sets Outcome and Cause.
func (e *Explanation) summarize() {
	last := &e.Lines[len(e.Lines)-1]
	if last.Event != "request_end" {
		e.Outcome = "not ended in this log"
		e.Cause = "the process ended, its last lines were dropped, or the request is still in progress; last step " + last.Event
		return
	}
	e.Outcome = last.Get("outcome") + ", status " + last.Get("status") + ", after " + last.Get("took")
	e.Cause = last.Get("error")
	if e.Cause == "" {
		e.Cause = "none: the runner's response was forwarded"
	}
	for i := range e.Lines[:len(e.Lines)-1] {
		if l := &e.Lines[i]; l.Kind == KindFailed {
			e.Cause += fmt.Sprintf("\n  before that, at %s: %s at %s: %s", l.Get("at"), l.Event, l.Get("runner"), l.Get("error"))
		}
	}
	for i := range e.Context {
		if l := &e.Context[i]; slices.Contains(causeEvents, l.Event) {
			e.Cause += "\n  meanwhile: " + l.String()
		}
	}
}

// Write writes the explanation as text for people.
func (e *Explanation) Write(w io.Writer) {
	fmt.Fprintf(w, "request %s\noutcome %s\ncause   %s\n\nsteps:\n", e.ID, e.Outcome, e.Cause)
	for i := range e.Lines {
		fmt.Fprintln(w, "  "+e.Lines[i].String())
	}
	if len(e.Origin) > 0 {
		fmt.Fprintln(w, "\nthe request that began the stream:")
	}
	for i := range e.Origin {
		fmt.Fprintln(w, "  "+e.Origin[i].String())
	}
	if len(e.Context) > 0 {
		fmt.Fprintf(w, "\nstate changes and events in its processes in the %s before its end:\n", contextBefore)
	}
	for i := range e.Context {
		fmt.Fprintln(w, "  "+e.Context[i].String())
	}
}
