package cmds

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/trace"
)

func newWhy(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "why REQUEST-ID [LOG-FILE...]",
		Short: "Tell a request's way and the cause of its end from processes' logs",
		Long:  "Tell one request's way over all processes in order, and why it ended as it did,\nfrom the logs of `hopwelld ingress`. Without files the logs are read from standard\ninput. Whatever else the files hold is passed over.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			story, err := decisionlog.Explain(lines, args[0])
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), story, story.Write)
		},
	}
}

// readLogs reads the decisions in files, or in standard input if there are none.
func readLogs(in io.Reader, files []string) ([]decisionlog.Line, error) {
	if len(files) == 0 {
		return decisionlog.Read(in)
	}
	var readers []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, &ErrLogFile{File: name, Err: err}
		}
		defer f.Close()
		readers = append(readers, f, strings.NewReader("\n"))
	}
	return decisionlog.Read(io.MultiReader(readers...))
}

// ErrLogFile reports that a log can't be read.
type ErrLogFile struct {
	File string
	Err  error
}

// Error implements error.
func (e *ErrLogFile) Error() string {
	return fmt.Sprintf("can't read log: file=%s cause=%v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *ErrLogFile) Unwrap() error { return e.Err }

// logEvents makes time-line events of decisions. Their order is that of the
// processes' clocks, since logs carry no other.
func logEvents(lines []decisionlog.Line, f trace.Filter) []trace.Event {
	var out []trace.Event
	for i := range lines {
		l := &lines[i]
		e := trace.Event{Clock: uint64(l.Time.UnixMicro()), Wall: l.Time, Process: l.Process, Type: trace.Type(l.Event),
			Request: l.Get("request"), Instance: l.Get("runner"), Detail: detail(l)}
		if f.Request != "" && e.Request != f.Request || f.Instance != "" && e.Instance != f.Instance && e.Process != f.Instance {
			continue
		}
		out = append(out, e)
	}
	return out
}

// detail writes the pairs that an event has no field for.
func detail(l *decisionlog.Line) string {
	var b strings.Builder
	for _, p := range l.Pairs {
		if p.Key != "request" && p.Key != "runner" {
			fmt.Fprintf(&b, "%s=%q ", p.Key, p.Value)
		}
	}
	return strings.TrimSpace(b.String())
}
