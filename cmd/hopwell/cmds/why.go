package cmds

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/route"
	"github.com/hopwell/hopwell/pkg/trace"
)

func newExplain(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Explain, from the gateway that served a request, how its runners were chosen and why the others were not",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := o.client().Explain(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), e, func(w io.Writer) { writeExplanation(w, &e) })
		},
	}
}

func writeExplanation(w io.Writer, e *gateway.Explanation) {
	fmt.Fprintf(w, "request %s\n", e.Request)
	fmt.Fprintf(w, "outcome=%s attempts=%d first_token=%.0fms (target %.0fms) per_token=%.1fms (target %.0fms) prefilled=%d wasted=%d\n",
		e.Outcome, e.Attempts, e.FirstTokenMs, e.TargetFirstMs, e.PerTokenMs, e.TargetPerMs, e.Prefilled, e.Wasted)
	if e.Err != "" {
		fmt.Fprintf(w, "error %s\n", e.Err)
	}
	for i, c := range e.Choices {
		fmt.Fprintf(w, "\nchoice %d of %d candidate pairs; times in ms\n", i+1, c.Candidates)
		fmt.Fprintf(w, "  %-16s %-16s %8s %8s %8s %8s %8s %8s %8s %8s %7s  %s\n",
			"PREFILL", "DECODE", "QUEUE", "COMPUTE", "TRANSFER", "SLOT", "STEP", "NETWORK", "TTFT", "COST", "CACHED", "WHY NOT")
		for j := range c.Weighed {
			writeWeighed(w, &c.Weighed[j], &c.Weighed[0], j == 0)
		}
	}
}

func writeWeighed(w io.Writer, x, best *route.Weighed, chosen bool) {
	e := &x.Estimate
	why := "chosen"
	if !chosen {
		why = whyNot(e, &best.Estimate)
	}
	fmt.Fprintf(w, "  %-16s %-16s %8.1f %8.1f %8.1f %8.1f %8.1f %8.1f %8.1f %8.1f %7d  %s\n", x.Prefill, x.Decode,
		e.Queue*1e3, e.Prefill*1e3, e.Transfer*1e3, e.Slot*1e3, e.Step*1e3, e.Network*1e3, e.FirstToken*1e3, e.Cost*1e3, e.Cached, why)
}

// whyNot returns the term of the estimate in which a candidate exceeds the chosen one
// most. If there is no such term, the penalties made the difference.
func whyNot(e, best *route.Estimate) string {
	terms := []struct {
		name string
		more float64
	}{
		{"longer queue", e.Queue - best.Queue},
		{"more to compute", e.Prefill - best.Prefill},
		{"slower transfer", e.Transfer - best.Transfer},
		{"wait for a slot", e.Slot - best.Slot},
		{"larger batch", e.Step - best.Step},
		{"farther away", e.Network - best.Network},
	}
	why, most := "penalties: batch or spread of prefixes", 0.0
	for _, t := range terms {
		if t.more > most {
			why, most = t.name, t.more
		}
	}
	return why
}

func newTimeline(o *options) *cobra.Command {
	var f trace.Filter
	var since time.Duration
	var fromLogs bool
	cmd := &cobra.Command{
		Use:   "timeline [LOG-FILE...]",
		Short: "Show the events of all processes in causal order",
		Long:  "Show the events of all processes in causal order. The order is that of the\nmessages between the processes, since the clocks of instances may differ. -o chrome\nwrites the format of a browser's trace viewer. With --from-logs, the events are read\nfrom log files of `hopwelld ingress`, or from standard input, and are ordered by the\nclocks of the processes.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if fromLogs {
				return o.timelineOfLogs(cmd, args, f)
			}
			if since > 0 {
				f.Since = time.Now().Add(-since)
			}
			events, silent, err := o.client().Timeline(cmd.Context(), f)
			if err != nil {
				return err
			}
			if len(silent) > 0 {
				fmt.Fprintf(cmd.ErrOrStderr(), "silent processes: %s\n", strings.Join(silent, ", "))
			}
			return o.writeEvents(cmd.OutOrStdout(), events)
		},
	}
	cmd.Flags().BoolVar(&fromLogs, "from-logs", false, "read log files instead of querying the processes")
	cmd.Flags().StringVar(&f.Request, "request", "", "only events of this request")
	cmd.Flags().StringVar(&f.Instance, "instance", "", "only events of or about this instance")
	cmd.Flags().DurationVar(&since, "since", 0, "only events that are not older than this; not with --from-logs")
	return cmd
}

// writeEvents writes events in the selected output format.
func (o *options) writeEvents(out io.Writer, events []trace.Event) error {
	if o.format == formatChrome {
		return trace.WriteChrome(out, events)
	}
	return o.show(out, events, func(w io.Writer) { _ = trace.WriteText(w, events) })
}

func (o *options) timelineOfLogs(cmd *cobra.Command, files []string, f trace.Filter) error {
	lines, err := readLogs(cmd.InOrStdin(), files)
	if err != nil {
		return err
	}
	return o.writeEvents(cmd.OutOrStdout(), logEvents(lines, f))
}
