package gateway

import (
	"sync"

	"github.com/hopwell/hopwell/pkg/route"
)

// maxExplanations is the number of requests kept for `hopwell explain`.
const maxExplanations = 4096

// Explanation describes how the runners of a request were chosen.
type Explanation struct {
	Request string `json:"request"`
	// Choices has one entry for each choice by the policy, in chronological order.
	Choices []Chosen `json:"choices"`
	// Outcome and Err are empty while the request is running.
	Outcome string `json:"outcome,omitempty"`
	Err     string `json:"error,omitempty"`
	// FirstTokenMs, PerTokenMs and their targets are in milliseconds.
	FirstTokenMs  float64 `json:"first_token_ms,omitempty"`
	PerTokenMs    float64 `json:"per_token_ms,omitempty"`
	TargetFirstMs float64 `json:"target_first_ms,omitempty"`
	TargetPerMs   float64 `json:"target_per_ms,omitempty"`
	Prefilled     int     `json:"prefilled_tokens,omitempty"`
	Wasted        int     `json:"wasted_tokens,omitempty"`
	Attempts      int     `json:"attempts,omitempty"`
}

// Chosen is one choice by the policy.
type Chosen struct {
	// Candidates is the number of candidate pairs. Weighed holds the pairs with the lowest cost,
	// the chosen one first, with the terms of the estimate in seconds.
	Candidates int             `json:"candidates"`
	Weighed    []route.Weighed `json:"weighed"`
}

// explanations holds the explanations of the most recent requests.
type explanations struct {
	mu   sync.Mutex
	byID map[string]*Explanation
	ring []string
	next int
}

func newExplanations() *explanations {
	return &explanations{byID: map[string]*Explanation{}, ring: make([]string, maxExplanations)}
}

// get returns the entry of a request. If there is none, it adds one and evicts the oldest. x.mu
// must be held.
func (x *explanations) get(id string) *Explanation {
	if e, ok := x.byID[id]; ok {
		return e
	}
	delete(x.byID, x.ring[x.next])
	x.ring[x.next] = id
	x.next = (x.next + 1) % maxExplanations
	e := &Explanation{Request: id}
	x.byID[id] = e
	return e
}

// maxChoices limits the choices kept for one request.
const maxChoices = 16

// recordChoice records one choice by the policy.
func (x *explanations) recordChoice(id string, c *route.Choice) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.get(id)
	if len(e.Choices) < maxChoices {
		e.Choices = append(e.Choices, Chosen{Candidates: c.Candidates, Weighed: append([]route.Weighed(nil), c.Weighed[:c.N]...)})
	}
}

// recordResult records the outcome of a request.
func (x *explanations) recordResult(id string, r *Result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.get(id)
	e.Outcome = string(r.Outcome)
	if r.Err != nil {
		e.Err = r.Err.Error()
	}
	e.FirstTokenMs, e.PerTokenMs = r.FirstToken.Seconds()*1e3, r.PerToken.Seconds()*1e3
	e.TargetFirstMs, e.TargetPerMs = r.TargetFirst.Seconds()*1e3, r.TargetPer.Seconds()*1e3
	e.Prefilled, e.Wasted, e.Attempts = r.Prefilled, r.Wasted, r.Attempts
}

// Explain returns a copy of a request's explanation.
func (g *Gateway) Explain(id string) (Explanation, bool) {
	x := g.explanations
	x.mu.Lock()
	defer x.mu.Unlock()
	e, ok := x.byID[id]
	if !ok {
		return Explanation{}, false
	}
	out := *e
	out.Choices = append([]Chosen(nil), e.Choices...)
	return out, true
}
