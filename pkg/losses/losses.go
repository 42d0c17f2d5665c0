// Package losses finds lost requests and their causes in the decision logs of all
// processes, by time window: which generations and lookups were lost, which prompt tokens
// were wasted, and the load of the engines. A request is lost if it was not served in time,
// for any reason. A generation is a request to a model engine, a lookup one to a plain
// runner.
package losses

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
)

// Cause is the reason why a request was not served in time.
type Cause string

// The causes. A request has one cause.
const (
	// InTime: served in time, not lost.
	InTime Cause = "in_time"
	// GatewayLost: the log of the gateway has no request_end line for a request that began to
	// decode, presumably since the gateway ended while it served the request.
	GatewayLost Cause = "gateway_lost"
	// ClientGone: the client closed the connection.
	ClientGone Cause = "client_gone"
	// NoRoom: refused, since no decode engine had memory for it.
	NoRoom Cause = "no_room"
	// OverLimit: refused, since its workspace had used up its quota.
	OverLimit Cause = "over_limit"
	// NoKey: refused, since it had no valid key.
	NoKey Cause = "no_key"
	// KeyUnconfirmed: refused, since its key might have been revoked.
	KeyUnconfirmed Cause = "key_unconfirmed"
	// Quarantined: refused, since an equal request had crashed runners before.
	Quarantined Cause = "quarantined"
	// NoRegion: refused, since no runner was available in its allowed regions.
	NoRegion Cause = "no_region"
	// Evacuated: refused, since all runners were in evacuated failure domains.
	Evacuated Cause = "evacuated"
	// RunnerLimit: refused, since the rate limits of all runners were used up.
	RunnerLimit Cause = "runner_limit"
	// RunnersUnavailable: refused, since all runners were leaving or paused.
	RunnersUnavailable Cause = "runners_unavailable"
	// RunnersFull: refused, since all plain runners had as many requests as they take.
	RunnersFull Cause = "runners_full"
	// SoftwareUnknown: the resumption of a stream was refused, since the software version at which the
	// stream began was not known. SoftwareGone: refused, since no engine of that version decoded.
	SoftwareUnknown Cause = "software_unknown"
	SoftwareGone    Cause = "software_gone"
	// Refused: refused for another reason.
	Refused Cause = "refused"
	// EngineLost: the stream from its engine broke. The gateway ended or resumed it.
	EngineLost Cause = "engine_lost"
	// ServiceFailed: the runner responded with a status of 500 or above.
	ServiceFailed Cause = "service_failed"
	// AnswerLost: the runner's response was not received, and the request was not repeatable
	// or the retry budget was used up.
	AnswerLost Cause = "answer_lost"
	// TimedOut: the deadline of the client or of the route passed.
	TimedOut Cause = "timed_out"
	// Resumed: served, but as the client's resumption of a stream that broke before.
	Resumed Cause = "resumed"
	// Returned: served, but as the client's retry of a request that was refused.
	Returned Cause = "returned"
	// LateFirst: the first event of a generation, or the whole response of a lookup, came
	// later than the route's target.
	LateFirst Cause = "late_first"
	// LongPause: a pause between two events was longer than the route's target (gap).
	LongPause Cause = "long_pause"
)

// Causes lists the causes that the tables and charts show, in their order.
var Causes = []Cause{GatewayLost, EngineLost, NoRoom, OverLimit, NoKey, KeyUnconfirmed, Quarantined, NoRegion, Evacuated, RunnerLimit, RunnersUnavailable, RunnersFull, SoftwareUnknown, SoftwareGone, Refused, Returned, Resumed, LateFirst, LongPause, ServiceFailed, AnswerLost, TimedOut, ClientGone}

// Request is one request, as its gateway logged it.
type Request struct {
	ID, Process, Service string
	// Generation is true for requests to model engines, false for those to plain runners.
	Generation bool
	// Arrived is the time of arrival by the gateway's clock.
	Arrived time.Time
	Cause   Cause
	// Why is the error that the gateway logged for the request, or a summary of the request's
	// log line if there is none.
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

// Pool is the state of a service's engines as one gateway logged it at one time.
type Pool struct {
	Time             time.Time
	Process, Service string
	// Prefill, Decode and Changing are the numbers of engines in the prefill stage, in the
	// decode stage and in a stage change.
	Prefill, Decode, Changing int
	// Reserved is the reserved share of the decode engines' memory, as a mean over the engines.
	Reserved float64
	// Waiting is the number of requests at all gateways that wait for engine memory, as this
	// gateway logged it. PrefillTokens is the number of prompt tokens queued at prefill engines.
	Waiting, PrefillTokens int
}

// Log is the data extracted from the logs.
type Log struct {
	Requests []Request
	Wasted   []Waste
	Pools    []Pool
	// LocalPrefills are the times at which decode engines were chosen to compute a prompt.
	LocalPrefills []time.Time
	// Malformed is the number of fields that could not be parsed. They count as 0.
	Malformed int
	forecasts []forecastLine
}

// New extracts the data from the lines of all processes, which must be sorted by time.
func New(lines []decisionlog.Line) *Log {
	l := &Log{}
	decoding := map[string]*decisionlog.Line{}
	for i := range lines {
		line := &lines[i]
		switch line.Event {
		case "decode_begin":
			decoding[line.Get("request")] = line
		case "request_end":
			delete(decoding, line.Get("request"))
			l.addRequest(line)
		case "prompt_wasted":
			l.Wasted = append(l.Wasted, Waste{
				Time: line.Time, Request: line.Get("request"), Runner: line.Get("runner"),
				Reason: line.Get("reason"), Tokens: l.number(line, "tokens"),
			})
		case "prefill_local":
			l.LocalPrefills = append(l.LocalPrefills, line.Time)
		case "pool":
			l.Pools = append(l.Pools, l.parsePool(line))
		}
	}
	for _, line := range decoding {
		l.Requests = append(l.Requests, Request{
			ID: line.Get("request"), Process: line.Process, Service: line.Get("service"), Generation: true,
			Arrived: line.Time.Add(-l.duration(line, "at")), Cause: GatewayLost,
			Why: "no request_end line in the log; decoding at " + line.Get("runner") + " since " + line.Time.Format("15:04:05.000"),
		})
	}
	slices.SortFunc(l.Requests, func(a, b Request) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	return l
}

// addRequest adds a request from its request_end line. It ignores requests that match no route.
func (l *Log) addRequest(line *decisionlog.Line) {
	if line.Get("service") == "" {
		return
	}
	r := Request{
		ID: line.Get("request"), Process: line.Process, Service: line.Get("service"),
		Generation: line.Get("prompt") != "", Arrived: line.Time.Add(-l.duration(line, "took")), Why: line.Get("error"),
	}
	r.Cause = l.causeOf(line, r.Generation)
	if r.Why == "" && r.Cause != InTime {
		r.Why = describeServed(line)
	}
	l.Requests = append(l.Requests, r)
	l.addForecast(line, r.Arrived)
}

// describeServed summarizes the line of a lost request that has no error of the gateway.
func describeServed(line *decisionlog.Line) string {
	out := "status " + line.Get("status") + " after " + line.Get("took")
	for _, key := range []string{"room_after", "prefill_after", "first_event", "pause", "runner"} {
		if v := line.Get(key); v != "" {
			out += " " + key + "=" + v
		}
	}
	return out
}

// causeOf returns the cause of a request from its request_end line.
func (l *Log) causeOf(line *decisionlog.Line, generation bool) Cause {
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
	case "runners_full":
		return RunnersFull
	case "software_unknown":
		return SoftwareUnknown
	case "software_gone":
		return SoftwareGone
	case "refused":
		return Refused
	}
	if status := l.number(line, "status"); status >= 500 {
		return ServiceFailed
	}
	return l.lateCause(line, generation)
}

// lateCause returns why a response was not in time, or InTime.
func (l *Log) lateCause(line *decisionlog.Line, generation bool) Cause {
	target := l.duration(line, "target")
	if !generation {
		if target > 0 && l.duration(line, "took") > target {
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
	case target > 0 && l.duration(line, "first_event") > target:
		return LateFirst
	case l.duration(line, "gap") > 0 && l.duration(line, "pause") > l.duration(line, "gap"):
		return LongPause
	}
	return InTime
}

func (l *Log) parsePool(line *decisionlog.Line) Pool {
	return Pool{
		Time: line.Time, Process: line.Process, Service: line.Get("service"),
		Prefill: l.number(line, "prefill"), Decode: l.number(line, "decode"), Changing: l.number(line, "changing"),
		Reserved: l.fraction(line, "reserved"), Waiting: l.number(line, "waiting"), PrefillTokens: l.number(line, "reading"),
	}
}

// number parses an integer. A missing field counts as 0.
func (l *Log) number(line *decisionlog.Line, key string) int {
	value := line.Get(key)
	if value == "" {
		return 0
	}
	n, err := strconv.Atoi(value)
	l.countMalformed(err)
	return n
}

// duration parses a duration. A missing field counts as 0.
func (l *Log) duration(line *decisionlog.Line, key string) time.Duration {
	value := line.Get(key)
	if value == "" {
		return 0
	}
	d, err := time.ParseDuration(value)
	l.countMalformed(err)
	return d
}

// fraction parses a fraction. A missing field counts as 0.
func (l *Log) fraction(line *decisionlog.Line, key string) float64 {
	value := line.Get(key)
	if value == "" {
		return 0
	}
	v, err := strconv.ParseFloat(value, 64)
	l.countMalformed(err)
	return v
}

// countMalformed counts a field that could not be parsed.
func (l *Log) countMalformed(err error) {
	if err != nil {
		l.Malformed++
	}
}
