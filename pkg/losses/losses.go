// Package losses finds in the logs of all processes what requests lost and why, by
// window of time: which generations and lookups were not answered in time, which
// prompts were computed in vain, and how full the engines were meanwhile.
package losses

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
)

// Cause is why a request was not answered in time.
type Cause string

// The causes. A request has one: the first of these that fits.
const (
	// InTime is no loss.
	InTime Cause = "in_time"
	// GatewayLost: the gateway ended while it served the request.
	GatewayLost Cause = "gateway_lost"
	// ClientGone: the client left.
	ClientGone Cause = "client_gone"
	// NoRoom: refused, since no decode engine had memory for it.
	NoRoom Cause = "no_room"
	// OverLimit: refused, since its workspace had used up its limit.
	OverLimit Cause = "over_limit"
	// NoKey: refused for want of a valid key.
	NoKey Cause = "no_key"
	// KeyUnconfirmed: refused, since its key might have been taken away.
	KeyUnconfirmed Cause = "key_unconfirmed"
	// Quarantined: refused, since it had crashed runners before.
	Quarantined Cause = "quarantined"
	// NoRegion: refused, since no runner was left in the regions that it is bound to.
	NoRegion Cause = "no_region"
	// Evacuated: refused, since all runners were in evacuated failure domains.
	Evacuated Cause = "evacuated"
	// RunnerLimit: refused, since all runners name limits and took no more.
	RunnerLimit Cause = "runner_limit"
	// RunnersUnavailable: refused, since all runners leave, or asked for a pause.
	RunnersUnavailable Cause = "runners_unavailable"
	// Refused: refused for another reason.
	Refused Cause = "refused"
	// EngineLost: the stream broke at its engine, and was ended or resumed.
	EngineLost Cause = "engine_lost"
	// ServiceFailed: the runner answered with a failure of its own.
	ServiceFailed Cause = "service_failed"
	// AnswerLost: the runner's answer did not come, and the request must not be
	// repeated or no repetition was left.
	AnswerLost Cause = "answer_lost"
	// TimedOut: the time of the client or of the route was over.
	TimedOut Cause = "timed_out"
	// Resumed: served, but as the resumption of a stream that broke before.
	Resumed Cause = "resumed"
	// Returned: served after a refusal.
	Returned Cause = "returned"
	// LateFirst: the first event, or a whole answer, came after the target.
	LateFirst Cause = "late_first"
	// LongPause: a pause between two events was longer than the route's target.
	LongPause Cause = "long_pause"
)

// Causes lists the causes in the order of the tables.
var Causes = []Cause{GatewayLost, EngineLost, NoRoom, OverLimit, NoKey, KeyUnconfirmed, Quarantined, NoRegion, Evacuated, Refused, Returned, Resumed, LateFirst, LongPause, ServiceFailed, AnswerLost, TimedOut, ClientGone}

// Request is one request as its gateway saw it.
type Request struct {
	ID, Process, Service string
	// Generation tells requests to model engines from those to plain services.
	Generation bool
	// Arrived is by the gateway's clock.
	Arrived time.Time
	Cause   Cause
	// Why is the gateway's own account of a loss.
	Why string
}

// Waste is a prompt that was computed in vain, or computed again.
type Waste struct {
	Time    time.Time
	Request string
	Runner  string
	Reason  string
	Tokens  int
}

// Pool is what one gateway knew of a service's engines at one moment.
type Pool struct {
	Time             time.Time
	Process, Service string
	// Prefill, Decode and Changing are numbers of engines by stage.
	Prefill, Decode, Changing int
	// Reserved is the mean share of the decode engines' memory that is reserved.
	Reserved float64
	// Waiting is how many requests wait for room at all gateways, Reading the
	// prompt tokens that wait at prefill engines.
	Waiting, Reading int
}

// Log is what was found in the logs.
type Log struct {
	Requests []Request
	Wasted   []Waste
	Pools    []Pool
	// Malformed is how many fields could not be read; they count as 0.
	Malformed int
}

// New reads the decisions of all processes, which are in the order of their times.
func New(lines []decisionlog.Line) *Log {
	l := &Log{}
	open := map[string]*decisionlog.Line{}
	for i := range lines {
		line := &lines[i]
		switch line.Event {
		case "decode_begin":
			open[line.Get("request")] = line
		case "request_end":
			delete(open, line.Get("request"))
			l.end(line)
		case "prompt_wasted":
			l.Wasted = append(l.Wasted, Waste{
				Time: line.Time, Request: line.Get("request"), Runner: line.Get("runner"),
				Reason: line.Get("reason"), Tokens: l.number(line, "tokens"),
			})
		case "pool":
			l.Pools = append(l.Pools, l.pool(line))
		}
	}
	for _, line := range open {
		l.Requests = append(l.Requests, Request{
			ID: line.Get("request"), Process: line.Process, Service: line.Get("service"), Generation: true,
			Arrived: line.Time.Add(-l.span(line, "at")), Cause: GatewayLost,
			Why: "no end in the log; decoding at " + line.Get("runner") + " since " + line.Time.Format("15:04:05.000"),
		})
	}
	slices.SortFunc(l.Requests, func(a, b Request) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	return l
}

// end takes the end of one request. Those that no route takes are left out.
func (l *Log) end(line *decisionlog.Line) {
	if line.Get("service") == "" {
		return
	}
	r := Request{
		ID: line.Get("request"), Process: line.Process, Service: line.Get("service"),
		Generation: line.Get("prompt") != "", Arrived: line.Time.Add(-l.span(line, "took")), Why: line.Get("error"),
	}
	r.Cause = l.cause(line, r.Generation)
	if r.Why == "" && r.Cause != InTime {
		r.Why = served(line)
	}
	l.Requests = append(l.Requests, r)
}

// served describes an answer that came, but not in time.
func served(line *decisionlog.Line) string {
	out := "status " + line.Get("status") + " after " + line.Get("took")
	for _, key := range []string{"room_after", "prefill_after", "first_event", "pause", "runner"} {
		if v := line.Get(key); v != "" {
			out += " " + key + "=" + v
		}
	}
	return out
}

// cause finds why a request was lost.
func (l *Log) cause(line *decisionlog.Line, generation bool) Cause {
	switch line.Get("cause") {
	case "client_gone":
		return ClientGone
	case "no_room":
		return NoRoom
	case "timeout":
		return TimedOut
	case "broken":
		return EngineLost
	case "answer_lost", "retry_budget":
		return AnswerLost
	case "over_limit":
		return OverLimit
	case "no_key":
		return NoKey
	case "key_unconfirmed":
		return KeyUnconfirmed
	case "quarantined":
		return Quarantined
	case "no_region":
		return NoRegion
	case "evacuated":
		return Evacuated
	case "runner_limit":
		return RunnerLimit
	case "runners_unavailable":
		return RunnersUnavailable
	case "refused":
		return Refused
	}
	if status := l.number(line, "status"); status >= 500 {
		return ServiceFailed
	}
	return l.late(line, generation)
}

// late finds why an answer that came was not in time.
func (l *Log) late(line *decisionlog.Line, generation bool) Cause {
	target := l.span(line, "target")
	if !generation {
		if target > 0 && l.span(line, "took") > target {
			return LateFirst
		}
		return InTime
	}
	switch {
	case line.Get("resumed_by") == "gateway":
		return EngineLost
	case line.Get("resumed_by") == "client":
		return Resumed
	case line.Get("returning") == "true":
		return Returned
	case target > 0 && l.span(line, "first_event") > target:
		return LateFirst
	case l.span(line, "gap") > 0 && l.span(line, "pause") > l.span(line, "gap"):
		return LongPause
	}
	return InTime
}

func (l *Log) pool(line *decisionlog.Line) Pool {
	return Pool{
		Time: line.Time, Process: line.Process, Service: line.Get("service"),
		Prefill: l.number(line, "prefill"), Decode: l.number(line, "decode"), Changing: l.number(line, "changing"),
		Reserved: l.share(line, "reserved"), Waiting: l.number(line, "waiting"), Reading: l.number(line, "reading"),
	}
}

// number reads a whole number; a field that is missing is 0.
func (l *Log) number(line *decisionlog.Line, key string) int {
	value := line.Get(key)
	if value == "" {
		return 0
	}
	n, err := strconv.Atoi(value)
	l.check(err)
	return n
}

// span reads a duration; a field that is missing is 0.
func (l *Log) span(line *decisionlog.Line, key string) time.Duration {
	value := line.Get(key)
	if value == "" {
		return 0
	}
	d, err := time.ParseDuration(value)
	l.check(err)
	return d
}

// share reads a fraction; a field that is missing is 0.
func (l *Log) share(line *decisionlog.Line, key string) float64 {
	value := line.Get(key)
	if value == "" {
		return 0
	}
	v, err := strconv.ParseFloat(value, 64)
	l.check(err)
	return v
}

// check counts a field that can't be read.
func (l *Log) check(err error) {
	if err != nil {
		l.Malformed++
	}
}
