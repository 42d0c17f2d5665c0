package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/runners"
	"github.com/hopwell/hopwell/pkg/upstream"
)

const (
	// maxHeld bounds the answers that are held back until they are whole, in
	// bytes; longer ones are passed on as they come, and others while memory is short.
	maxHeld = 256 << 10
	// maxRefused bounds the sends of a request that runners turned away.
	maxRefused = 3
	// serviceWait is when a client may come back whom no plain runner took.
	serviceWait = 300 * time.Millisecond
)

// verdict is what became of one send.
type verdict int

const (
	// answered: the client has its answer, or has a part of one.
	answered verdict = iota
	// notRun: the runner has not run the request.
	notRun
	// mayHaveRun: it has, or it may have.
	mayHaveRun
)

// forward serves a request by a plain service.
func (x *exchange) forward() {
	life := request.NewLife(x.call.ID, x.route.Repeatable())
	x.life = life
	budget := x.g.budget(x.service)
	budget.Request(x.arrived)
	avoid := map[string]bool{}
	var last error
	runs, refusals := 0, 0
	for runs < max(1, x.route.MaxAttempts) && refusals <= maxRefused {
		if last = firstOf(x.over(), last); x.over() != nil {
			break
		}
		n, err := life.Begin()
		if err != nil {
			break
		}
		runner, err := x.claim(avoid)
		if err != nil {
			last = firstOf(last, err)
			break
		}
		if x.sends > 0 && !budget.Spend(time.Now()) {
			runner.Release(x.call.ID)
			last = &ErrBudget{Service: x.service}
			break
		}
		final := runs+1 >= x.route.MaxAttempts || !x.route.Repeatable()
		var v verdict
		v, err = x.sendPlain(life, n, runner, final)
		runner.Release(x.call.ID)
		if v == answered {
			return
		}
		avoid[runner.ID] = true
		last = err
		if notAllowed(err) {
			break
		}
		if v == notRun {
			refusals++
			continue
		}
		runs++
	}
	x.giveUp(life, firstOf(x.over(), last), comeBackToService(last))
}

// comeBackToService returns when a client may come back whom no plain runner took.
func comeBackToService(last error) time.Duration {
	var limited *ErrLimited
	if errors.As(last, &limited) {
		return max(limited.After, serviceWait)
	}
	return serviceWait
}

// claim chooses a plain runner and keeps a place there. Where all name limits it waits for the next
// place as long as a new request may wait for room, and fails with *ErrLimited if there is none by
// then.
func (x *exchange) claim(avoid map[string]bool) (*runners.State, error) {
	latest := x.arrived.Add(time.Duration(freshPart * float64(x.route.Latency)))
	w := plainWork{id: x.call.ID, service: x.service, domain: x.g.options.Domain, repeatable: x.route.Repeatable(), avoid: avoid, allows: x.allowing()}
	for {
		runner, err := x.g.choose(w)
		var limited *ErrLimited
		if err == nil || !errors.As(err, &limited) || time.Now().Add(limited.After).After(latest) {
			return runner, err
		}
		select {
		case <-time.After(limited.After):
		case <-x.ctx.Done():
			return nil, err
		}
	}
}

// firstOf returns the first error that is one.
func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// plainWork is a request that a plain runner is wanted for.
type plainWork struct {
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
// that rests is chosen for a request that may be repeated. It fails with *ErrLimited if runners are
// left that take no more now, and *enginepool.ErrNoRunner if none is.
func (g *Ingress) choose(w plainWork) (*runners.State, error) {
	now := time.Now()
	usable := g.Directory.Usable(w.service, "", now)
	if w.allows != nil {
		usable = slices.DeleteFunc(usable, func(r *runners.State) bool { return !w.allows(r.Domain) })
	}
	healthy := runners.Healthy(usable, now)
	cost := failureCost
	if !w.repeatable {
		cost = onceFailureCost
	}
	best := w.leastWork(g.share(w.service, healthy), cost, now)
	if best == nil {
		best = w.leastWork(healthy, cost, now)
	}
	if best == nil && w.repeatable {
		best = w.leastWork(usable, cost, now)
	}
	if best == nil {
		return nil, w.noRoom(usable, now)
	}
	return best, nil
}

// noRoom returns why no runner of a list was chosen.
func (w plainWork) noRoom(list []*runners.State, now time.Time) error {
	var limited *ErrLimited
	for _, s := range list {
		if w.avoid[s.ID] {
			continue
		}
		if after := s.RoomAfter(now); after > 0 && (limited == nil || after < limited.After) {
			limited = &ErrLimited{Service: w.service, Runner: s.ID, After: after}
			limited.Limit, _ = s.Limit(now)
		}
	}
	if limited == nil {
		return &enginepool.ErrNoRunner{Service: w.service}
	}
	return limited
}

// leastWork keeps a place at the plain runner of a list that is expected to answer first, and
// returns it; nil if all are to be avoided or take no more now.
func (w plainWork) leastWork(list []*runners.State, failureCost float64, now time.Time) *runners.State {
	for {
		best := w.expectedFirst(list, failureCost, now)
		if best == nil || best.Claim(w.id, now) {
			return best
		}
		// Another request had the last place meanwhile.
		list = slices.DeleteFunc(slices.Clone(list), func(s *runners.State) bool { return s == best })
	}
}

func (w plainWork) expectedFirst(list []*runners.State, failureCost float64, now time.Time) *runners.State {
	var best *runners.State
	var least float64
	for _, s := range list {
		if w.avoid[s.ID] || !s.Room(now) {
			continue
		}
		cost := (float64(s.Outstanding()) + 1) * (s.Latency().Seconds() + plainGuess) * (1 + failureCost*s.Failures(now) + refusalCost*s.Refusals(now))
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
	// plainGuess is added to the mean time of a runner's answers, in seconds.
	plainGuess = 0.01
	// otherDomainCost is how much dearer a runner in another domain is.
	otherDomainCost = 1.3
	// failureCost is how much dearer a runner is that fails all requests, for one that
	// may be repeated; onceFailureCost for one that must not, and is lost then. The
	// others take such requests as long as they answer in some five times the time.
	failureCost     = 4.0
	onceFailureCost = 10.0
	// refusalCost is how much dearer a runner is that turns all requests away: it would
	// else attract them, having the least work.
	refusalCost = 10
)

// sendPlain makes one try. A failure that the runner itself answered goes back
// if the try is the final one.
func (x *exchange) sendPlain(life *request.Life, n int, runner *runners.State, final bool) (verdict, error) {
	began := time.Now()
	if err := x.reconfirm(); err != nil {
		return notRun, err
	}
	if err := life.Send(n); err != nil {
		return mayHaveRun, err
	}
	runner.Enter()
	defer runner.Leave()
	x.sends++
	x.noteLimit(runner)
	runner.Sent(x.call.ID, time.Now())
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	answer, err := x.g.options.Engines.Send(ctx, runner, x.call, x.order())
	if err != nil {
		return x.sendFailed(life, n, runner, err)
	}
	defer answer.Body.Close()
	if answer.NotRun || answer.Elsewhere {
		life.Withdraw(n)
		x.declined(runner, answer)
		return notRun, &ErrDeclined{Runner: runner.ID, Status: answer.Status, Elsewhere: answer.Elsewhere}
	}
	if answer.Status >= http.StatusInternalServerError {
		runner.Failed(time.Now())
		if !final {
			discard(answer)
			x.trouble("answer_failed", runner.ID, &ErrAnswer{Runner: runner.ID, Status: answer.Status, Why: "runner failed"})
			return mayHaveRun, &ErrAnswer{Runner: runner.ID, Status: answer.Status, Why: "runner failed"}
		}
	}
	if answer.OK() && !answer.Whole {
		runner.Failed(time.Now())
		return mayHaveRun, &ErrAnswer{Runner: runner.ID, Status: answer.Status, Why: "not signed, or encoded"}
	}
	v, err := x.passOn(life, n, answer, runner)
	if err == nil && answer.Status < http.StatusInternalServerError {
		runner.Answered(time.Since(began))
	}
	return v, err
}

// noteLimit records that the request is sent to a runner that names a limit.
func (x *exchange) noteLimit(runner *runners.State) {
	if limit, ok := runner.Limit(time.Now()); ok {
		x.step("sent_within_limit", decisionlog.F("runner", runner.ID), decisionlog.F("limit", limit.PerSecond), decisionlog.F("named_ago", limit.NamedAgo),
			decisionlog.F("told_by", limit.From), decisionlog.F("left", limit.Level), decisionlog.F("users", limit.Users), decisionlog.F("heard", limit.Heard))
	}
}

// maxDiscarded bounds what is read of an answer that nobody gets, in bytes, so that its
// connection can be used again.
const maxDiscarded = 16 << 10

// discard reads an answer that nobody gets. What of it is not there yet ends with its
// connection.
func discard(a *Answer) { _, _ = io.CopyN(io.Discard, a.Body, maxDiscarded) }

// sendFailed records a send without an answer.
func (x *exchange) sendFailed(life *request.Life, n int, runner *runners.State, err error) (verdict, error) {
	if gone := x.over(); gone != nil {
		return mayHaveRun, gone
	}
	x.trouble("send_failed", runner.ID, err, decisionlog.F("address", runner.Address), decisionlog.F("asked", x.digest()))
	var dial *upstream.ErrDial
	if errors.As(err, &dial) {
		life.Withdraw(n)
		runner.Unreachable(time.Now())
		x.sends--
		return notRun, err
	}
	runner.Failed(time.Now())
	if answerMissing(err) {
		x.broke(runner, true, err)
	}
	return mayHaveRun, err
}

// declined records a runner's refusal.
func (x *exchange) declined(runner *runners.State, a *Answer) {
	if a.Elsewhere {
		runner.MarkUnusable(time.Now())
	} else {
		runner.Declined(time.Now())
	}
	x.g.metrics.declined(a.Status)
	x.step("declined", decisionlog.F("runner", runner.ID), decisionlog.F("status", a.Status), decisionlog.F("elsewhere", a.Elsewhere))
}

// passOn gives an answer to the client: whole if it is short, as it comes if it
// is long.
func (x *exchange) passOn(life *request.Life, n int, a *Answer, runner *runners.State) (verdict, error) {
	held, whole, err := x.hold(a.Body)
	if err != nil {
		runner.Failed(time.Now())
		x.trouble("answer_broken", runner.ID, err)
		x.broke(runner, false, err)
		return mayHaveRun, firstOf(x.over(), &ErrAnswer{Runner: runner.ID, Status: a.Status, Why: "broken off: " + err.Error()})
	}
	x.copyHeader(a)
	if whole {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(held)))
	}
	x.w.WriteHeader(a.Status)
	_, err = x.w.Write(held)
	if err == nil && !whole {
		_, err = io.CopyBuffer(x.w, a.Body, x.copyBuffer(held))
	}
	if err != nil {
		x.finish(a.Status, &ErrBroken{Runner: runner.ID, Err: err})
		panic(http.ErrAbortHandler)
	}
	x.end(life, n)
	x.endedWell()
	x.finish(a.Status, nil, decisionlog.F("runner", runner.ID))
	return answered, nil
}

// end records the request's whole answer.
func (x *exchange) end(life *request.Life, n int) {
	_ = life.End(n, 0)
}
