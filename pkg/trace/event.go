// Package trace keeps the time line: typed events of one process in a bounded
// ring, with a logical clock that rides on every inner message, so that the
// events of all processes merge in causal order though their clocks differ.
package trace

import (
	"sync/atomic"
	"time"
)

// Type is the kind of an event.
type Type string

// The events of the time line.
const (
	Received     Type = "received"      // A gateway took a request.
	Chosen       Type = "chosen"        // A gateway chose runners.
	Claimed      Type = "claimed"       // A request's key was claimed.
	Opened       Type = "opened"        // A sidecar was asked to admit an attempt.
	Admitted     Type = "admitted"      // It did.
	Refused      Type = "refused"       // It did not.
	Started      Type = "started"       // Work was ordered from the runner.
	Exported     Type = "exported"      // A KV cache waits for its import.
	Imported     Type = "imported"      // It was imported.
	FirstToken   Type = "first_token"   // The first token went to the caller.
	Ended        Type = "ended"         // An attempt ran whole.
	Failed       Type = "failed"        // An attempt did not.
	Lapsed       Type = "lapsed"        // A lease ran out.
	Freed        Type = "freed"         // Engine memory was freed.
	Fenced       Type = "fenced"        // A request ID may not start here any more.
	Finished     Type = "finished"      // A request got its one outcome.
	Gone         Type = "gone"          // The caller went away.
	Revision     Type = "revision"      // A configuration revision came into force.
	Leaving      Type = "leaving"       // An instance is about to leave.
	Drained      Type = "drained"       // A process ended its work.
	Assigned     Type = "assigned"      // An engine took an assignment.
	ProcessStart Type = "process_start" // A process began.
)

// Event is one entry of the time line.
type Event struct {
	// Clock orders events: it is above that of all events that this one can
	// depend on.
	Clock uint64 `json:"clock"`
	// Wall is the process's own time, Mono its age in microseconds.
	Wall time.Time `json:"wall"`
	Mono int64     `json:"mono_us"`
	// Process is the instance whose process recorded it.
	Process string `json:"process"`
	Type    Type   `json:"type"`
	// Request, Attempt, Instance and Revision say what it is about.
	Request  string `json:"request,omitempty"`
	Attempt  int    `json:"attempt,omitempty"`
	Instance string `json:"instance,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// Detail is for people: key=value pairs.
	Detail string `json:"detail,omitempty"`
}

// Clock is a Lamport clock.
type Clock struct{ n atomic.Uint64 }

// Next returns the time for a new event or message.
func (c *Clock) Next() uint64 { return c.n.Add(1) }

// Meet takes over the clock of a received message.
func (c *Clock) Meet(seen uint64) {
	for {
		have := c.n.Load()
		if have >= seen || c.n.CompareAndSwap(have, seen) {
			return
		}
	}
}
