package fairness

import (
	"math"
	"time"
)

const (
	// MaxReportAge is the age up to which a report of what waits elsewhere holds requests back. Requests
	// wait for some 200 ms: what an older report names has most likely got room or been refused.
	MaxReportAge = 400 * time.Millisecond
	// maxUseAge is the age up to which the use of workspaces at another gateway counts. Requests hold
	// memory for seconds.
	maxUseAge = 5 * time.Second
	// holdShare is the share of the time for which a request may wait that it may be held back for
	// others: the rest is left to find room itself.
	holdShare = 0.9
)

// Reports holds what other gateways reported, by gateway.
type Reports struct {
	classes map[string]classReport
	uses    map[string]useReport
}

type classReport struct {
	classes []Waiting
	at      time.Time
}

type useReport struct {
	uses []Use
	at   time.Time
}

// NewReports returns an empty collection.
func NewReports() *Reports {
	return &Reports{classes: map[string]classReport{}, uses: map[string]useReport{}}
}

// Put records a report. No uses mean that the gateway did not report them: the earlier ones remain.
func (r *Reports) Put(gateway string, classes []Waiting, uses []Use, now time.Time) {
	r.classes[gateway] = classReport{classes, now}
	if len(uses) > 0 {
		r.uses[gateway] = useReport{uses, now}
	}
}

// Drop removes the reports of a gateway.
func (r *Reports) Drop(gateway string) {
	delete(r.classes, gateway)
	delete(r.uses, gateway)
}

// Uses returns the uses of workspaces at the other gateways.
func (r *Reports) Uses(now time.Time) []Use {
	var out []Use
	for _, report := range r.uses {
		if now.Sub(report.at) <= maxUseAge {
			out = append(out, report.uses...)
		}
	}
	return out
}

// Waiting reports whether requests wait at another gateway.
func (r *Reports) Waiting(now time.Time) bool {
	for _, report := range r.classes {
		for _, c := range report.classes {
			if c.Count > 0 && now.Sub(report.at) <= MaxReportAge {
				return true
			}
		}
	}
	return false
}

// Ahead is a number of requests that go before another, and their mean size in tokens.
type Ahead struct{ Count, Size int }

// Ahead returns the requests at other gateways that go before a request: those of a more urgent class
// and those of its class whose workspaces exceed their share by less.
func (r *Reports) Ahead(q Request, s *Shares, now time.Time) Ahead {
	count, tokens := 0.0, 0.0
	excess := s.Excess(q.Workspace)
	for gateway, report := range r.classes {
		if now.Sub(report.at) > MaxReportAge {
			continue
		}
		for _, w := range report.classes {
			share := 0.0
			switch c := w.Class.Compare(q.Class); {
			case c < 0:
				share = 1
			case c == 0 && excess > 0:
				share = s.waitingBelow(excessRatio*excess, r.uses[gateway].uses)
			}
			count += share * float64(w.Count)
			tokens += share * float64(w.Tokens)
		}
	}
	if count < 0.5 {
		return Ahead{}
	}
	return Ahead{int(math.Round(count)), int(tokens / count)}
}

// excessRatio bounds the excess of the workspaces whose requests go before those of another at all
// gateways, as a multiple of the excess of the other. It is well below 1, since uses are known from reports
// of up to a second ago.
const excessRatio = 0.5

// waitingBelow returns the fraction of what waits that belongs to workspaces with at most the given excess.
func (s *Shares) waitingBelow(excess float64, uses []Use) float64 {
	within, all := 0, 0
	for _, u := range uses {
		all += u.Waiting
		if s.Excess(u.Workspace) <= excess {
			within += u.Waiting
		}
	}
	return float64(within) / float64(max(1, all))
}

// Hold reports whether a request leaves room to the requests ahead of it at other gateways. places is
// the number of engines with room for a request of their size; those beyond the number of requests
// ahead are free to use. The request has waited for a part of the time for which it may wait.
func Hold(a Ahead, places int, waited, mayWait time.Duration) bool {
	return a.Count > 0 && places > 0 && places <= a.Count && float64(waited) < holdShare*float64(mayWait)
}
