package ingressdemo

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hopwell/hopwell/pkg/process"
	"github.com/hopwell/hopwell/platform/standin"
)

// percent converts a fraction to a percentage.
const percent = 100

// WriteView writes the current state as text: gateways with their queues, runners,
// workspaces, and requests by result.
func (d *Demo) WriteView(w io.Writer) {
	now := time.Now()
	var text strings.Builder
	out := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintf(&text, "%.0f s, %.1f requests/s\n\n", now.Sub(d.began).Seconds(), d.rate(now))
	d.writeGateways(out, now)
	d.writeRunners(out, now)
	d.writeWorkspaces(out)
	d.writeResults(out, now)
	_ = out.Flush()
	_, _ = io.WriteString(w, text.String())
}

// writeGateways writes the state of each gateway and of its queue for the engines.
func (d *Demo) writeGateways(w io.Writer, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintln(w, "GATEWAY\tSTATE\tCALLERS\tWAITING\tPROMPT TOKENS\tMEMORY RESERVED")
	for i, g := range d.gateways {
		if g == nil {
			fmt.Fprintf(w, "%s\t%s\t\t\t\t\n", gatewayName(i), d.state(gatewayName(i), now))
			continue
		}
		waiting, promptTokens, reserved := poolLoad(g, now)
		fmt.Fprintf(w, "%s\tup\thttp://%s\t%d\t%d\t%.0f%%\n", gatewayName(i), g.Ports().Callers, waiting, promptTokens, reserved*percent)
	}
	fmt.Fprintln(w)
}

// poolLoad returns a gateway's view of the engine pool: the number of waiting requests, the
// prompt tokens that wait or are being prefilled, and the reserved share of the memory.
func poolLoad(g *process.Ingress, now time.Time) (waiting, reading int, reserved float64) {
	pool := g.Ingress.Pools()[engineService]
	if pool == nil {
		return 0, 0, 0
	}
	s := pool.Status(now)
	return s.Waiting, s.PrefillTokens, s.Reserved
}

// writeRunners writes the stage, state, load and memory use of each runner.
func (d *Demo) writeRunners(w io.Writer, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintln(w, "RUNNER\tDOMAIN\tSTAGE\tSTATE\tANSWERS\tMEMORY\tPROMPTS READ")
	list := make([]*standin.Runner, 0, len(d.standIns.Runners))
	for _, r := range d.standIns.Runners {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *standin.Runner) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range list {
		stage, changing := r.Stage()
		state := d.state(r.ID, now)
		if changing {
			state = "changing stage"
		}
		answers, used := r.Running()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d%%\t%d\n", r.ID, r.Zone, cmp.Or(stage, "-"), state, answers, used*percent/r.Memory, r.Prefills())
	}
	for name, back := range d.faultEnds {
		if _, up := d.standIns.Runners[name]; !up && !strings.HasPrefix(name, "gateway") {
			fmt.Fprintf(w, "%s\t\t\tgone, back in %.0f s\t\t\t\n", name, back.Sub(now).Seconds())
		}
	}
	fmt.Fprintln(w)
}

// state returns "up", or the remaining time of the fault of a runner or a gateway. The
// caller holds d.mu.
func (d *Demo) state(name string, now time.Time) string {
	back, down := d.faultEnds[name]
	if !down {
		return "up"
	}
	return fmt.Sprintf("at fault for %.0f s", back.Sub(now).Seconds())
}

// writeResults writes the number of requests by result.
func (d *Demo) writeResults(w io.Writer, now time.Time) {
	all, lately := d.tally.read(now)
	fmt.Fprintln(w, "REQUESTS\tENDED\tIN TIME\tLATE\tREFUSED\tLOST")
	for _, row := range []struct {
		name string
		c    counts
	}{{"last 10 s", lately}, {"all", all}} {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", row.name, row.c.sum(), row.c[inTime], row.c[late], row.c[refused], row.c[lost])
	}
}

// Handler returns an HTTP handler that serves the view and injects faults:
//
//	GET  /                                    writes the view
//	POST /faults/FAULT?target=NAME&for=5s     injects a fault
func (d *Demo) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		d.WriteView(w)
	})
	mux.HandleFunc("POST /faults/{fault}", d.serveFault)
	return mux
}

func (d *Demo) serveFault(w http.ResponseWriter, r *http.Request) {
	f, err := ParseFault(r.PathValue("fault"))
	lasts := DefaultFault
	if text := r.FormValue("for"); err == nil && text != "" {
		lasts, err = time.ParseDuration(text)
	}
	target := ""
	if err == nil {
		target, err = d.Strike(f, r.FormValue("target"), lasts)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fmt.Fprintf(w, "%s: %s for %s\n", f, target, lasts)
}
