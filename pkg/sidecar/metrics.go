package sidecar

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the sidecar's metrics.
type meters struct {
	set       *metrics.Set
	prefilled *metrics.Counter
	cached    *metrics.Counter
	decoded   *metrics.Counter
}

func newMeters() *meters {
	set := metrics.NewSet()
	return &meters{
		set:       set,
		prefilled: set.NewCounter("hopwell_sidecar_prefilled_tokens_total"),
		cached:    set.NewCounter("hopwell_sidecar_cached_tokens_total"),
		decoded:   set.NewCounter("hopwell_sidecar_decoded_tokens_total"),
	}
}

// recordRefusal counts a refusal; the reasons are those of package wire.
func (m *meters) recordRefusal(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hopwell_sidecar_refused_total{reason=%q}`, reason)).Inc()
}

// addGauges adds the gauges of resources in use. They return to 0 when no
// attempt is open.
func (m *meters) addGauges(s *Sidecar) {
	usage := func(pick func(running, reserved int, bytes int64) float64) func() float64 {
		return func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return pick(s.ledger.Usage())
		}
	}
	m.set.NewGauge("hopwell_sidecar_streams", usage(func(r, _ int, _ int64) float64 { return float64(r) }))
	m.set.NewGauge("hopwell_sidecar_reservations", usage(func(_, r int, _ int64) float64 { return float64(r) }))
	m.set.NewGauge("hopwell_sidecar_kv_bytes", usage(func(_, _ int, b int64) float64 { return float64(b) }))
	m.set.NewGauge("hopwell_sidecar_attempts", func() float64 { return float64(s.openAttempts.Load()) })
	m.set.NewGauge("hopwell_sidecar_queue", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.queue.Len())
	})
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (s *Sidecar) WriteMetrics(w io.Writer) { s.metrics.set.WritePrometheus(w) }
