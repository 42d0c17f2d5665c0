package runners

import (
	"math"
	"time"
)

const (
	// outcomeDecay is the time in which the count of an outcome decays to a third (1/e).
	outcomeDecay = 4 * time.Second
	// reportTTL is how long a report of another gateway is used.
	reportTTL = 3 * time.Second
	// ownWeight is how many outcomes this gateway's own failure rate counts for, on top of its own
	// decayed outcomes, when the rate is combined with the reports of other gateways.
	ownWeight = 2
	// otherDomainWeight is the weight of an outcome that was observed from another failure domain:
	// a runner may fail the requests from one domain only.
	otherDomainWeight = 0.5
	// suspectThreshold is the decayed failure count at or above which a runner is suspect.
	// reportThreshold is the decayed outcome count at or above which the outcomes at a suspect
	// runner are reported.
	suspectThreshold = 0.1
	reportThreshold  = 0.2
)

// tally counts outcomes; the count of each decays with time.
type tally struct {
	failed, total float64
	at            time.Time
}

// decayed returns the counts decayed to a later time.
func (t tally) decayed(now time.Time) tally {
	if t.at.IsZero() || !now.After(t.at) {
		return t
	}
	factor := math.Exp(-now.Sub(t.at).Seconds() / outcomeDecay.Seconds())
	return tally{failed: t.failed * factor, total: t.total * factor, at: now}
}

// add adds an outcome.
func (t *tally) add(now time.Time, failed bool) {
	*t = t.decayed(now)
	t.at = now
	t.total++
	if failed {
		t.failed++
	}
}

// Outcome holds the outcomes of one gateway's recent requests at a runner: Total counts those that
// completed or failed, Failed those that failed. Both numbers decay with time.
type Outcome struct {
	// Runner is the runner's ID.
	Runner        string
	Failed, Total float64
	// Unusable is set if the runner refused a call of the gateway because the call was meant for a
	// different runner, or because the runner is not in the stage Stage.
	Unusable bool
	Stage    Stage
}

// report is what another gateway reported about a runner.
type report struct {
	tally
	sameDomain bool
}

// Succeeded records a successful call that is not a client's request.
func (s *State) Succeeded(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.add(now, false)
}

// combinedFailureRate returns the failure rate of this gateway combined with the outcomes that
// other gateways reported. The caller holds the lock.
func (s *sharedState) combinedFailureRate(now time.Time) float64 {
	weight := ownWeight + s.own.decayed(now).total
	failed, total := weight*s.health.failureRate(now), weight
	for _, r := range s.others {
		if now.Sub(r.at) > reportTTL {
			continue
		}
		w := otherDomainWeight
		if r.sameDomain {
			w = 1
		}
		t := r.decayed(now)
		failed += w * t.failed
		total += w * t.total
	}
	return failed / total
}

// suspect reports whether this gateway or another one saw the runner fail recently. The caller
// holds the lock.
func (s *sharedState) suspect(now time.Time) bool {
	if s.own.decayed(now).failed >= suspectThreshold {
		return true
	}
	for _, r := range s.others {
		if now.Sub(r.at) <= reportTTL && r.failed >= suspectThreshold {
			return true
		}
	}
	return false
}

// Outcomes returns what this gateway reports to others: its own outcomes at the runners that
// recently failed requests here or at other gateways, and the runners that refused a call because
// their ID or stage differs from their entry, so that other gateways don't call them. Reports of
// others are not passed on.
func (d *Directory) Outcomes(now time.Time) []Outcome {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []Outcome
	for id, s := range d.all {
		s.mu.Lock()
		t := s.own.decayed(now)
		unusable := s.mismatch.own && s.mismatch.active(s.Stage, now) && now.Sub(s.mismatch.at) <= reportTTL
		if unusable || t.total >= reportThreshold && s.suspect(now) {
			out = append(out, Outcome{Runner: id, Failed: t.failed, Total: t.total, Unusable: unusable, Stage: s.Stage})
		}
		s.mu.Unlock()
	}
	return out
}

// ReceiveOutcomes records the outcomes that another gateway reported. They replace what that
// gateway reported about the same runners before. Unknown runners and invalid counts are ignored.
func (d *Directory) ReceiveOutcomes(gateway string, sameDomain bool, reported []Outcome, now time.Time) {
	var unusable []Runner
	d.mu.RLock()
	for _, o := range reported {
		s := d.all[o.Runner]
		if s == nil || o.Failed < 0 || o.Failed > o.Total {
			continue
		}
		if s.receive(gateway, report{tally{o.Failed, o.Total, now}, sameDomain}, o) {
			unusable = append(unusable, s.Runner)
		}
	}
	d.mu.RUnlock()
	for _, r := range unusable {
		d.notify(Change{r, "unusable"})
	}
}

// maxReporters bounds the gateways whose reports about a runner are kept, the latest ones. Their failure rates differ
// little.
const maxReporters = 64

// dropOldestReport removes the oldest report of another gateway. The caller holds the lock.
func (s *sharedState) dropOldestReport() {
	oldest, at := "", time.Time{}
	for gateway, r := range s.others {
		if oldest == "" || r.at.Before(at) || r.at.Equal(at) && gateway < oldest {
			oldest, at = gateway, r.at
		}
	}
	delete(s.others, oldest)
}

// receive records a report of one gateway, and reports whether it made the runner unusable.
func (s *State) receive(gateway string, r report, o Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.others == nil {
		s.others = map[string]report{}
	}
	if _, known := s.others[gateway]; !known && len(s.others) >= maxReporters {
		s.dropOldestReport()
	}
	s.others[gateway] = r
	if !o.Unusable || o.Stage != s.Stage || s.mismatch.active(s.Stage, r.at) {
		return false
	}
	s.mismatch = mismatch{stage: o.Stage, at: r.at}
	return true
}
