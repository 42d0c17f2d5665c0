package losses

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Write writes tables for people: generations, lookups, wasted prompt tokens and the
// state of the engines, by window.
func (r *Report) Write(w io.Writer) error {
	fmt.Fprintf(w, "from %s, windows of %s, requests by time of arrival on the gateways' clocks\n", r.Start.Format("15:04:05.000"), r.Length)
	if n := r.log.Malformed; n > 0 {
		fmt.Fprintf(w, "%d fields could not be parsed and count as 0\n", n)
	}
	out := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	r.writeCounts(out, "GENERATIONS", func(w *Window) *Count { return &w.Generations })
	r.writeCounts(out, "LOOKUPS", func(w *Window) *Count { return &w.Lookups })
	r.writeWasted(out)
	r.writeEngines(out)
	r.writeForecasts(out)
	return out.Flush()
}

// writeCounts writes one table of causes. Causes without requests have no column.
func (r *Report) writeCounts(w io.Writer, title string, pick func(*Window) *Count) {
	total := r.Total()
	var causes []Cause
	for _, c := range Causes {
		if pick(&total).Lost[c] > 0 {
			causes = append(causes, c)
		}
	}
	fmt.Fprintf(w, "\n%s\ttotal\tin_time\tshare\t", title)
	for _, c := range causes {
		fmt.Fprintf(w, "%s\t", c)
	}
	fmt.Fprintln(w)
	row := func(name string, c *Count) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t", name, c.Total, c.InTime(), c.Share())
		for _, cause := range causes {
			fmt.Fprintf(w, "%s\t", blankIfZero(c.Lost[cause]))
		}
		fmt.Fprintln(w)
	}
	for i := range r.Windows {
		row(r.Windows[i].From.String(), pick(&r.Windows[i]))
	}
	row("all", pick(&total))
}

// blankIfZero formats a number, 0 as an empty string.
func blankIfZero(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func (r *Report) writeWasted(w io.Writer) {
	reasons, total := r.Reasons(), r.Total()
	if len(reasons) == 0 {
		return
	}
	fmt.Fprintf(w, "\nPROMPT TOKENS IN VAIN\t%s\t\n", strings.Join(reasons, "\t"))
	row := func(name string, tokens map[string]int) {
		fmt.Fprintf(w, "%s\t", name)
		for _, reason := range reasons {
			fmt.Fprintf(w, "%s\t", blankIfZero(tokens[reason]))
		}
		fmt.Fprintln(w)
	}
	for i := range r.Windows {
		if len(r.Windows[i].Wasted) > 0 {
			row(r.Windows[i].From.String(), r.Windows[i].Wasted)
		}
	}
	row("all", total.Wasted)
}

func (r *Report) writeEngines(w io.Writer) {
	fmt.Fprint(w, "\nENGINES\tprefill\tdecode\tchanging\treserved\twaiting\treading\tlocal\t\n")
	for i := range r.Windows {
		e := &r.Windows[i].Engines
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.0f\t%s\t\n", r.Windows[i].From, e.Prefill, e.Decode, e.Changing, e.Reserved, e.Waiting, e.PrefillTokens, blankIfZero(r.Windows[i].LocalPrefills))
	}
}

// WriteLost lists the lost requests of a window with their arrival times and causes.
func (r *Report) WriteLost(w io.Writer, window Window) error {
	fmt.Fprintf(w, "\nlost requests that arrived in the window of %s that starts at %s\n", r.Length, window.From)
	out := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, q := range r.Lost(window) {
		kind := "lookup"
		if q.Generation {
			kind = "generation"
		}
		fmt.Fprintf(out, "%.3f\t%s\t%s\t%s\t%s\t%s\n", q.Arrived.Sub(r.Start).Seconds(), q.Process, kind, q.ID, q.Cause, q.Why)
	}
	return out.Flush()
}
