// Package route selects the runners for a request. Except for RoundRobin, the
// choice is a pure function of the request and of the gateway's current view of
// the runners. That view always lags behind, so the sidecar of each runner makes
// the final admission decision.
//
// Times of type float64 are in seconds, sizes in bytes, lengths in tokens.
package route

import (
	"time"
)

// Request contains the properties of a request that a policy uses.
type Request struct {
	// PromptTokens is the length of the prompt and MaxTokens the maximum length
	// of the response.
	PromptTokens, MaxTokens int
	// Blocks contains the hashes of the prompt's prefix blocks.
	Blocks []uint64
	// FirstToken is the time left until the first token is due and PerToken the
	// target time between tokens, in seconds.
	FirstToken, PerToken float64
	// Domain and Region are the failure domain and the region of the gateway.
	Domain, Region string
	// Exported is set if the KV cache is already computed. Its holder is then
	// the only prefill candidate.
	Exported bool
	// Paid is set if work was already done for the request, which a rejection would
	// waste. It does not refer to a payment. Such a request is not shed.
	Paid bool
	// Now is the time of the choice.
	Now time.Time
}

// State is the gateway's view of one runner at the time of a choice.
type State struct {
	// ID is the runner's number in this gateway's Tracker. Hash is the hash of
	// Name and the same on all gateways. Name is the name of the
	// runner's instance.
	ID   int
	Hash uint64
	Name string
	// Domain and Region are the failure domain and the region of the runner.
	Domain, Region string
	// Rate is the prefill rate in tokens per second. Queued is the number of
	// tokens queued ahead of a new prefill, Urgent the number of those queued
	// ahead of a prefill that is due soon.
	Rate, Queued, Urgent float64
	// InFlight is the number of this gateway's open attempts at the runner.
	InFlight int
	// Running and Reserved are the numbers of running and reserved decode
	// streams, Batch the limit on their sum.
	Running, Reserved, Batch int
	// KVFree is the free KV memory and KVPerToken the KV memory per token, in
	// bytes.
	KVFree, KVPerToken float64
	// SlotWait is the time until a decode slot becomes free; 0 while one is free.
	SlotWait float64
	// The duration of a decode step is StepBase plus StepSlope per stream in the
	// batch.
	StepBase, StepSlope float64
	// Transfers is the number of exports being sent by the runner, LinkRate the
	// rate of its link in bytes per second.
	Transfers float64
	LinkRate  float64
	// Shunned excludes the runner from the choice: it is in backoff after a
	// failure or a stalled transfer, or has refused this request.
	Shunned bool
	// Cached is the number of prompt tokens that the runner probably has in its
	// prefix cache.
	Cached int
}

// Estimate is the expected time to the first token, with its components, and
// the expected time between tokens.
type Estimate struct {
	// Queue, Prefill, Transfer, Slot, Step and Network add up to FirstToken.
	Queue, Prefill, Transfer, Slot, Step, Network float64
	// FirstToken is the expected time to the first token, PerToken the expected
	// time between tokens.
	FirstToken, PerToken float64
	// Cost is the value that the policy minimizes: FirstToken plus penalties.
	Cost float64
	// Cached is the number of prompt tokens that the prefill takes from the
	// prefix cache.
	Cached int
}

// Weighed is one pair that the policy rated, with its estimate, for `hopwell explain`.
type Weighed struct {
	Prefill, Decode string
	Estimate        Estimate
}

// maxWeighed is the maximum number of pairs recorded in a Choice.
const maxWeighed = 6

// Choice is the result of a policy.
type Choice struct {
	// Prefill and Decode are indexes into the Scratch's candidates.
	Prefill, Decode int
	// Estimate is the estimate for the chosen pair.
	Estimate Estimate
	// Weighed contains the N best pairs, the chosen one first.
	Weighed [maxWeighed]Weighed
	N       int
	// Candidates is the number of pairs that the candidates could form.
	Candidates int
}

// Scratch holds the candidates of one choice. It is reused to avoid allocations.
type Scratch struct {
	Prefills, Decodes []State

	prefillShortlist, decodeShortlist []scored
}

// Reset removes all candidates.
func (s *Scratch) Reset() {
	s.Prefills, s.Decodes = s.Prefills[:0], s.Decodes[:0]
}
