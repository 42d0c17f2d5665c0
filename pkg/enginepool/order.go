package enginepool

import (
	"cmp"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/fairness"
	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// servedMemory is how long a class counts as served after it got room: other gateways then report
	// more urgent requests that wait there.
	servedMemory = time.Second
	// maxUses limits the workspaces in a report, some 20 bytes each.
	maxUses = 8
)

// fairOrder is what a pool knows of the requests of all gateways that want room. The pool's lock guards
// it.
type fairOrder struct {
	reports *fairness.Reports
	weights map[uint64]float64
	floor   fairness.Floor
	sizes   fairness.Sizes
	reserve fairness.Reserve
	// heavy says that the shortage is heavy, see heavyWaiting.
	heavy bool
	// served is the time at which each class last got room.
	served map[fairness.Class]time.Time
	// reported holds the classes that waited when a change was last reported.
	reported []fairness.Class
}

func newFairOrder() fairOrder {
	return fairOrder{reports: fairness.NewReports(), served: map[fairness.Class]time.Time{}}
}

// SetWeights sets the weights of workspaces, by the hashes of their names.
func (p *Pool) SetWeights(weights map[uint64]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.order.weights = weights
}

func (w *Waiter) class() fairness.Class {
	return fairness.Class{Tier: w.rank.tier(), Priority: w.job.Priority, Rank: int(w.rank)}
}

// request describes a waiter to package fairness. A job that has begun would lose its prompt.
func (w *Waiter) request() fairness.Request {
	r := fairness.Request{Class: w.class(), Workspace: w.job.Workspace, Arrival: w.serial}
	if w.rank == Begun {
		r.Spent = w.job.Prompt
	}
	return r
}

// shares returns the shares of workspaces in the memory that all gateways use. The caller holds the
// lock.
func (p *Pool) shares(now time.Time) *fairness.Shares {
	return fairness.NewShares(append(p.order.reports.Uses(now), p.ownUses()...), p.order.weights)
}

// ownUses returns what workspaces use at this gateway. The caller holds the lock.
func (p *Pool) ownUses() []fairness.Use {
	byID := map[uint64]fairness.Use{}
	add := func(workspace uint64, used, waiting int) {
		u := byID[workspace]
		byID[workspace] = fairness.Use{Workspace: workspace, Used: u.Used + used, Waiting: u.Waiting + waiting}
	}
	for _, e := range p.engines {
		for _, b := range e.own {
			if b.job.Workspace != 0 {
				add(b.job.Workspace, b.job.size(), 0)
			}
		}
	}
	for _, w := range p.waiting {
		if w.job.Workspace != 0 {
			add(w.job.Workspace, 0, w.job.size())
		}
	}
	out := make([]fairness.Use, 0, len(byID))
	for _, u := range byID {
		out = append(out, u)
	}
	return out
}

// updateReserve chooses the engines on which memory is kept free for large jobs, and finds whether the
// shortage is heavy. The caller holds the
// lock.
func (p *Pool) updateReserve(now time.Time) {
	var usable []string
	for _, s := range p.subsetOf(runners.Decode, now) {
		if s.Usable(now) {
			usable = append(usable, s.ID)
		}
	}
	p.order.reserve = p.order.sizes.Reserve(usable)
	p.order.heavy = float64(len(p.waiting)+p.order.reports.Waiting(now)) >= heavyWaiting*float64(len(usable))
}

const (
	// reserveShare is the share of the time for which a job may wait in which it leaves memory to large
	// jobs if the shortage is light: after that, it takes what no large job has taken.
	reserveShare = 0.5
	// heavyWaiting is the number of jobs of all gateways that wait per engine in a heavy shortage. Some of
	// them are large, so that the memory kept free for them does not stay empty for long.
	heavyWaiting = 0.25
)

// keepFree returns the memory that a job leaves to large jobs on an engine. The caller holds the lock.
func (p *Pool) keepFree(w *Waiter, engine string, now time.Time) float64 {
	if !p.order.heavy && w.mayWait > 0 && float64(now.Sub(w.since)) >= reserveShare*float64(w.mayWait) {
		return 0
	}
	return p.order.reserve.KeepFree(w.job.size(), engine)
}

// sortWaiting sorts waiters by the order of all gateways.
func sortWaiting(list []*Waiter, order fairness.Order) {
	slices.SortStableFunc(list, func(a, b *Waiter) int { return order.Compare(a.request(), b.request()) })
}

// promote moves the first waiter of a less urgent priority to the front if its class is owed room, and
// reports whether it did. The caller holds the lock.
func (p *Pool) promote() bool {
	for i, w := range p.waiting {
		if w.class().Tier == Fresh.tier() && p.waiting[0].precedes(w) && p.order.floor.Due(w.job.size()) {
			copy(p.waiting[1:i+1], p.waiting[:i])
			p.waiting[0] = w
			return true
		}
	}
	return false
}

// precedes reports whether another waiter has a less urgent tier or priority.
func (w *Waiter) precedes(other *Waiter) bool {
	a, b := w.class(), other.class()
	a.Rank, b.Rank = 0, 0
	return a.Compare(b) < 0
}

// mustYield reports whether a waiter leaves the room that it would get to requests that wait at other
// gateways. The caller holds the lock.
func (p *Pool) mustYield(w *Waiter, s *fairness.Shares, now time.Time) bool {
	ahead := p.order.reports.Ahead(w.request(), s, now)
	if ahead.Count == 0 || fairness.Exempt(w.request()) || !fairness.Yield(ahead, 1, now.Sub(w.since), w.mayWait) {
		return false
	}
	// A job of their mean size, with a response as long as that of this one.
	probe := w.job
	probe.Prompt = max(1, ahead.Size-(w.job.size()-w.job.Prompt))
	places := 0
	for _, c := range p.candidates(w, now) {
		if p.engine(c.runner.ID).room(probe, now, p.rate, p.Lengths.Spread(), p.options.Deviations) >= 0 {
			places++
		}
	}
	return fairness.Yield(ahead, places, now.Sub(w.since), w.mayWait)
}

// granted records that a waiter got room on a runner. The caller holds the lock.
func (p *Pool) granted(w *Waiter, s *runners.State, shares *fairness.Shares, now time.Time) {
	p.order.served[w.class()] = now
	if w.job.Workspace != 0 {
		shares.Add(w.job.Workspace, w.job.size())
	}
	w.granted <- s
}

// waitingClasses summarizes the waiting jobs by class, most urgent first, and adds the least urgent
// class served lately. The caller holds the lock.
func (p *Pool) waitingClasses(now time.Time) []fairness.Waiting {
	byClass := map[fairness.Class]fairness.Waiting{}
	for _, w := range p.waiting {
		c := byClass[w.class()]
		byClass[w.class()] = fairness.Waiting{Class: w.class(), Count: c.Count + 1, Tokens: c.Tokens + w.job.size(), Longest: max(c.Longest, now.Sub(w.since))}
	}
	var least fairness.Class
	found := false
	for class, at := range p.order.served {
		switch {
		case now.Sub(at) > servedMemory:
			delete(p.order.served, class)
		case !found || class.Compare(least) > 0:
			least, found = class, true
		}
	}
	if _, waits := byClass[least]; found && !waits {
		byClass[least] = fairness.Waiting{Class: least}
	}
	out := make([]fairness.Waiting, 0, len(byClass))
	for _, c := range byClass {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b fairness.Waiting) int { return a.Class.Compare(b.Class) })
	return out
}

// reportedUses returns what workspaces use at this gateway, those that need most first, while jobs wait here or
// elsewhere; nil otherwise. The caller holds the lock.
func (p *Pool) reportedUses(now time.Time) []fairness.Use {
	if len(p.waiting) == 0 && p.order.reports.Waiting(now) == 0 {
		return nil
	}
	uses := p.ownUses()
	slices.SortFunc(uses, func(a, b fairness.Use) int {
		return cmp.Or(cmp.Compare(b.Used+b.Waiting, a.Used+a.Waiting), cmp.Compare(a.Workspace, b.Workspace))
	})
	return uses[:min(len(uses), maxUses)]
}

// reportClasses calls Options.Changed if other classes wait than at the last call. The caller holds the
// lock.
func (p *Pool) reportClasses() {
	var classes []fairness.Class
	for _, w := range p.waiting {
		if c := w.class(); !slices.Contains(classes, c) {
			classes = append(classes, c)
		}
	}
	slices.SortFunc(classes, fairness.Class.Compare)
	if slices.Equal(classes, p.order.reported) {
		return
	}
	p.order.reported = classes
	if p.options.Changed != nil {
		p.options.Changed()
	}
}
