package ingress

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hopwell/hopwell/pkg/quota"
)

// meters holds the metrics of an Ingress.
type meters struct {
	set *metrics.Set
	// firstEvent is the time until the first event of a stream, wait the wait for room on a decode
	// runner, and prefill the duration of a prefill, all in seconds.
	firstEvent *metrics.Histogram
	wait       *metrics.Histogram
	prefill    *metrics.Histogram
	// prefilled counts the prompt tokens that prefill runners computed, wasted those whose
	// computation was wasted or has to be repeated. prefilledLocally counts the prompts that decode
	// runners computed because a prefill runner would have cost callers more.
	prefilled        *metrics.Counter
	wasted           *metrics.Counter
	prefilledLocally *metrics.Counter
	// resumed counts the times that this gateway resumed a stream on another runner, broken the
	// streams that were aborted.
	resumed *metrics.Counter
	broken  *metrics.Counter
	// quarantines counts the quarantines that this gateway learned of.
	quarantines *metrics.Counter
	// partQuarantines counts the quarantines of parts of prompts that this gateway learned of.
	partQuarantines *metrics.Counter
	// notBuffered counts the responses that were streamed because the memory for buffers was used
	// up.
	notBuffered *metrics.Counter
}

func newMeters() *meters {
	set := metrics.NewSet()
	return &meters{
		set:              set,
		firstEvent:       set.NewHistogram("hopwell_ingress_first_event_seconds"),
		wait:             set.NewHistogram("hopwell_ingress_room_wait_seconds"),
		prefill:          set.NewHistogram("hopwell_ingress_prefill_seconds"),
		prefilled:        set.NewCounter("hopwell_ingress_prefilled_tokens_total"),
		wasted:           set.NewCounter("hopwell_ingress_wasted_prefill_tokens_total"),
		prefilledLocally: set.NewCounter("hopwell_ingress_local_prefills_total"),
		resumed:          set.NewCounter("hopwell_ingress_resumed_streams_total"),
		broken:           set.NewCounter("hopwell_ingress_broken_streams_total"),
		notBuffered:      set.NewCounter("hopwell_ingress_answers_not_held_total"),
		quarantines:      set.NewCounter("hopwell_ingress_quarantines_total"),
		partQuarantines:  set.NewCounter("hopwell_ingress_part_quarantines_total"),
	}
}

// brokenRun counts a run whose connection broke, by what the check of its runner showed.
func (m *meters) brokenRun(alive bool, err error) {
	runner := "crashed"
	switch {
	case err != nil:
		runner = "unknown"
	case alive:
		runner = "alive"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("hopwell_ingress_broken_runs_total{runner=%q}", runner)).Inc()
}

// ended records the duration and status of a request that ended; the status is 0 without a
// response.
func (m *meters) ended(x *exchange, status int, took time.Duration) {
	kind := "none"
	if x.route != nil {
		kind = string(x.route.Kind)
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`hopwell_ingress_requests_total{kind=%q,status="%d"}`, kind, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`hopwell_ingress_request_seconds{kind=%q}`, kind)).Update(took.Seconds())
}

// promised counts a refused client that was told when to come back. kept says that room is expected
// then.
func (m *meters) promised(kept bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hopwell_ingress_promised_returns_total{kept="%t"}`, kept)).Inc()
}

// forecast counts a request that found no room at once, by whether the forecast let it wait.
func (m *meters) forecast(refused bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hopwell_ingress_forecasts_total{refused="%t"}`, refused)).Inc()
}

// resumption counts a stream that its client resumes, by whether its software version is known.
func (m *meters) resumption(err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hopwell_ingress_client_resumptions_total{software_known="%t"}`, err == nil)).Inc()
}

// confirmation counts a stream whose runner's incarnation was confirmed before its first event, or was not.
func (m *meters) confirmation(err error) {
	result := "current"
	switch {
	case err != nil && errors.Unwrap(err) == nil:
		result = "outdated"
	case err != nil:
		result = "unknown"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`hopwell_ingress_incarnations_total{result=%q}`, result)).Inc()
}

// declined counts a runner's refusal.
func (m *meters) declined(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hopwell_ingress_declined_total{status="%d"}`, status)).Inc()
}

// shownWorkspaces limits the workspaces in the metrics to those that this gateway served last.
const shownWorkspaces = 20

// Usage returns what workspaces recently spent at this gateway, for at most the given number of
// workspaces; nil if there are no quotas.
func (g *Ingress) Usage(most int) []quota.Status {
	if g.options.Quota == nil {
		return nil
	}
	return g.options.Quota.Status(most, time.Now())
}

// writeQuota writes the state of the workspaces' quotas.
func (g *Ingress) writeQuota(w io.Writer) {
	for _, s := range g.Usage(shownWorkspaces) {
		fmt.Fprintf(w, "hopwell_workspace_spent{workspace=%q} %d\n", s.Workspace, s.Spent)
		fmt.Fprintf(w, "hopwell_workspace_left{workspace=%q} %.0f\n", s.Workspace, s.Level)
		fmt.Fprintf(w, "hopwell_workspace_limit_rate{workspace=%q} %g\n", s.Workspace, s.Limit.Rate)
		fmt.Fprintf(w, "hopwell_workspace_gateways_heard{workspace=%q} %d\n", s.Workspace, s.Heard)
	}
}

// shownLimits limits the runners whose rate limits are in the metrics.
const shownLimits = 20

// writeLimits writes the runners' rate limits, and how many requests this gateway sent and
// withheld.
func (g *Ingress) writeLimits(w io.Writer) {
	all := g.Directory.Limits.Statuses(time.Now())
	fmt.Fprintf(w, "hopwell_runner_limits %d\n", len(all))
	for _, s := range all[:min(len(all), shownLimits)] {
		fmt.Fprintf(w, "hopwell_runner_limit_per_second{runner=%q} %g\n", s.Runner, s.PerSecond)
		fmt.Fprintf(w, "hopwell_runner_limit_left{runner=%q} %.1f\n", s.Runner, s.Level)
		fmt.Fprintf(w, "hopwell_runner_limit_sent{runner=%q} %d\n", s.Runner, s.Sent)
		fmt.Fprintf(w, "hopwell_runner_limit_withheld{runner=%q} %d\n", s.Runner, s.Withheld)
	}
}

// shownPressed limits the plain runners under pressure in the metrics.
const shownPressed = 20

// writePlainLoad writes the requests that wait for plain runners, and the limits of those that turned
// requests away.
func (g *Ingress) writePlainLoad(w io.Writer) {
	for service, n := range g.plain.Waiting() {
		fmt.Fprintf(w, "hopwell_plain_waiting{service=%q} %d\n", service, n)
	}
	all := g.plain.Statuses(time.Now())
	fmt.Fprintf(w, "hopwell_plain_runners_full %d\n", len(all))
	for _, s := range all[:min(len(all), shownPressed)] {
		fmt.Fprintf(w, "hopwell_plain_in_flight{runner=%q} %d\n", s.Runner, s.InFlight)
		fmt.Fprintf(w, "hopwell_plain_limit{runner=%q} %.1f\n", s.Runner, s.Limit)
		fmt.Fprintf(w, "hopwell_plain_turned_away{runner=%q} %d\n", s.Runner, s.TurnedAway)
	}
}

const (
	// shownNotices limits the runners whose pauses are in the metrics.
	shownNotices = 20
	// shownLeaving is the time for which the metrics count a runner after it announced its
	// departure.
	shownLeaving = time.Minute
)

// writeNotices writes how many runners are leaving and paused, and the pauses.
func (g *Ingress) writeNotices(w io.Writer) {
	all := g.Directory.Notices.Withheld(shownLeaving, time.Now())
	leaving := 0
	for _, n := range all {
		if n.Leaving {
			leaving++
		}
	}
	fmt.Fprintf(w, "hopwell_runners_leaving %d\n", leaving)
	fmt.Fprintf(w, "hopwell_runners_paused %d\n", len(all)-leaving)
	for _, n := range all[:min(len(all), shownNotices)] {
		if !n.Leaving {
			fmt.Fprintf(w, "hopwell_runner_pause_left_seconds{runner=%q} %.3f\n", n.Runner, n.Left.Seconds())
		}
	}
}

// writeVersions writes how many runners of each software version serve each service.
func (g *Ingress) writeVersions(w io.Writer) {
	t := g.table.Load()
	if t == nil {
		return
	}
	for name := range t.Config.Services {
		count := map[string]int{}
		for _, r := range g.Directory.Present(name, time.Now()) {
			count[r.Version]++
		}
		for version, n := range count {
			fmt.Fprintf(w, "hopwell_runners_present{service=%q,software=%q} %d\n", name, version, n)
		}
	}
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (g *Ingress) WriteMetrics(w io.Writer) {
	fmt.Fprintf(w, "hopwell_ingress_open_requests %d\n", g.open.Load())
	fmt.Fprintf(w, "hopwell_ingress_held_bytes %d\n", g.options.Held.Used())
	fmt.Fprintf(w, "hopwell_ingress_evacuated_domains %d\n", len(g.Directory.Evacuated()))
	fmt.Fprintf(w, "hopwell_ingress_runners %d\n", g.Directory.Len())
	if t := g.table.Load(); t != nil {
		fmt.Fprintf(w, "hopwell_ingress_config_version %d\n", t.Config.Version)
	}
	if t := g.options.Suspicion.Table; t != nil {
		fmt.Fprintf(w, "hopwell_ingress_quarantined %d\n", t.Quarantined(time.Now()))
		fmt.Fprintf(w, "hopwell_ingress_quarantined_part_sets %d\n", len(g.options.Suspicion.Parts.Quarantined(time.Now())))
	}
	g.writeVersions(w)
	origins, dropped := g.origins.Size()
	fmt.Fprintf(w, "hopwell_ingress_stream_origins %d\n", origins)
	fmt.Fprintf(w, "hopwell_ingress_stream_origins_dropped_total %d\n", dropped)
	for name, p := range g.Pools() {
		here, all := p.Waiting()
		fmt.Fprintf(w, "hopwell_ingress_waiting{service=%q,where=\"here\"} %d\n", name, here)
		fmt.Fprintf(w, "hopwell_ingress_waiting{service=%q,where=\"all\"} %d\n", name, all)
	}
	g.writeQuota(w)
	g.writeLimits(w)
	g.writePlainLoad(w)
	g.writeNotices(w)
	g.metrics.set.WritePrometheus(w)
}
