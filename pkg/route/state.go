// Package route chooses the runners of a request. A choice is a pure function
// of the request and of what the gateway knows of the runners at that moment;
// what it knows is always a little old, so the sidecar beside each runner has
// the last word on admission.
//
// All times in this package are seconds, all sizes bytes, all lengths tokens.
package route

import (
	"time"
)

// Request is what a choice needs to know of a request.
type Request struct {
	// PromptTokens is the length of the prompt, MaxTokens that of the answer
	// at most.
	PromptTokens, MaxTokens int
	// Blocks are the prompt's prefix hashes.
	Blocks []uint64
	// FirstToken is the time that is left until the first token is due,
	// PerToken the target between tokens. In seconds.
	FirstToken, PerToken float64
	// Domain and Region are the gateway's own.
	Domain, Region string
	// Exported says that the KV cache is computed already: the prefill
	// candidates then are its holder alone.
	Exported bool
	// Paid says that giving the request up would waste work already done.
	Paid bool
	// Now is the time of the choice.
	Now time.Time
}

// State is what is known of one runner.
type State struct {
	// ID is the runner's small number in its Tracker, Hash the same on all
	// gateways, Name its instance.
	ID   int
	Hash uint64
	Name string
	// Domain and Region say where it is.
	Domain, Region string
	// Rate is the prefill speed in tokens a second; Queued is the work ahead of
	// a new job, Urgent the part of it that goes before a short one.
	Rate, Queued, Urgent float64
	// InFlight counts this gateway's own open attempts there.
	InFlight int
	// Running, Reserved and Batch are the decode streams and their limit.
	Running, Reserved, Batch int
	// KVFree and KVPerToken are the decode memory.
	KVFree, KVPerToken float64
	// SlotWait is the time until a decode slot frees; 0 while one is free.
	SlotWait float64
	// StepBase and StepSlope give a decode step's time.
	StepBase, StepSlope float64
	// Transfers is how many exports leave the runner now over its LinkRate.
	Transfers float64
	LinkRate  float64
	// Shunned is set while the runner is backed off after failures or has
	// refused this request.
	Shunned bool
	// Cached is how many tokens of the prompt the runner is thought to have.
	Cached int
}

// Estimate is the expected time to the first token, term by term, and the
// expected time between tokens.
type Estimate struct {
	// Queue, Prefill, Transfer, Slot, Step and Network add up to FirstToken.
	Queue, Prefill, Transfer, Slot, Step, Network float64
	// FirstToken and PerToken are compared with the request's targets.
	FirstToken, PerToken float64
	// Cost is what the choice minimises: FirstToken and the penalties.
	Cost float64
	// Cached is how many prompt tokens need no computing.
	Cached int
}

// Weighed is one candidate pair with its estimate, for `hopwell explain`.
type Weighed struct {
	Prefill, Decode string
	Estimate        Estimate
}

// maxWeighed bounds the candidates that a choice remembers.
const maxWeighed = 6

// Choice is the result of a policy.
type Choice struct {
	// Prefill and Decode are indexes into the Scratch's candidates.
	Prefill, Decode int
	// Estimate is that of the chosen pair.
	Estimate Estimate
	// Weighed holds the best candidates, the chosen one first; N counts them.
	Weighed [maxWeighed]Weighed
	N       int
	// Candidates is how many pairs there were.
	Candidates int
}

// Scratch holds the candidates of one choice and is reused for the next one.
type Scratch struct {
	Prefills, Decodes []State

	pre, dec []scored
}

// Reset empties the scratch.
func (s *Scratch) Reset() {
	s.Prefills, s.Decodes = s.Prefills[:0], s.Decodes[:0]
}
