// Package trace keeps the time line: the typed events of one process in bounded
// ring buffers. Every inner message carries a logical clock, so that the events of
// all processes merge in causal order although their wall clocks differ.
package trace

import (
	"sync/atomic"
	"time"
)

// Type is the kind of an event.
type Type string

// The events of the time line.
const (
	Received     Type = "received"      // A gateway received a request.
	Chosen       Type = "chosen"        // A gateway chose runners.
	Claimed      Type = "claimed"       // A request's idempotency key was claimed.
	Opened       Type = "opened"        // A gateway asked a sidecar to open an attempt.
	Admitted     Type = "admitted"      // The sidecar admitted the attempt.
	Refused      Type = "refused"       // The sidecar refused the attempt.
	Started      Type = "started"       // Work was started on the runner.
	Exported     Type = "exported"      // A KV cache is ready for import by another engine.
	Imported     Type = "imported"      // An engine imported the KV cache.
	FirstToken   Type = "first_token"   // The first token was sent to the client.
	Ended        Type = "ended"         // An attempt completed.
	Failed       Type = "failed"        // An attempt failed.
	Lapsed       Type = "lapsed"        // A lease expired.
	Freed        Type = "freed"         // Engine memory was freed.
	Fenced       Type = "fenced"        // A request ID was fenced: it may no longer start on the runner.
	Finished     Type = "finished"      // The final outcome of a request was set.
	Gone         Type = "gone"          // The client disconnected.
	Revision     Type = "revision"      // A configuration revision came into force.
	Leaving      Type = "leaving"       // An instance is about to leave.
	Drained      Type = "drained"       // A process finished its open work.
	Assigned     Type = "assigned"      // An engine accepted an assignment.
	ProcessStart Type = "process_start" // A process started.
)

// Event is one entry of the time line.
type Event struct {
	// Clock is the logical time. It is greater than the Clock of every event that may
	// have caused this one.
	Clock uint64 `json:"clock"`
	// Wall is the process's wall clock time; Mono is the time since the log was
	// created, in microseconds.
	Wall time.Time `json:"wall"`
	Mono int64     `json:"mono_us"`
	// Process is the name of the instance whose process recorded the event.
	Process string `json:"process"`
	Type    Type   `json:"type"`
	// Request, Attempt, Instance and Revision identify the subject of the event.
	Request  string `json:"request,omitempty"`
	Attempt  int    `json:"attempt,omitempty"`
	Instance string `json:"instance,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// Detail holds key=value pairs for human readers.
	Detail string `json:"detail,omitempty"`
}

// Clock is a Lamport clock.
type Clock struct{ n atomic.Uint64 }

// Next returns the time for a new event or message.
func (c *Clock) Next() uint64 { return c.n.Add(1) }

// Meet advances the clock to that of a received message if that is later.
func (c *Clock) Meet(seen uint64) {
	for {
		have := c.n.Load()
		if have >= seen || c.n.CompareAndSwap(have, seen) {
			return
		}
	}
}
