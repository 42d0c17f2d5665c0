package gateway

import (
	"errors"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/trace"
)

// meters are the gateway's metrics.
type meters struct {
	set        *metrics.Set
	retries    *metrics.Counter
	prefilled  *metrics.Counter
	wasted     *metrics.Counter
	tokens     *metrics.Counter
	firstToken *metrics.Histogram
	perToken   *metrics.Histogram
}

func newMeters() *meters {
	set := metrics.NewSet()
	return &meters{
		set:        set,
		retries:    set.NewCounter("hopwell_gateway_retries_total"),
		prefilled:  set.NewCounter("hopwell_gateway_prefilled_tokens_total"),
		wasted:     set.NewCounter("hopwell_gateway_wasted_prefill_tokens_total"),
		tokens:     set.NewCounter("hopwell_gateway_tokens_total"),
		firstToken: set.NewHistogram("hopwell_gateway_first_token_seconds"),
		perToken:   set.NewHistogram("hopwell_gateway_per_token_seconds"),
	}
}

// registerGauges registers the gauges. The gauge of open requests is 0 when no request is open.
func (m *meters) registerGauges(g *Gateway) {
	m.set.NewGauge("hopwell_gateway_open_requests", func() float64 { return float64(g.limits.Open()) })
	m.set.NewGauge("hopwell_gateway_revision", func() float64 {
		d, _ := g.Keeper.Digest()
		return float64(d.Revision)
	})
}

// recordRefusal counts a refusal by a sidecar.
func (m *meters) recordRefusal(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hopwell_gateway_refusals_total{reason=%q}`, reason)).Inc()
}

// recordResult counts a request by its outcome and by the reason why it is not Good.
func (m *meters) recordResult(r *Result) {
	cause := missCause(r)
	m.set.GetOrCreateCounter(fmt.Sprintf(`hopwell_gateway_requests_total{outcome=%q,miss=%q}`, r.Outcome, cause)).Inc()
	m.prefilled.Add(r.Prefilled)
	m.wasted.Add(r.Wasted)
	m.tokens.Add(r.Tokens)
	if r.Tokens > 0 {
		m.firstToken.Update(r.FirstToken.Seconds())
		m.perToken.Update(r.PerToken.Seconds())
	}
}

// missCause returns why a response is not Good, or "" if it is.
func missCause(r *Result) string {
	var shed *ErrShed
	var gone *ErrCallerGone
	switch {
	case r.Good():
		return ""
	case errors.As(r.Err, &shed):
		return "shed"
	case errors.As(r.Err, &gone):
		return "caller_gone"
	case r.Outcome == request.NotRun:
		return "refused"
	case r.Outcome == request.Unknown:
		return "broken"
	case r.FirstToken > r.TargetFirst:
		return "first_token"
	}
	return "per_token"
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (g *Gateway) WriteMetrics(w io.Writer) { g.meters.set.WritePrometheus(w) }

// finish records the outcome of a request in metrics, quota, explanations and logs.
func (g *Gateway) finish(req *Request, r *Result) {
	g.meters.recordResult(r)
	g.refund(req, r.Outcome)
	g.explanations.recordResult(req.ID, r)
	detail := fmt.Sprintf("outcome=%s miss=%s tokens=%d", r.Outcome, missCause(r), r.Tokens)
	if r.Err != nil {
		detail += fmt.Sprintf(" error=%q", r.Err)
	}
	var gone *ErrCallerGone
	if errors.As(r.Err, &gone) {
		g.Log.Add(trace.Event{Type: trace.Gone, Request: req.ID})
	}
	g.Log.Add(trace.Event{Type: trace.Finished, Request: req.ID, Detail: detail})
	if g.log.On() {
		g.log.Info("request", "request", req.ID, "workspace", req.Workspace, "model", req.Model, "outcome", r.Outcome,
			"miss", missCause(r), "tokens", r.Tokens, "attempts", r.Attempts, "first_token", r.FirstToken, "err", r.Err)
	}
}

// reject ends a request that was refused before its first attempt.
func (g *Gateway) reject(req *Request, err error) Result {
	res := Result{Outcome: request.NotRun, Err: err, RetryAfter: minRetryAfter}
	g.finish(req, &res)
	return res
}
