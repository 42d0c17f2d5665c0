package ingress

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/plainload"
	"github.com/hopwell/hopwell/pkg/runners"
)

// placePollInterval is the time between two attempts of the first waiting request to find room: a
// runner may have room although no response has come, for example since its ejection has ended.
const placePollInterval = 10 * time.Millisecond

// ErrFull reports that all plain runners that a request may be sent to have as many requests as they
// take.
type ErrFull struct {
	Service string
	// Waiting is the number of requests that wait at this gateway. After is the time until there
	// should be room, 0 if unknown.
	Waiting int
	After   time.Duration
}

// Error implements error.
func (e *ErrFull) Error() string {
	return fmt.Sprintf("runners are full: service=%s waiting=%d after=%s", e.Service, e.Waiting, e.After.Round(time.Millisecond))
}

// claimPlain chooses a plain runner and claims room for one request on it. It waits while all runners
// are full, within the limits of package plainload. full holds the runners that turned the request
// away; they are asked again after a wait.
func (x *exchange) claimPlain(avoid, full map[string]bool) (*runners.State, error) {
	w := plainRequest{
		id: x.call.ID, service: x.service, domain: x.g.options.Domain, repeatable: x.route.Repeatable(),
		avoid: avoid, full: full, allows: x.runnerFilter(),
	}
	x.logPassedOver("")
	queue := x.g.plain.Queue(x.service)
	if !queue.Busy(x.rank == enginepool.Returning, time.Now()) {
		runner, err := x.claimUnlimited(w)
		if !isFull(err) {
			return runner, err
		}
	}
	clear(full)
	return x.waitForPlace(queue, w)
}

func isFull(err error) bool {
	var full *ErrFull
	return errors.As(err, &full)
}

// waitForPlace waits in the queue of the service until the request has a place at a runner. It fails
// with *ErrFull if the request is not to wait any longer.
func (x *exchange) waitForPlace(queue *plainload.Queue, w plainRequest) (*runners.State, error) {
	began := time.Now()
	waiter := queue.Enter(x.waitingRequest(w))
	defer func() { queue.Leave(waiter, time.Now()) }()
	for {
		if queue.First(waiter, time.Now()) {
			runner, err := x.claimUnlimited(w)
			if err == nil {
				x.logStep("waited_for_place", decisionlog.F("for", time.Since(began)), decisionlog.F("runner", runner.ID))
			}
			if !isFull(err) {
				return runner, err
			}
		}
		now := time.Now()
		v := queue.Judge(waiter, now)
		if v.Until.IsZero() {
			after := x.placeRetryAfter(v.RetryAfter)
			queue.Promised(after, now)
			return nil, &ErrFull{Service: x.service, Waiting: queue.Len() - 1, After: after}
		}
		wait := v.Until.Sub(now)
		if v.First {
			wait = min(wait, placePollInterval)
		}
		select {
		case <-waiter.Turn:
		case <-time.After(wait):
		case <-x.ctx.Done():
			return nil, &ErrFull{Service: x.service, Waiting: queue.Len() - 1, After: x.placeRetryAfter(0)}
		}
	}
}

// waitingRequest describes the request for the queue. Without a latency target its response is due by
// its deadline.
func (x *exchange) waitingRequest(w plainRequest) plainload.Request {
	r := plainload.Request{
		Priority: x.route.Priority, Arrived: x.arrived, Target: x.arrived.Add(x.route.LatencyTarget),
		Returning: x.rank == enginepool.Returning,
	}
	if x.workspace != nil {
		r.Workspace = x.workspace.Name
	}
	r.Deadline = r.Target
	if end, ok := x.ctx.Deadline(); ok {
		r.Deadline = end
	}
	if x.route.LatencyTarget == 0 {
		r.Target = r.Deadline
	}
	r.Lane = fmt.Sprint(w.repeatable, x.regionLists(), slices.Sorted(maps.Keys(w.avoid)))
	return r
}

// placeRetryAfter limits a Retry-After to what clients honor, including the random part that refuse
// adds.
func (x *exchange) placeRetryAfter(forecast time.Duration) time.Duration {
	after := max(forecast, minPlainRetryAfter)
	if x.call.Timeout > 0 {
		after = min(after, time.Duration(float64(x.call.Timeout)*retryAfterShare/retryAfterSpread))
	}
	return max(after, shortRetryAfter)
}

// endPlace gives back the place of a request at a runner, and lets the next waiting request look for
// room.
func (x *exchange) endPlace(runner *runners.State, v sendResult, err error, took time.Duration) {
	now := time.Now()
	x.g.plain.End(runner.ID, placeOutcome(v, err), took, x.route.LatencyTarget, now)
	x.g.plain.Queue(x.service).Wake(now)
}

// placeOutcome returns how a send ended for the runner's load.
func placeOutcome(v sendResult, err error) plainload.Outcome {
	var declined *ErrDeclined
	var answer *ErrAnswer
	switch {
	case v == responded:
		return plainload.Answered
	case errors.As(err, &declined) && !declined.WrongRunner:
		return plainload.TurnedAway
	case errors.As(err, &answer) && answer.Status > 0:
		return plainload.Answered
	case noResponse(err):
		return plainload.Lost
	}
	return plainload.NotSent
}
