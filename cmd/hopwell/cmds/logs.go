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
		Short: "Explain from the logs how a request was served and with which outcome",
		Long:  "Print the events of one request in all processes in order, and the cause of its end,\nfrom the logs of `hopwelld ingress`. Without files, the logs are read from standard\ninput. Other lines in the files are ignored.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			explanation, err := decisionlog.Explain(lines, args[0])
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), explanation, explanation.Write)
		},
	}
}

// readLogs reads decision log lines from files, or from standard input if no files are
// given.
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

// ErrLogFile reports that a log file can't be read.
type ErrLogFile struct {
	File string
	Err  error
}

// Error implements error.
func (e *ErrLogFile) Error() string {
	return fmt.Sprintf("can't read log file: file=%s cause=%v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *ErrLogFile) Unwrap() error { return e.Err }

// logEvents converts the decision log lines that match the filter to timeline events.
// They are ordered by the wall clocks of the processes, since logs contain no other
// order.
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

// detail formats the key-value pairs for which trace.Event has no field.
func detail(l *decisionlog.Line) string {
	var b strings.Builder
	for _, p := range l.Pairs {
		if p.Key != "request" && p.Key != "runner" {
			fmt.Fprintf(&b, "%s=%q ", p.Key, p.Value)
		}
	}
	return strings.TrimSpace(b.String())
}
