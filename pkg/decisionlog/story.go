package decisionlog

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Explanation is one request's way over all processes, with what the processes
// believed that bears on it.
type Explanation struct {
	ID string
	// Lines are the request's own, Context those of the state and of dependencies.
	Lines, Context []Line
	// Outcome and Cause say how it ended and why, in words.
	Outcome, Cause string
}

// contextBefore is how long before a request's end changes of state bear on it.
const contextBefore = 10 * time.Second

// ErrNoRequest reports that a log tells nothing of a request.
type ErrNoRequest struct {
	ID string
	// Lines is how many decisions were read, LeftOut how many were not written.
	Lines, LeftOut int
}

// Error implements error.
func (e *ErrNoRequest) Error() string {
	return fmt.Sprintf("no line about the request: id=%s lines=%d left_out=%d", e.ID, e.Lines, e.LeftOut)
}

// Explain finds a request's story. It fails with *ErrNoRequest.
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
	s.context(lines)
	s.conclude()
	return s, nil
}

// context picks the beliefs about the request's processes and runners; of the
// configurations only the one that the request was served by.
func (s *Explanation) context(lines []Line) {
	var processes, runners []string
	for i := range s.Lines {
		processes = append(processes, s.Lines[i].Process)
		for _, key := range []string{"runner", "decode", "prefill"} {
			if r := s.Lines[i].Get(key); r != "" {
				runners = append(runners, r)
			}
		}
	}
	last := &s.Lines[len(s.Lines)-1]
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
			s.Context = append(s.Context, *l)
		}
	}
}

// noteworthy are the events that a request's end is explained with.
var noteworthy = []string{"store_lost", "runner_leaving", "runner_gone", "runner_leaving_told", "runner_pause_begins"}

// conclude puts the end and its cause into words.
func (s *Explanation) conclude() {
	last := &s.Lines[len(s.Lines)-1]
	if last.Event != "request_end" {
		s.Outcome = "not ended in this log"
		s.Cause = "the process ended, or its last lines were left out; last step " + last.Event
		return
	}
	s.Outcome = last.Get("outcome") + ", status " + last.Get("status") + ", after " + last.Get("took")
	s.Cause = last.Get("error")
	if s.Cause == "" {
		s.Cause = "none: the runner's own answer was passed on"
	}
	for i := range s.Lines[:len(s.Lines)-1] {
		if l := &s.Lines[i]; l.Kind == KindFailed {
			s.Cause += fmt.Sprintf("\n  before that, at %s: %s at %s: %s", l.Get("at"), l.Event, l.Get("runner"), l.Get("error"))
		}
	}
	for i := range s.Context {
		if l := &s.Context[i]; slices.Contains(noteworthy, l.Event) {
			s.Cause += "\n  meanwhile: " + l.String()
		}
	}
}

// Write writes the story for people.
func (s *Explanation) Write(w io.Writer) {
	fmt.Fprintf(w, "request %s\noutcome %s\ncause   %s\n\nway:\n", s.ID, s.Outcome, s.Cause)
	for i := range s.Lines {
		fmt.Fprintln(w, "  "+s.Lines[i].String())
	}
	if len(s.Context) > 0 {
		fmt.Fprintf(w, "\nwhat its processes learned in the %s before its end:\n", contextBefore)
	}
	for i := range s.Context {
		fmt.Fprintln(w, "  "+s.Context[i].String())
	}
}
