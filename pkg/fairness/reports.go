package fairness

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxReportAge is the age up to which a report of what waits elsewhere holds requests back. Requests
	// wait for some 200 ms: what an older report names has most likely got room or been refused.
	MaxReportAge = 400 * time.Millisecond
	// maxUseAge is the age up to which the use of workspaces at another gateway counts. Requests hold
	// memory for seconds.
	maxUseAge = 5 * time.Second
	// sweepInterval is the time between two removals of old uses.
	sweepInterval = time.Second
	// yieldShare is the share of the time for which a request may wait that it may leave room to
	// others: the rest is left to find room itself.
	yieldShare = 0.9
)

// Reports holds what other gateways reported, by gateway.
type Reports struct {
	// classes has no entry for a gateway at which nothing waits.
	classes map[string]classReport
	uses    map[string]useReport
	// total is the sum of uses by workspace, sweptAt the time at which old reports were last removed.
	total   map[uint64]Use
	sweptAt time.Time
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
	return &Reports{classes: map[string]classReport{}, uses: map[string]useReport{}, total: map[uint64]Use{}}
}

// Put records a report. No uses mean that the gateway did not report them: the earlier ones remain.
func (r *Reports) Put(gateway string, classes []Waiting, uses []Use, now time.Time) {
	delete(r.classes, gateway)
	if slices.ContainsFunc(classes, func(w Waiting) bool { return w.Count > 0 }) {
		r.classes[gateway] = classReport{classes, now}
	}
	if len(uses) > 0 {
		r.dropUses(gateway)
		r.uses[gateway] = useReport{uses, now}
		r.add(uses, 1)
	}
}

// add adds uses to the total, or subtracts them for sign -1.
func (r *Reports) add(uses []Use, sign int) {
	for _, u := range uses {
		t := r.total[u.Workspace]
		t = Use{u.Workspace, t.Used + sign*u.Used, t.Waiting + sign*u.Waiting}
		if t.Used == 0 && t.Waiting == 0 {
			delete(r.total, u.Workspace)
			continue
		}
		r.total[u.Workspace] = t
	}
}

func (r *Reports) dropUses(gateway string) {
	r.add(r.uses[gateway].uses, -1)
	delete(r.uses, gateway)
}

// Drop removes the reports of a gateway.
func (r *Reports) Drop(gateway string) {
	delete(r.classes, gateway)
	r.dropUses(gateway)
}

// Uses returns the uses of workspaces at all other gateways together.
func (r *Reports) Uses(now time.Time) []Use {
	if now.Sub(r.sweptAt) > sweepInterval {
		r.sweptAt = now
		for gateway, report := range r.uses {
			if now.Sub(report.at) > maxUseAge {
				r.dropUses(gateway)
			}
		}
	}
	return slices.Collect(maps.Values(r.total))
}

// Waiting returns the number of requests that wait at other gateways.
func (r *Reports) Waiting(now time.Time) int {
	n := 0
	for _, report := range r.classes {
		for _, c := range report.classes {
			if now.Sub(report.at) <= MaxReportAge {
				n += c.Count
			}
		}
	}
	return n
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

// Yield reports whether a request leaves room to the requests ahead of it at other gateways. places is
// the number of engines with room for a request of their size; those beyond the number of requests
// ahead are free to use. The request has waited for a part of the time for which it may wait.
func Yield(a Ahead, places int, waited, mayWait time.Duration) bool {
	return a.Count > 0 && places > 0 && places <= a.Count && float64(waited) < yieldShare*float64(mayWait)
}
