package experiment

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/fleettest"
	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/request"
)

// Outcome summarizes a run.
type Outcome struct {
	// Offered counts the requests sent, Good those that met both latency targets; Bound
	// is the upper bound on Good from Deployment.Bound.
	Offered, Good, Bound int
	// ByClass is the share of good responses by class.
	ByClass map[string]float64
	// Others is the share of good responses of all workspaces except the flooding one.
	Others float64
	// Prefilled and Wasted count prompt tokens. Gone is the part of Wasted that
	// belongs to requests whose client disconnected or lost its response with its gateway.
	Prefilled, Wasted, Gone int
	// Recovery is the time from the fault until goodput stays at recoveredShare of its value
	// before the fault, scaled by the remaining capacity. It is 0 without a fault, and -1 if
	// goodput is still too low at the end of the load.
	Recovery time.Duration
	// NotRun, Unknown and Late count the requests that were not good. Left counts the
	// clients that disconnected on their own.
	NotRun, Unknown, Late, Left int
	// Reasons counts the requests in NotRun, Unknown and Late by class and reason.
	Reasons map[string]int
	// Cached is the share of prompt tokens found in the engines' prefix caches. Busy is
	// the share of time that the prefill engines computed.
	Cached, Busy float64
	// KVReads and KVWrites are the read and write calls to the store per second.
	KVReads, KVWrites float64
}

// classOf returns the class of a call, which is named by its request kind.
func classOf(c *fleettest.Call) string {
	if c.Service != nil {
		return c.Service.Kind
	}
	return c.Request.Kind
}

func workspaceOf(c *fleettest.Call) string {
	if c.Service != nil {
		return c.Service.Workspace
	}
	return c.Request.Workspace
}

// summarize computes the outcome of a run from its calls.
func summarize(d Deployment, load []Arrival, calls []*fleettest.Call, scene Scene, length time.Duration) Outcome {
	o := Outcome{Offered: len(load), ByClass: map[string]float64{}, Reasons: map[string]int{}}
	o.Bound = d.Bound(load, length, float64(d.Prefills), float64(d.Decodes))
	total := map[string]float64{}
	others, othersGood := 0.0, 0.0
	for _, c := range calls {
		total[classOf(c)]++
		if workspaceOf(c) != floodingWorkspace {
			others++
			if good(c) {
				othersGood++
			}
		}
		o.Prefilled += c.Result.Prefilled
		o.Wasted += c.Result.Wasted
		if c.Lost || !c.Left.IsZero() {
			o.Gone += c.Result.Wasted
		}
		o.count(c)
	}
	for kind, n := range total {
		o.ByClass[kind] /= n
	}
	o.Others = othersGood / max(others, 1)
	o.Recovery = recovery(d, calls, scene, length)
	return o
}

func (o *Outcome) count(c *fleettest.Call) {
	switch {
	case good(c):
		o.Good++
		o.ByClass[classOf(c)]++
	case !c.Left.IsZero():
		o.Left++
	case c.Result.Outcome == request.NotRun:
		o.NotRun++
		var shed *gateway.ErrShed
		if errors.As(c.Result.Err, &shed) {
			o.Reasons[classOf(c)+"/"+shed.Reason]++
		}
	case c.Result.Outcome == request.Unknown || c.Lost:
		o.Unknown++
		o.Reasons["unknown/"+fmt.Sprint(c.Result.Err)]++
	default:
		o.Late++
		if c.Result.FirstToken > c.Result.TargetFirst {
			o.Reasons[classOf(c)+"/first token"]++
		} else {
			o.Reasons[classOf(c)+"/per token"]++
		}
	}
}

// good reports whether the client received a complete response within both targets.
func good(c *fleettest.Call) bool { return !c.Lost && c.Left.IsZero() && c.Result.Good() }

// recoveredShare is the share of the goodput before a fault, scaled by the remaining
// capacity, that counts as full goodput.
const recoveredShare = 0.9

// recovery returns the time from the fault to the last second after it with too little
// goodput, or -1 if goodput is still too low at the end of the load. Goodput is averaged
// over 3 s.
func recovery(d Deployment, calls []*fleettest.Call, scene Scene, length time.Duration) time.Duration {
	if scene.Fault == nil || len(calls) == 0 {
		return 0
	}
	n := int(length.Seconds())
	offered, ok := make([]float64, n), make([]float64, n)
	start := calls[0].Began
	for _, c := range calls {
		if c.Began.Before(start) {
			start = c.Began
		}
	}
	for _, c := range calls {
		s := int(c.Began.Sub(start).Seconds())
		if s >= n {
			continue
		}
		offered[s]++
		if good(c) {
			ok[s]++
		}
	}
	fault := int(faultAt.Seconds())
	before := sum(ok[2:fault]) / sum(offered[2:fault])
	remaining := min(1-float64(scene.Prefills)/float64(d.Prefills), 1-float64(scene.Decodes)/float64(d.Decodes))
	for s := n - 3; s >= fault; s-- {
		window := sum(ok[s:s+3]) / max(1, sum(offered[s:s+3]))
		if window < recoveredShare*before*remaining {
			if s >= n-4 {
				return -1
			}
			return time.Duration(s+1-fault) * time.Second
		}
	}
	return 0
}

func sum(xs []float64) float64 {
	t := 0.0
	for _, x := range xs {
		t += x
	}
	return t
}

// Row is a row of the table.
type Row struct {
	Scene, Setting string
	Outcome        Outcome
}

// WriteTable writes the results of a deployment as a Markdown table.
func WriteTable(w io.Writer, d Deployment, rows []Row) {
	kinds := make([]string, len(d.Classes))
	for i := range d.Classes {
		kinds[i] = d.Classes[i].Kind
	}
	_, _ = fmt.Fprintf(w, "\n| %s | setting | good %% of offered | %% of bound | other workspaces %% | %s | wasted prefill %% | of it callers gone %% | recovery s | not run | late | unknown | KV r/s | KV w/s |\n", d.Name, strings.Join(kinds, " | "))
	_, _ = fmt.Fprintf(w, "|%s\n", strings.Repeat("---|", 13+len(kinds)))
	for _, r := range rows {
		o := &r.Outcome
		_, _ = fmt.Fprintf(w, "| %s | %s | %.1f | %.1f | %.1f |", r.Scene, r.Setting, share(o.Good, o.Offered), share(o.Good, o.Bound), 100*o.Others)
		for _, k := range kinds {
			_, _ = fmt.Fprintf(w, " %.1f |", 100*o.ByClass[k])
		}
		_, _ = fmt.Fprintf(w, " %.2f | %.2f | %s | %d | %d | %d | %.1f | %.1f |\n", share(o.Wasted, o.Prefilled), share(o.Gone, o.Prefilled), seconds(o.Recovery), o.NotRun, o.Late, o.Unknown, o.KVReads, o.KVWrites)
	}
}

func share(a, b int) float64 { return 100 * float64(a) / float64(max(b, 1)) }

func seconds(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%.0f", d.Seconds())
}

// addEngineUse sets Cached and Busy from the statistics of the engines.
func (o *Outcome) addEngineUse(f *fleettest.Fleet, length time.Duration) {
	var done, cached int64
	n := 0
	for _, e := range f.Engines {
		s := e.Stats()
		done, cached = done+s.Prefilled, cached+s.Cached
		if s.Prefilled > 0 {
			n++
		}
	}
	o.Cached = float64(cached) / float64(max(1, cached+done))
	o.Busy = float64(done) / (f.Spec.Prefill.PrefillRate * length.Seconds() * float64(max(n, 1)))
}
