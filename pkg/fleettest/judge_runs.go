package fleettest

import (
	"fmt"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/fake"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/trace"
)

// judgeResponses checks the response that each client received.
func judgeResponses(r *Record) []Violation {
	var out []Violation
	for _, c := range r.Calls {
		if c.Answers > 1 {
			out = append(out, Violation{NothingTwice, c.ID + " received more than one response"})
		}
		if c.Request == nil {
			continue
		}
		fullText := fake.Answer(c.Request.Prompt, c.Request.MaxTokens)
		if !strings.HasPrefix(fullText, c.Text) {
			out = append(out, Violation{WholeOwnAnswer, fmt.Sprintf("%s received text that is not its own or is duplicated: %s", c.ID, firstDifference(fullText, c.Text))})
		}
		if !c.Lost && c.Result.Outcome == request.Done && c.Text != fullText {
			out = append(out, Violation{WholeOwnAnswer, fmt.Sprintf("%s was reported as done with %d of %d bytes", c.ID, len(c.Text), len(fullText))})
		}
	}
	return out
}

// firstDifference describes the first position at which two texts differ.
func firstDifference(want, got string) string {
	i := 0
	for i < len(want) && i < len(got) && want[i] == got[i] {
		i++
	}
	return fmt.Sprintf("from byte %d want %.24q got %.24q", i, want[i:], got[i:])
}

// judgeRuns compares outcomes with the records of the runners.
func (f *Fleet) judgeRuns(r *Record) []Violation {
	var out []Violation
	began := map[string]string{}
	for name, e := range f.Engines {
		for work := range e.Began() {
			began[requestID(work)] = name
		}
	}
	for _, c := range r.Calls {
		if c.Service != nil {
			out = append(out, f.judgeOrder(r, c)...)
			continue
		}
		if at, ran := began[c.ID]; ran && !c.Lost && c.Result.Outcome == request.NotRun {
			out = append(out, Violation{NotRunIsTrue, fmt.Sprintf("%s was reported as not run but began on %s", c.ID, at)})
		}
	}
	return out
}

// orderRuns returns how often an order ran, summed over all services.
func (f *Fleet) orderRuns(body string) int {
	n := 0
	for _, s := range f.Calls {
		n += s.Runs(body)
	}
	return n
}

func (f *Fleet) judgeOrder(r *Record, c *Call) []Violation {
	var out []Violation
	runs := f.orderRuns(string(c.Service.Body))
	if runs > 1 {
		out = append(out, Violation{AtMostOnce, fmt.Sprintf("%s ran %d times", c.Service.Body, runs)})
	}
	// Another call with the same key may be the one that ran.
	onlyCall := true
	for _, o := range r.Calls {
		onlyCall = onlyCall && (o == c || o.Service == nil || o.Service.Key != c.Service.Key)
	}
	if onlyCall && runs > 0 && !c.Lost && c.Result.Outcome == request.NotRun {
		out = append(out, Violation{NotRunIsTrue, c.ID + " was reported as not run but ran"})
	}
	if runs == 0 && !c.Lost && c.Result.Outcome == request.Done {
		out = append(out, Violation{WholeOwnAnswer, c.ID + " was reported as done but never ran"})
	}
	return out
}

// judgeLeaving checks that no new work began on a leaving instance later than
// leaveBound after the test announced that it leaves.
func (f *Fleet) judgeLeaving(r *Record) []Violation {
	var out []Violation
	for _, p := range f.Processes() {
		since, ok := r.Left[p.Entry.Name]
		if !ok || p.Sidecar == nil {
			continue
		}
		for _, e := range p.Node.Log.Events(trace.Filter{}) {
			if e.Type == trace.Started && e.Wall.After(since.Add(leaveBound)) && !admittedBefore(p, e, since.Add(leaveBound)) {
				out = append(out, Violation{LeavingGetsNothing, fmt.Sprintf("%s began on %s, %s after the instance started to leave", e.Request, p.Entry.Name, e.Wall.Sub(since))})
			}
		}
	}
	return out
}

// admittedBefore reports whether the attempt that a start event belongs to was
// admitted before a time, in which case it is not new work.
func admittedBefore(p *Process, started trace.Event, by time.Time) bool {
	for _, e := range p.Node.Log.Events(trace.Filter{Request: started.Request}) {
		if e.Type == trace.Admitted && e.Attempt == started.Attempt && e.Wall.Before(by) {
			return true
		}
	}
	return false
}
