package runners

import (
	"math"
	"time"
)

const (
	// fadeIn is the time in which a counted outcome falls to a third.
	fadeIn = 4 * time.Second
	// hearFor is how long what another gateway told is believed.
	hearFor = 3 * time.Second
	// ownWeight is how many outcomes of others the own failure rate counts for,
	// beside the own outcomes behind it.
	ownWeight = 2
	// otherDomainWeight is what an outcome counts that was seen from another
	// failure domain: a runner may fail the callers of one domain only.
	otherDomainWeight = 0.5
	// suspectFrom is the number of failures from which a runner is told about,
	// and tellFrom the number of outcomes.
	suspectFrom = 0.1
	tellFrom    = 0.2
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
	// Denied says that the runner told the gateway that it is not the one that
	// was meant, or not in the stage Stage.
	Denied bool
	Stage  Stage
}

// heard is what another gateway told of a runner.
type heard struct {
	tally
	sameDomain bool
}

// Succeeded books a call other than a request that the runner carried out.
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
		if now.Sub(h.at) > hearFor {
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
// The lock is held.
func (k *knowledge) suspect(now time.Time) bool {
	if k.own.faded(now).failed >= suspectFrom {
		return true
	}
	for _, h := range k.others {
		if now.Sub(h.at) <= hearFor && h.failed >= suspectFrom {
			return true
		}
	}
	return false
}

// Tell returns this gateway's outcomes at the runners that failed requests
// lately, here or elsewhere, and the runners that denied what their entries say,
// so that other gateways need not find out by themselves. What was heard from others is not told on.
func (d *Directory) Tell(now time.Time) []Outcome {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []Outcome
	for id, s := range d.all {
		s.mu.Lock()
		t := s.own.faded(now)
		denied := s.denied && now.Sub(s.deniedAt) <= hearFor
		if denied || t.total >= tellFrom && s.suspect(now) {
			out = append(out, Outcome{Runner: id, Failed: t.failed, Total: t.total, Denied: denied, Stage: s.Stage})
		}
		s.mu.Unlock()
	}
	return out
}

// Hear books what another gateway told; it replaces what that gateway told of
// the same runners before. Runners that are not known here are left.
func (d *Directory) Hear(gateway string, sameDomain bool, told []Outcome, now time.Time) {
	var denied []Runner
	d.mu.RLock()
	for _, o := range told {
		s := d.all[o.Runner]
		if s == nil || o.Failed < 0 || o.Failed > o.Total {
			continue
		}
		if s.hear(gateway, heard{tally{o.Failed, o.Total, now}, sameDomain}, o) {
			denied = append(denied, s.Runner)
		}
	}
	d.mu.RUnlock()
	for _, r := range denied {
		d.tell(Change{r, "denied"})
	}
}

// hear books what one gateway told, and reports whether the runner is denied
// since.
func (s *State) hear(gateway string, h heard, o Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.others == nil {
		s.others = map[string]heard{}
	}
	s.others[gateway] = h
	first := o.Denied && o.Stage == s.Stage && !s.denied
	s.denied = s.denied || first
	return first
}
