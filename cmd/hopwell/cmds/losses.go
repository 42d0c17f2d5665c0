package cmds

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/hopwell/hopwell/pkg/losses"
)

// formatSVG selects a drawing instead of tables.
const formatSVG = "svg"

// lossFlags are the flags of `hopwell losses`.
type lossFlags struct {
	window time.Duration
	start  string
	worst  int
	at     time.Duration
}

func newLosses(o *options) *cobra.Command {
	var f lossFlags
	cmd := &cobra.Command{
		Use:   "losses [LOG-FILE...]",
		Short: "Show requests that were not served in time, per time window and cause, from the logs",
		Long: "Show for each time window which generations (requests to model engines) and lookups\n(requests to plain runners) were lost, that is, not served in time, and why, which prompts\n" +
			"were computed in vain, and how full the engines were, from the logs of\n`hopwelld ingress`. Without files, the logs are read from standard input. --worst lists\n" +
			"the lost requests of the worst windows, --at those of one window; `hopwell why` explains\na single request. -o svg draws the windows. The logs must include what processes wrote\n" +
			"before they lost power: a request that began to decode and has no request_end\nline gets the cause gateway_lost.",
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args)
			if err != nil {
				return err
			}
			return o.showLosses(cmd, losses.New(lines), &f)
		},
	}
	cmd.Flags().DurationVar(&f.window, "window", 2*time.Second, "length of a time window")
	cmd.Flags().StringVar(&f.start, "start", "", "start of the first window, as a time in the format of the logs (default the time of the first request)")
	cmd.Flags().IntVar(&f.worst, "worst", 0, "list the lost requests of this many of the worst windows")
	cmd.Flags().DurationVar(&f.at, "at", -1, "list the lost requests of the window that contains this time, counted from the start of the first window; below 0 for none")
	return cmd
}

func (o *options) showLosses(cmd *cobra.Command, log *losses.Log, f *lossFlags) error {
	if f.window <= 0 {
		return &errInput{What: "window=" + f.window.String(), Expected: "a duration above 0"}
	}
	var start time.Time
	if f.start != "" {
		var err error
		if start, err = time.Parse(time.RFC3339Nano, f.start); err != nil {
			return &errInput{What: "start=" + f.start, Expected: "a time in RFC 3339 format, as in the logs"}
		}
	}
	report := log.Report(start, f.window)
	out := cmd.OutOrStdout()
	if o.format == formatSVG {
		return report.WriteSVG(out)
	}
	var writeErr error
	err := o.show(out, report, func(w io.Writer) { writeErr = writeLosses(w, report, f) })
	if err == nil {
		err = writeErr
	}
	return err
}

// writeLosses writes the tables, then the lost requests of the windows that --worst and
// --at select.
func writeLosses(w io.Writer, report *losses.Report, f *lossFlags) error {
	if err := report.Write(w); err != nil {
		return err
	}
	windows := report.Worst(f.worst)
	for _, x := range report.Windows {
		if f.at >= x.From && f.at < x.From+f.window {
			windows = append(windows, x)
		}
	}
	for _, x := range windows {
		if err := report.WriteLost(w, x); err != nil {
			return err
		}
	}
	return nil
}
