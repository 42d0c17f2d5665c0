package gateway

import (
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
)

// RunnerLoad is the load of a runner as known to this gateway.
type RunnerLoad struct {
	Running      int     `json:"running"`
	Reserved     int     `json:"reserved"`
	Batch        int     `json:"batch"`
	QueuedTokens float64 `json:"queued_tokens"`
	PrefillRate  float64 `json:"prefill_rate"`
	InFlight     int     `json:"in_flight"`
	// Suspect is set while the runner is backed off after failures (route.State.Shunned).
	Suspect bool `json:"suspect"`
	// AgeMs is the age of the newest report, or -1 if there is none.
	AgeMs int64 `json:"age_ms"`
}

// Load returns the known load of a member's runner.
func (g *Gateway) Load(m *fleet.Member) RunnerLoad {
	now := time.Now()
	r := g.tracker.Get(m.Name, m.Domain, m.Region)
	s := r.State(now)
	age := r.Age(now).Milliseconds()
	if age > maxAgeMs {
		age = -1
	}
	return RunnerLoad{
		Running: s.Running, Reserved: s.Reserved, Batch: s.Batch, QueuedTokens: s.Queued,
		PrefillRate: s.Rate, InFlight: s.InFlight, Suspect: s.Shunned, AgeMs: age,
	}
}

// maxAgeMs is greater than the age of any real report.
const maxAgeMs = int64(365 * 24 * time.Hour / time.Millisecond)
