package plainload

import (
	"math"
	"time"
)

const (
	// reportTTL is how long a report of another gateway counts. A gateway that died or was cut off
	// holds no places longer.
	reportTTL = 900 * time.Millisecond
	// totalWeight is the weight of the newest observation in the number of requests that a runner
	// takes from all gateways.
	totalWeight = 0.1
	// maxReported bounds the counts that another gateway may report.
	maxReported = 1 << 16
)

// Report is what a gateway tells the others about its load at a runner.
type Report struct {
	Runner string
	// InFlight is the number of open requests, Waiting that of requests which wait for room.
	InFlight, Waiting int
	// Limit is the number of open requests of all gateways that the runner is believed to take; 0 is
	// unknown.
	Limit int
	// TurnedAway counts the requests that the runner turned away from the gateway.
	TurnedAway uint64
}

// peerLoad is the last report of another gateway.
type peerLoad struct {
	Report
	at time.Time
}

// bound returns the number of requests that this gateway may have open at a runner under pressure:
// its part of the total by demand if the other gateways reported theirs, else its own limit.
func (r *runner) bound(now time.Time) float64 {
	if r.total == 0 {
		return r.limit
	}
	open, demand := r.others(now)
	if open == 0 {
		return r.limit
	}
	own := float64(r.inFlight + max(1, r.waiting()))
	return max(1, r.total*own/(own+demand))
}

// others returns the open and the open and waiting requests of the other gateways.
func (r *runner) others(now time.Time) (open, demand float64) {
	for _, p := range r.peers {
		if now.Sub(p.at) < reportTTL {
			open += float64(p.InFlight)
			demand += float64(p.InFlight + p.Waiting)
		}
	}
	return open, demand
}

// fallTotal records that the runner turned a request away while all gateways had the known number of
// requests there.
func (r *runner) fallTotal(now time.Time) {
	open, _ := r.others(now)
	if open == 0 {
		return
	}
	seen := open + float64(r.inFlight)
	if r.total == 0 {
		r.total = seen
	}
	r.total += totalWeight * (seen - r.total)
}

// Reports returns what the other gateways are told: the load at the runners under pressure.
func (t *Table) Reports(now time.Time) []Report {
	if !t.shared {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for id, r := range t.runners {
		if r.pressed(now) {
			out = append(out, Report{Runner: id, InFlight: r.inFlight, Waiting: r.waiting(), Limit: int(math.Round(r.total)), TurnedAway: r.turnedAway})
		}
	}
	return out
}

// Receive records the reports of another gateway.
func (t *Table) Receive(gateway string, reports []Report, now time.Time) {
	if !t.shared {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range reports {
		if p.InFlight > maxReported || p.Waiting > maxReported || p.Limit > maxReported {
			continue
		}
		r := t.runner(p.Runner)
		before, known := r.peers[gateway]
		r.peers[gateway] = peerLoad{p, now}
		if !known && p.TurnedAway > 0 || known && p.TurnedAway > before.TurnedAway {
			r.press(now)
		}
		if p.Limit > 0 && r.total == 0 {
			r.total = float64(p.Limit)
		}
	}
}

// DropGateway forgets the reports of a gateway that turned silent.
func (t *Table) DropGateway(gateway string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.runners {
		delete(r.peers, gateway)
	}
}

func (r *runner) dropStale(now time.Time) {
	for name, p := range r.peers {
		if now.Sub(p.at) >= reportTTL {
			delete(r.peers, name)
		}
	}
}
