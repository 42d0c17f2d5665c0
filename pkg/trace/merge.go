package trace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Sort sorts the events of any number of processes in causal order: by logical
// clock, then by process, then by time since the process's log was created. Events
// with equal clocks do not depend on each other.
func Sort(events []Event) {
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), strings.Compare(a.Process, b.Process), cmp.Compare(a.Mono, b.Mono))
	})
}

// WriteText writes one line of key=value pairs for each event.
func WriteText(w io.Writer, events []Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, e.String()); err != nil {
			return err
		}
	}
	return nil
}

// String returns the event as key=value pairs without its empty fields.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "clock=%d time=%s process=%s type=%s", e.Clock, e.Wall.Format("15:04:05.000000"), e.Process, e.Type)
	if e.Request != "" {
		fmt.Fprintf(&b, " request=%s", e.Request)
	}
	if e.Attempt != 0 {
		fmt.Fprintf(&b, " attempt=%d", e.Attempt)
	}
	if e.Instance != "" {
		fmt.Fprintf(&b, " instance=%s", e.Instance)
	}
	if e.Revision != 0 {
		fmt.Fprintf(&b, " revision=%d", e.Revision)
	}
	if e.Detail != "" {
		fmt.Fprintf(&b, " %s", e.Detail)
	}
	return b.String()
}

// chromeEvent is one entry of the Chrome trace event format.
type chromeEvent struct {
	Name  string            `json:"name"`
	Phase string            `json:"ph"`
	Time  int64             `json:"ts"`
	Proc  string            `json:"pid"`
	Task  string            `json:"tid"`
	Scope string            `json:"s"`
	Args  map[string]string `json:"args"`
}

// WriteChrome writes the events in the Chrome trace event format. Trace viewers in
// browsers show a row for each request in each process. Times are in microseconds
// since the first event.
func WriteChrome(w io.Writer, events []Event) error {
	out := make([]chromeEvent, 0, len(events))
	for _, e := range events {
		out = append(out, chromeEvent{
			Name: string(e.Type), Phase: "i", Scope: "t",
			Time: e.Wall.Sub(events[0].Wall).Microseconds(),
			Proc: e.Process, Task: e.Request,
			Args: map[string]string{"clock": fmt.Sprint(e.Clock), "instance": e.Instance, "detail": e.Detail},
		})
	}
	return json.NewEncoder(w).Encode(map[string]any{"traceEvents": out})
}
