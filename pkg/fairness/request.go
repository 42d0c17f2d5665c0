// Package fairness decides the order in which the waiting requests of all gateways get room: by class,
// then by the work already spent on them, then by max-min shares of workspaces. It decides from the
// summaries that gateways exchange when a gateway leaves room to requests that wait at another. It
// does no I/O.
package fairness

import (
	"cmp"
	"time"
)

// Class is how urgent a request is. The lowest class goes first.
type Class struct {
	// Tier takes precedence over Priority, which operators set, and that over Rank.
	Tier, Priority, Rank int
}

// Compare orders classes; a negative value means that c is more urgent.
func (c Class) Compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Tier, other.Tier), cmp.Compare(c.Priority, other.Priority), cmp.Compare(c.Rank, other.Rank))
}

// Request is a waiting request.
type Request struct {
	Class Class
	// Spent is the work that would be lost with the request, in tokens.
	Spent int
	// Workspace is the hash of the workspace's name, 0 if there is none.
	Workspace uint64
	// Arrival orders requests that are equal otherwise: the lowest goes first.
	Arrival uint64
}

// Order compares two waiting requests for the room of all gateways. A negative value means that a goes
// first.
type Order interface{ Compare(a, b Request) int }

// Waiting summarizes the requests of one class that wait at a gateway.
type Waiting struct {
	Class Class
	// Count is the number of requests. It is 0 in the entry of the least urgent class that the gateway
	// served lately if no request of that class waits.
	Count int
	// Tokens is the memory that the requests need, Longest the longest time that one has waited.
	Tokens  int
	Longest time.Duration
}

// Use is what a workspace uses at a gateway: the memory that its requests hold, and that which its
// waiting requests need, in tokens.
type Use struct {
	Workspace     uint64
	Used, Waiting int
}
