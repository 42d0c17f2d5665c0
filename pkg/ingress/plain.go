package ingress

import (
	"errors"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/runners"
)

// claim chooses a plain runner and keeps a place there. Where all name limits, or want a pause, it waits
// for the next place as long as a new request may wait for room, and fails with *ErrLimited or
// *runners.ErrUnavailable if there is none by then.
func (x *exchange) claimPlain(avoid map[string]bool) (*runners.State, error) {
	latest := x.arrived.Add(time.Duration(newRequestWaitShare * float64(x.route.Latency)))
	w := plainRequest{id: x.call.ID, service: x.service, domain: x.g.options.Domain, repeatable: x.route.Repeatable(), avoid: avoid, allows: x.domainFilter()}
	x.logPassedOver("")
	for {
		runner, err := x.g.choosePlain(w)
		after := roomAfter(err)
		if after == 0 || time.Now().Add(after).After(latest) {
			return runner, err
		}
		select {
		case <-time.After(after):
		case <-x.ctx.Done():
			return nil, err
		}
	}
}

// roomAfter returns after what time there may be room where an error says that there is none now; 0 if
// it doesn't say.
func roomAfter(err error) time.Duration {
	var limited *ErrLimited
	var unavailable *runners.ErrUnavailable
	switch {
	case errors.As(err, &limited):
		return limited.After
	case errors.As(err, &unavailable):
		return unavailable.After
	}
	return 0
}

// plainRequest is a request that a plain runner is wanted for.
type plainRequest struct {
	// id is the request's.
	id      string
	service string
	// domain is the gateway's.
	domain     string
	repeatable bool
	// avoid are runners that are not taken, by ID.
	avoid map[string]bool
	// allows reports whether it may be served in a failure domain; nil for all.
	allows func(domain string) bool
}

// choose keeps a place at the plain runner with the least work, in the own domain first, of those
// that this gateway uses and that may serve the request. Where no healthy one is left of all, one
// that rests is chosen for a request that may be repeated. It fails with *runners.ErrUnavailable if all
// leave, pause or had a pause a moment ago, *ErrLimited if runners are left that take no more now, and *enginepool.ErrNoRunner if
// none is.
func (g *Ingress) choosePlain(w plainRequest) (*runners.State, error) {
	now := time.Now()
	usable := g.Directory.Usable(w.service, "", now)
	if w.allows != nil {
		usable = slices.DeleteFunc(usable, func(r *runners.State) bool { return !w.allows(r.Domain) })
	}
	healthy := runners.Healthy(usable, now)
	cost := failureCost
	if !w.repeatable {
		cost = nonRepeatableFailureCost
	}
	best := w.claimBest(g.subset(w.service, healthy), cost, now)
	if best == nil {
		best = w.claimBest(healthy, cost, now)
	}
	if best == nil && w.repeatable {
		best = w.claimBest(usable, cost, now)
	}
	if best != nil {
		return best, nil
	}
	if err := g.Directory.Unavailable(w.service, "", w.allows, now); err != nil {
		return nil, err
	}
	return nil, w.noRoomError(usable, now)
}

// noRoom returns why no runner of a list was chosen.
func (w plainRequest) noRoomError(list []*runners.State, now time.Time) error {
	var first *runners.State
	var least time.Duration
	for _, s := range list {
		if after := s.RoomAfter(now); !w.avoid[s.ID] && after > 0 && (first == nil || after < least) {
			first, least = s, after
		}
	}
	if first == nil {
		return &enginepool.ErrNoRunner{Service: w.service}
	}
	if limit, named := first.Limit(now); named {
		return &ErrLimited{Service: w.service, Runner: first.ID, After: least, Limit: limit}
	}
	return &runners.ErrUnavailable{Service: w.service, Paused: 1, After: least}
}

// claimBest keeps a place at the plain runner of a list that is expected to answer first, and
// returns it; nil if all are to be avoided or take no more now.
func (w plainRequest) claimBest(list []*runners.State, failureCost float64, now time.Time) *runners.State {
	for {
		best := w.lowestCost(list, failureCost, now)
		if best == nil || best.Claim(w.id, now) {
			return best
		}
		// Another request had the last place meanwhile.
		list = slices.DeleteFunc(slices.Clone(list), func(s *runners.State) bool { return s == best })
	}
}

func (w plainRequest) lowestCost(list []*runners.State, failureCost float64, now time.Time) *runners.State {
	var best *runners.State
	var least float64
	for _, s := range list {
		if w.avoid[s.ID] || !s.Room(now) {
			continue
		}
		cost := (float64(s.Outstanding()) + 1) * (s.Latency().Seconds() + baseLatency) * (1 + failureCost*s.Failures(now) + refusalCost*s.Refusals(now))
		if s.Domain != w.domain {
			cost *= otherDomainCost
		}
		if best == nil || cost < least {
			best, least = s, cost
		}
	}
	return best
}

const (
	// baseLatency is added to the mean time of a runner's answers, in seconds.
	baseLatency = 0.01
	// otherDomainCost is how much dearer a runner in another domain is.
	otherDomainCost = 1.3
	// failureCost is how much dearer a runner is that fails all requests, for one that
	// may be repeated; nonRepeatableFailureCost for one that must not, and is lost then. The
	// others take such requests as long as they answer in some five times the time.
	failureCost              = 4.0
	nonRepeatableFailureCost = 10.0
	// refusalCost is how much dearer a runner is that turns all requests away: it would
	// else attract them, having the least work.
	refusalCost = 10
)
