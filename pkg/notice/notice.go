// Package notice keeps what runners say of themselves in the answers that they give: that they leave,
// and that they want no calls for a while. Nothing here does I/O; the time is passed in.
//
// Everything is kept by start: a runner that starts again under its name has said nothing yet. That a
// start leaves is a fact for all gateways and is never taken back. A pause binds the gateway that
// was asked for it.
package notice

import (
	"fmt"
	"time"

	"github.com/hopwell/hopwell/pkg/runnerlimit"
)

// Notice is what one answer says of the runner that gave it.
type Notice struct {
	// Limit is what it says of the requests that the runner takes.
	Limit runnerlimit.Statement
	// Leaving says that the runner takes no more work. LeavesIn is in what time it ends, where Ends says
	// that it told so.
	Leaving  bool
	Ends     bool
	LeavesIn time.Duration
	// Refused says that the runner turned the call away, RetryAfter after what time it wants the next
	// one; 0 if it doesn't say.
	Refused    bool
	RetryAfter time.Duration
	// ColdFor is how much longer the runner bears less than it will; 0 if it says nothing of it.
	ColdFor time.Duration
	// Sent is when the call was sent that the answer belongs to, Accepted whether that was work
	// and the runner took it.
	Sent     time.Time
	Accepted bool
	// Unknown are the names of headers that look like notices and are none that is known.
	Unknown []string
}

const (
	// longestPause bounds a pause that a runner is believed to ask for: a longer one is a mistake, and
	// would keep the runner out for good.
	longestPause = time.Hour
	// leaveSoon is how long before its end a runner gets no more work: longer than requests take.
	leaveSoon = 30 * time.Second
)

// pause returns how long the runner wants no call from this gateway; 0 for none.
func (n *Notice) pause() time.Duration {
	if !n.Refused {
		return 0
	}
	return min(n.RetryAfter, longestPause)
}

// leaves reports whether the runner gets no more work.
func (n *Notice) leaves() bool { return n.Leaving || n.Ends && n.LeavesIn <= leaveSoon }

// Purpose is what a call to a runner is for.
type Purpose uint8

// The purposes.
const (
	// Work is what the runner has to do something for: requests, prompts, reservations, orders.
	Work Purpose = iota + 1
	// Upkeep is what gives back, or asks for what the runner knows.
	Upkeep
)

// ErrLeaving reports that a runner leaves and takes no more work. Nothing was sent.
type ErrLeaving struct {
	Runner string
	// From is the gateway that had the answer that says so; empty for this one.
	From string
	// Known is how long that has been known here.
	Known time.Duration
}

// Error implements error.
func (e *ErrLeaving) Error() string {
	return fmt.Sprintf("runner is leaving: runner=%s told_by=%q known_for=%s", e.Runner, e.From, e.Known.Round(time.Millisecond))
}

// ErrPaused reports that a runner asked for no calls for a time that isn't over. Nothing was sent.
type ErrPaused struct {
	Runner string
	// Left is how long the pause still lasts.
	Left time.Duration
}

// Error implements error.
func (e *ErrPaused) Error() string {
	return fmt.Sprintf("runner asked for a pause: runner=%s left=%s", e.Runner, e.Left.Round(time.Millisecond))
}

// What a change is about.
const (
	Leaving     = "leaving"
	PauseBegins = "pause_begins"
	PauseEnds   = "pause_ends"
	Unknown     = "unknown"
)

// Change is what was learned of a runner.
type Change struct {
	Runner string
	// What is Leaving, PauseBegins, PauseEnds or Unknown.
	What string
	// From is the gateway that reported it; empty for an answer to this one.
	From string
	// For is how long the pause is, or was; Asked is how many answers asked for it.
	For   time.Duration
	Asked int
	// Header is the name of an unknown header.
	Header string
}

// Withheld is a runner that gets no work for what it said.
type Withheld struct {
	Runner string
	// Leaving says that it leaves, From which gateway had the answer, empty for this one.
	Leaving bool
	From    string
	// Known is how long that has been known here, Left how much longer a pause lasts.
	Known, Left time.Duration
}
