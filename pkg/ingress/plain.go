package ingress

import (
	"errors"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/plainload"
	"github.com/hopwell/hopwell/pkg/runners"
)

// claimUnlimited chooses a plain runner and claims room for one request on it. If all runners have
// reached their rate limits or are paused, it waits for room, for as long as a new request may. It
// fails with *ErrLimited or *runners.ErrUnavailable if there is still no room, and with *ErrFull at
// once if runners are full.
func (x *exchange) claimUnlimited(w plainRequest) (*runners.State, error) {
	latest := x.arrived.Add(time.Duration(newRequestWaitShare * float64(x.route.LatencyTarget)))
	for {
		runner, err := x.g.choosePlain(w)
		after := roomAfter(err)
		if isFull(err) || after == 0 || time.Now().Add(after).After(latest) {
			return runner, err
		}
		select {
		case <-time.After(after):
		case <-x.ctx.Done():
			return nil, err
		}
	}
}

// roomAfter returns the time until a runner may have room, according to an error that reports that
// none has; 0 if the error doesn't contain it.
func roomAfter(err error) time.Duration {
	var limited *ErrLimited
	var unavailable *runners.ErrUnavailable
	var full *ErrFull
	switch {
	case errors.As(err, &full):
		return full.After
	case errors.As(err, &limited):
		return limited.After
	case errors.As(err, &unavailable):
		return unavailable.After
	}
	return 0
}

// plainRequest holds the properties of a request by which a plain runner is chosen.
type plainRequest struct {
	// id is the request ID.
	id      string
	service string
	// domain is the failure domain of the gateway.
	domain     string
	repeatable bool
	// avoid holds the IDs of runners that are not candidates, full those that are none since they
	// turned the request away.
	avoid, full map[string]bool
	// allows reports whether a runner may serve the request; nil allows all.
	allows func(*runners.State) bool
}

// choosePlain claims room on the plain runner with the lowest cost, which favors the gateway's
// own failure domain. The candidates are first the healthy runners of this gateway's subset, then
// all healthy ones, and for a repeatable request also those in backoff. A request that must not be
// repeated gets no runner that loses responses while another one is only full. It fails with *ErrFull
// if a runner would take the request but for the number that it has, and otherwise with
// *runners.ErrUnavailable if all runners are leaving, paused, or admit few requests because a pause
// has just ended, with *ErrLimited if the remaining ones accept no request now, and with
// *enginepool.ErrNoRunner if none remains.
func (g *Ingress) choosePlain(w plainRequest) (*runners.State, error) {
	now := time.Now()
	usable := g.Directory.Usable(w.service, "", now)
	if w.allows != nil {
		usable = slices.DeleteFunc(usable, func(r *runners.State) bool { return !w.allows(r) })
	}
	healthy := runners.Healthy(usable, now)
	cost := failureCost
	if !w.repeatable {
		cost = nonRepeatableFailureCost
		healthy = w.sound(healthy, now)
		usable = healthy
	}
	best := g.claimBest(w, g.plainSubset(w.service, healthy), cost, now)
	if best == nil {
		best = g.claimBest(w, healthy, cost, now)
	}
	if best == nil && w.repeatable {
		best = g.claimBest(w, usable, cost, now)
	}
	if best != nil {
		return best, nil
	}
	if err := g.Directory.Unavailable(w.service, "", w.allows, now); err != nil {
		return nil, err
	}
	if w.anyFull(usable, now) {
		return nil, &ErrFull{Service: w.service}
	}
	return nil, w.noRoomError(usable, now)
}

// sound returns the runners that may take the request and hardly lose responses, or the whole list if
// there are none.
func (w plainRequest) sound(list []*runners.State, now time.Time) []*runners.State {
	out := make([]*runners.State, 0, len(list))
	for _, s := range list {
		if !w.avoid[s.ID] && s.Losses(now) < lossThreshold {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}

// anyFull reports whether a runner of a list, from which none could be claimed, would take the request but
// for the number of requests that it has. That number is not read again: it may have fallen meanwhile.
func (w plainRequest) anyFull(list []*runners.State, now time.Time) bool {
	return slices.ContainsFunc(list, func(s *runners.State) bool { return !w.avoid[s.ID] && s.Room(now) })
}

// noRoomError returns why no runner of a list was chosen.
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
	if limit, announced := first.Limit(now); announced {
		return &ErrLimited{Service: w.service, Runner: first.ID, After: least, Limit: limit}
	}
	return &runners.ErrUnavailable{Service: w.service, Paused: 1, After: least}
}

// claimBest claims room on the runner of a list with the lowest cost and returns it; nil if all
// are avoided or accept no request now.
func (g *Ingress) claimBest(w plainRequest, list []*runners.State, failureWeight float64, now time.Time) *runners.State {
	for {
		best := w.lowestCost(list, g.plain, failureWeight, now)
		if best == nil {
			return nil
		}
		if best.Claim(w.id, now) {
			if g.plain.Claim(w.service, best.ID, now) {
				return best
			}
			best.Release(w.id)
		}
		// Another request claimed the remaining room meanwhile.
		list = slices.DeleteFunc(slices.Clone(list), func(s *runners.State) bool { return s == best })
	}
}

// lowestCost returns the runner of a list with the lowest cost, which is the expected time until
// its response, weighted by its failures, refusals and failure domain; nil if all are avoided or
// accept no request now.
func (w plainRequest) lowestCost(list []*runners.State, load *plainload.Table, failureWeight float64, now time.Time) *runners.State {
	var best *runners.State
	var least float64
	for _, s := range list {
		if w.avoid[s.ID] || w.full[s.ID] || !s.Room(now) || !load.Room(s.ID, now) {
			continue
		}
		cost := (float64(s.Outstanding()) + 1) * (s.Latency().Seconds() + baseLatency) * (1 + failureWeight*s.Failures(now) + lossCost*s.Losses(now) + refusalCost*s.Refusals(now))
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
	// baseLatency is added to the mean response time of a runner, in seconds.
	baseLatency = 0.01
	// otherDomainCost is the factor on the cost of a runner in another failure domain.
	otherDomainCost = 1.3
	// failureCost is the weight of a runner's failure rate in its cost for a repeatable request,
	// nonRepeatableFailureCost for one that must not be repeated and is lost by a failure. A
	// request of the second kind goes to another runner if its expected response time there is at
	// most about five times as long (which is the factor for a failure rate of 0.4).
	failureCost              = 4.0
	nonRepeatableFailureCost = 10.0
	// lossCost is the weight of the rate of lost responses, above refusalCost: a runner that is full
	// is better than one that loses requests.
	lossCost = 20
	// lossThreshold is the rate of lost responses from which a runner gets no request that must not
	// be repeated.
	lossThreshold = 0.2
	// refusalCost is the weight of a runner's refusal rate in its cost. Without it, a runner that
	// refuses all requests would attract them, since it has the fewest outstanding.
	refusalCost = 10
)
