package gateway

import (
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
)

// RunnerLoad is what the gateway knows of a runner's load.
type RunnerLoad struct {
	Running      int     `json:"running"`
	Reserved     int     `json:"reserved"`
	Batch        int     `json:"batch"`
	QueuedTokens float64 `json:"queued_tokens"`
	PrefillRate  float64 `json:"prefill_rate"`
	InFlight     int     `json:"in_flight"`
	// Suspect is set while the runner is backed off after failures.
	Suspect bool `json:"suspect"`
	// AgeMs is how old the newest report is, -1 when there was none.
	AgeMs int64 `json:"age_ms"`
}

// Load returns what is known of a member's runner.
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

// maxAgeMs is above the age of every real report.
const maxAgeMs = int64(365 * 24 * time.Hour / time.Millisecond)
