package staging

import "time"

// Prompt is a prompt that is to be computed.
type Prompt struct {
	Tokens int
	// Target is the time in which callers expect the first event, TargetLeft what is left of it, and GapTarget
	// the longest gap between two events that callers accept; 0 for none.
	Target, TargetLeft, GapTarget time.Duration
}

// Prefiller is the prefill engine that would compute a prompt.
type Prefiller struct {
	// Expected is the time until the prompt is computed, including the prompts ahead of it.
	Expected time.Duration
	// Failures is the fraction of its prefills that fail, and Timeout the time after which one without
	// a response is given up.
	Failures float64
	Timeout  time.Duration
}

// Decoder is the decode engine on which memory is reserved for the answer.
type Decoder struct {
	// PrefillSpeed is how fast the engine would compute prompts in the prefill stage, in tokens a second.
	PrefillSpeed float64
	// Running is the number of answers in progress there, without the one of the prompt. EventInterval
	// is the usual time between two events of an answer, 0 for unknown.
	Running       int
	EventInterval time.Duration
	// AnswerTime is how long an answer takes, 0 for unknown.
	AnswerTime time.Duration
	// Short reports whether requests wait for room.
	Short bool
}

// localSlowdown is how much longer a prompt takes at a decode engine than at a prefill engine: it is
// computed in pieces between the tokens of the running answers.
const localSlowdown = 2

// maxLocalTime bounds the time that a prompt takes at a decode engine; no caller waits for longer.
const maxLocalTime = time.Hour

// Placement compares the two ways to compute a prompt.
type Placement struct {
	// Apart and Local are the expected numbers of callers that miss a target if a prefill engine or the
	// decode engine computes the prompt.
	Apart, Local float64
}

// UseLocal reports whether the decode engine should compute the prompt.
func (p Placement) UseLocal() bool { return p.Local < p.Apart }

// Place returns what it costs callers to compute a prompt at a prefill engine and at the decode engine.
// The first one risks that the prefill is lost and repeated, and that the decode engine computes it after
// all if the second one is lost too; the second one delays all answers in progress on the decode engine. If requests wait for room, both cost room: memory is reserved while a prefill
// engine computes, and answers hold theirs for longer if they are delayed.
func Place(p Prompt, at Prefiller, d Decoder) Placement {
	local := localTime(p.Tokens, d.PrefillSpeed)
	delayed := float64(d.Running) * missed(d.EventInterval+local, p.GapTarget)
	again := at.secondFails()
	repeated := (1-again)*late(at.Timeout+at.Expected, p) + again*(late(2*at.Timeout+local, p)+delayed)
	out := Placement{
		Apart: (1-at.Failures)*late(at.Expected, p) + at.Failures*repeated,
		Local: late(local, p) + delayed,
	}
	if d.Short && d.AnswerTime > 0 {
		out.Apart += at.Expected.Seconds() / d.AnswerTime.Seconds()
		out.Local += float64(1+d.Running) * local.Seconds() / d.AnswerTime.Seconds()
	}
	return out
}

// secondFails returns the probability that a prefill is lost again on another engine. The first engine is the
// best one: if it fails most prefills, so do the others.
func (p Prefiller) secondFails() float64 { return max(0, 2*p.Failures-1) }

// localTime returns how long a decode engine takes to compute a prompt. It may fall into a single event
// of the running answers, which take many tokens each. At an unknown speed it takes maxLocalTime.
func localTime(tokens int, speed float64) time.Duration {
	if seconds := localSlowdown * float64(tokens) / speed; speed > 0 && seconds < maxLocalTime.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return maxLocalTime
}

// late returns how many callers are expected to get their first event late if a prompt takes a time. Beyond
// what is left of the target, each further target is missed by a caller that waits behind.
func late(expected time.Duration, p Prompt) float64 {
	if p.Target == 0 || expected < p.TargetLeft {
		return missed(expected, p.TargetLeft)
	}
	return 1 + (expected-max(0, p.TargetLeft)).Seconds()/p.Target.Seconds()
}

// missed returns the part of callers that are expected to miss a target if something is expected to take a
// time. Times vary, so that a target may be missed from half of it on.
func missed(expected, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return min(1, max(0, 2*expected.Seconds()/target.Seconds()-1))
}
