package runners

import (
	"math"
	"time"
)

const (
	// fadeIn is the time in which a counted outcome falls to a third.
	fadeIn = 4 * time.Second
	// reportTTL is how long what another gateway reported is used.
	reportTTL = 3 * time.Second
	// ownWeight is how many outcomes of others the own failure rate counts for,
	// beside the own outcomes behind it.
	ownWeight = 2
	// otherDomainWeight is what an outcome counts that was seen from another
	// failure domain: a runner may fail the callers of one domain only.
	otherDomainWeight = 0.5
	// suspectFrom is the number of failures from which a runner is reported about,
	// and reportFrom the number of outcomes.
	suspectFrom = 0.1
	reportFrom  = 0.2
)

// tally counts outcomes; each fades with time.
type tally struct {
	failed, total float64
	at            time.Time
}

// faded returns the counts as they are at a later time.
func (t tally) faded(now time.Time) tally {
	if t.at.IsZero() || !now.After(t.at) {
		return t
	}
	left := math.Exp(-now.Sub(t.at).Seconds() / fadeIn.Seconds())
	return tally{failed: t.failed * left, total: t.total * left, at: now}
}

// count adds an outcome.
func (t *tally) count(now time.Time, failed bool) {
	*t = t.faded(now)
	t.at = now
	t.total++
	if failed {
		t.failed++
	}
}

// Outcome is how many requests one gateway had answered by a runner lately, and
// how many of them the runner failed; both fade with time.
type Outcome struct {
	// Runner is the runner's ID.
	Runner        string
	Failed, Total float64
	// Unusable says that the runner answered the gateway that it is not the one that
	// was meant, or not in the stage Stage.
	Unusable bool
	Stage    Stage
}

// report is what another gateway reported of a runner.
type report struct {
	tally
	sameDomain bool
}

// Succeeded records a call other than a request that the runner carried out.
func (s *State) Succeeded(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.count(now, false)
}

// pooled joins the own failure rate with the outcomes at other gateways. The
// lock is held.
func (k *knowledge) pooled(now time.Time) float64 {
	weight := ownWeight + k.own.faded(now).total
	failed, total := weight*k.health.rate(now), weight
	for _, h := range k.others {
		if now.Sub(h.at) > reportTTL {
			continue
		}
		w := otherDomainWeight
		if h.sameDomain {
			w = 1
		}
		t := h.faded(now)
		failed += w * t.failed
		total += w * t.total
	}
	return failed / total
}

// suspect reports whether this gateway or another saw the runner fail lately.
// The caller holds the lock.
func (k *knowledge) suspect(now time.Time) bool {
	if k.own.faded(now).failed >= suspectFrom {
		return true
	}
	for _, h := range k.others {
		if now.Sub(h.at) <= reportTTL && h.failed >= suspectFrom {
			return true
		}
	}
	return false
}

// Outcomes returns this gateway's outcomes at the runners that failed requests lately,
// here or elsewhere, and the runners that refused as what their entries say, so that
// other gateways need not find out by themselves. Reports of others are not passed on.
func (d *Directory) Outcomes(now time.Time) []Outcome {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []Outcome
	for id, s := range d.all {
		s.mu.Lock()
		t := s.own.faded(now)
		unusable := s.refusal.own && s.refusal.active(s.Stage, now) && now.Sub(s.refusal.at) <= reportTTL
		if unusable || t.total >= reportFrom && s.suspect(now) {
			out = append(out, Outcome{Runner: id, Failed: t.failed, Total: t.total, Unusable: unusable, Stage: s.Stage})
		}
		s.mu.Unlock()
	}
	return out
}

// ReceiveOutcomes records what another gateway reported; it replaces what that gateway
// reported of the same runners before. Runners that are not known here are left.
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

// receive records what one gateway reported, and reports whether the runner is unusable
// since.
func (s *State) receive(gateway string, h report, o Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.others == nil {
		s.others = map[string]report{}
	}
	s.others[gateway] = h
	if !o.Unusable || o.Stage != s.Stage || s.refusal.active(s.Stage, h.at) {
		return false
	}
	s.refusal = refusal{stage: o.Stage, at: h.at}
	return true
}
