// Package staging decides which engines of a service should be in the prefill stage and
// which in the decode stage. It does no I/O.
package staging

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// Policy determines how many engines should be in each stage.
type Policy struct {
	// Share is the fraction of the engines that should prefill for the mean load. For
	// peaks, Margin times the square root of the number of engines is added: the more
	// engines share the load, the smaller its peaks are.
	Share, Margin float64
	// LearnedFactor times the learned fraction of the engines' time that prefill takes is used in
	// place of Share if it leads to a clearly different number.
	LearnedFactor float64
	// MinPrefill is the minimum number of prefill engines.
	MinPrefill int
	// Patience is how long the stages must differ from the wanted ones before a change. It
	// is applied by the caller of Plan, as is Pause.
	Patience time.Duration
	// Pause is the least time between two changes, except between those that the same plan
	// contains. IdlePause is used instead while the engines have no work.
	Pause, IdlePause time.Duration
}

// DefaultPolicy returns the policy that a gateway uses.
func DefaultPolicy() Policy {
	return Policy{Share: 0.19, Margin: 0.5, LearnedFactor: 0.8, MinPrefill: 2, Patience: 4 * time.Second, Pause: 15 * time.Second, IdlePause: 2 * time.Second}
}

// Change is the change of one engine to a new stage.
type Change struct {
	Runner *runners.State
	Stage  runners.Stage
	// Urgent means that the stage has no engine and none is changing to it, so that no
	// request can be served.
	Urgent bool
	// Swap means that the engine changes places with one of another speed; see Policy.swaps.
	Swap bool
}

// Wanted returns how many of a number of engines should prefill. learned is the learned
// fraction of the engines' time that prefill takes, 0 for unknown. It is used only if it
// leads to a clearly different number, because an engine serves no requests while it
// changes its stage.
func (p Policy) Wanted(engines int, learned float64) int {
	if engines < 2*p.MinPrefill {
		return min(p.MinPrefill, engines/2)
	}
	usual := p.count(engines, p.Share)
	if learned == 0 {
		return usual
	}
	count := p.count(engines, p.LearnedFactor*learned)
	if band := max(tolerance, engines/differenceDivisor); count >= usual-band && count <= usual+band {
		return usual
	}
	return count
}

// differenceDivisor sets how much the number from the learned share must differ from the
// usual number: by more than engines/differenceDivisor, a tenth of the engines, and by more
// than tolerance. Shares learned from the same load at different times lead to numbers that
// differ by less.
const differenceDivisor = 10

// count returns how many of a number of engines should prefill, for a share and with the
// margin for peaks.
func (p Policy) count(engines int, share float64) int {
	n := float64(engines)
	wanted := int(math.Round(share*n + p.Margin*math.Sqrt(n)))
	return min(max(p.MinPrefill, wanted), engines-1)
}

// Situation is the input of a plan.
type Situation struct {
	// Engines are the engines of a service that are alive and not leaving.
	Engines []*runners.State
	// LearnedShare is the fraction of their time that prefill takes, 0 for unknown; see Wanted.
	LearnedShare float64
	// Exact asks for exactly the wanted stages, as is possible without load; otherwise a
	// difference within the tolerance remains.
	Exact bool
	// Serves reports whether an engine certainly serves now. Only such engines may get a stage change,
	// and only they are left behind in a stage; others only count in their stage. Nil: all serve.
	Serves func(*runners.State) bool
	// Load returns how much work an engine must finish before it can change: the engine
	// with the least work serves again first. Nil means the same load everywhere.
	Load func(*runners.State) float64
	// Speed returns the speed of an engine as a multiple of the mean, 0 for unknown. Nil means that
	// all are as fast.
	Speed func(*runners.State) float64
	// SlowPrefill reports whether slow engines prefill fast enough for the targets of callers.
	SlowPrefill bool
	// Reserved is the fraction of the memory of the decode engines that is in use, and Waiting the
	// number of requests that wait for room.
	Reserved float64
	Waiting  int
}

func (s Situation) load(r *runners.State) float64 {
	if s.Load == nil {
		return 0
	}
	return s.Load(r)
}

// speed returns the speed of an engine, and whether it is known.
func (s Situation) speed(r *runners.State) (float64, bool) {
	if s.Speed != nil {
		if v := s.Speed(r); v > 0 {
			return v, true
		}
	}
	return 1, false
}

// serves reports whether an engine serves, and may get a stage change.
func (s Situation) serves(r *runners.State) bool { return s.Serves == nil || s.Serves(r) }

// Plan returns the changes that lead to the wanted stages. Engines count by their speed. An engine
// that is changing counts in its new stage and gets no further change. Slow engines are preferred for
// prefill and fast ones for decode; among those of the same speed, engines are taken from the failure
// domains with the most engines of the stage that has too many, and within a domain those with the
// least load.
//
// Only as many engines of a stage change at once as it can spare; see stages.spare. The rest
// of the changes are planned again once these are done, if they are still wanted by then.
func (p Policy) Plan(x Situation, now time.Time) []Change {
	s := newStages(x, now)
	wanted := float64(p.Wanted(s.prefill.count+s.decode.count, x.LearnedShare))
	missing := max(wanted-s.prefill.strength(), min(wanted, float64(p.MinPrefill))-float64(s.prefill.count))
	if missing < 0 {
		missing = min(0, missing+s.prefill.joining)
	}
	if !x.Exact {
		missing = p.excess(missing, s.prefill.count, s.decode.count)
	}
	if missing > 0 {
		return p.move(x, &s.decode, p.need(x, s, runners.Decode), missing, 1, Change{Stage: runners.Prefill, Urgent: s.prefill.count == 0})
	}
	to := Change{Stage: runners.Decode, Urgent: s.decode.count == 0}
	if out := p.move(x, &s.prefill, p.need(x, s, runners.Prefill), -missing, min(int(wanted), p.MinPrefill), to); len(out) > 0 {
		return out
	}
	return p.swaps(x, s, wanted)
}

// movedPart is the part of an engine's speed that must be missing for a change. Engines are measured anew
// in the other stage, and shouldn't return for a small difference.
const movedPart = 0.75

// move returns changes of engines of a stage that together have a speed, and leaves the stage some engines.
func (p Policy) move(x Situation, from *stage, need, speed float64, keep int, to Change) []Change {
	if speed <= 0 {
		return nil
	}
	var out []Change
	for _, c := range x.pick(from.eligible, from.count-keep, to) {
		v, _ := x.speed(c.Runner)
		if (speed < movedPart*v || !from.spare(v, need)) && !(to.Urgent && len(out) == 0) {
			break
		}
		speed -= v
		from.take(v)
		out = append(out, c)
	}
	return out
}

// tolerance is the difference from the wanted number of engines that remains uncorrected
// unless Situation.Exact is set. It is also the least difference that a learned share must
// exceed to be used, see Wanted.
const tolerance = 1

// excess returns the part of a difference that exceeds the tolerance. A stage change under
// load takes an engine out of service for a while, and a difference due to lost engines
// often disappears when they return. The minimum of prefill engines and one decode engine
// are ensured in any case.
func (p Policy) excess(missing float64, prefill, decode int) float64 {
	switch {
	case missing > 0:
		return max(missing-tolerance, min(missing, float64(p.MinPrefill-prefill)), 0)
	case missing < 0 && decode == 0:
		return min(missing+tolerance, -1)
	case missing < 0:
		return min(missing+tolerance, 0)
	}
	return 0
}

// engineLoad is an engine with its load. The load is computed once per plan, because that
// iterates over all requests on the engine.
type engineLoad struct {
	runner *runners.State
	load   float64
}

// compareLoads orders engines by load, and by ID if their load is equal.
func compareLoads(a, b engineLoad) int {
	return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.runner.ID, b.runner.ID))
}

// pick chooses n engines for a change: the slow ones first for prefill, the fast ones first for decode, and
// of each kind one at a time from the domain with the most.
func (s Situation) pick(from []*runners.State, n int, to Change) []Change {
	n = min(n, len(from))
	if n <= 0 {
		return nil
	}
	out := make([]Change, 0, n)
	for _, kind := range s.bySpeed(from, to.Stage) {
		out = s.pickSpread(kind, n-len(out), to, out)
	}
	return out
}

// pickSpread appends the changes of up to n engines, one at a time from the domain with the most.
func (s Situation) pickSpread(from []*runners.State, n int, to Change, out []Change) []Change {
	domains := map[string][]engineLoad{}
	for _, r := range from {
		domains[r.Domain] = append(domains[r.Domain], engineLoad{r, s.load(r)})
	}
	for _, list := range domains {
		slices.SortFunc(list, compareLoads)
	}
	for range min(n, len(from)) {
		domain := largestDomain(domains)
		to.Runner = domains[domain][0].runner
		out = append(out, to)
		domains[domain] = domains[domain][1:]
	}
	return out
}

// largestDomain returns the domain with the most engines left; of equal ones, that of the
// engine with the least load. At least one domain must have an engine.
func largestDomain(domains map[string][]engineLoad) string {
	var best string
	for name, list := range domains {
		most := domains[best]
		if len(list) > len(most) || len(list) == len(most) && len(list) > 0 && compareLoads(list[0], most[0]) < 0 {
			best = name
		}
	}
	return best
}
