// Package notice stores what runners report of themselves in their responses: that they are leaving, and that
// they want no calls for some time (a pause). The package does no I/O; callers pass in the time.
//
// Notices are stored per incarnation: a restarted runner begins without any. That an incarnation is leaving
// holds for all gateways and is never revoked. A pause applies only to the gateway that the runner asked for
// it.
package notice

import (
	"fmt"
	"time"

	"github.com/hopwell/hopwell/pkg/runnerlimit"
)

// Notice is what one response reports of the runner that sent it.
type Notice struct {
	// Limit is what the response reports of the runner's rate limit.
	Limit runnerlimit.Statement
	// Leaving is set if the runner accepts no more work. HasEnd is set if the response reports when the runner
	// ends, and LeavesIn is the time until then.
	Leaving  bool
	HasEnd   bool
	LeavesIn time.Duration
	// Refused is set if the runner refused the call. RetryAfter is the time until the runner wants the next
	// one; 0 if the response doesn't specify it.
	Refused    bool
	RetryAfter time.Duration
	// ColdFor is the remaining time until the runner can take its full load; 0 if the response doesn't report
	// it.
	ColdFor time.Duration
	// Sent is the time at which the call was sent. Accepted is set if the call was work and the runner
	// accepted it.
	Sent     time.Time
	Accepted bool
	// Unknown lists the headers that have the prefix of notice headers but are not recognized.
	Unknown []string
}

const (
	// maxPause bounds the pause that a runner can ask for. A longer one is a mistake and would exclude the
	// runner permanently.
	maxPause = time.Hour
	// leavingLeadTime is how long before the announced end of a runner this gateway stops sending it work. It
	// is longer than requests take.
	leavingLeadTime = 30 * time.Second
)

// pause returns the length of the pause that the runner asked this gateway for; 0 for none.
func (n *Notice) pause() time.Duration {
	if !n.Refused {
		return 0
	}
	return min(n.RetryAfter, maxPause)
}

// leaves reports whether the runner is leaving, or ends so soon that it gets no more work.
func (n *Notice) leaves() bool { return n.Leaving || n.HasEnd && n.LeavesIn <= leavingLeadTime }

// Purpose distinguishes calls that load a runner from calls that don't.
type Purpose uint8

// The purposes.
const (
	// Work is a call that loads the runner: a request, a prompt, a reservation or an order to change the
	// stage.
	Work Purpose = iota + 1
	// Upkeep is a call that releases something or queries the runner's state.
	Upkeep
)

// ErrLeaving reports that a call was not sent because the runner is leaving and accepts no more work.
type ErrLeaving struct {
	Runner string
	// From is the gateway that received the runner's notice; empty for this gateway.
	From string
	// KnownFor is the time since this gateway learned that the runner is leaving.
	KnownFor time.Duration
}

// Error implements error.
func (e *ErrLeaving) Error() string {
	return fmt.Sprintf("runner is leaving: runner=%s told_by=%q known_for=%s", e.Runner, e.From, e.KnownFor.Round(time.Millisecond))
}

// ErrPaused reports that a call was not sent because the runner asked for a pause that is not over.
type ErrPaused struct {
	Runner string
	// Left is the remaining time of the pause.
	Left time.Duration
}

// Error implements error.
func (e *ErrPaused) Error() string {
	return fmt.Sprintf("runner asked for a pause: runner=%s left=%s", e.Runner, e.Left.Round(time.Millisecond))
}

// The values of Change.What.
const (
	Leaving     = "leaving"
	PauseBegins = "pause_begins"
	PauseEnds   = "pause_ends"
	Unknown     = "unknown"
)

// Change reports a new notice of a runner or the end of a pause.
type Change struct {
	Runner string
	// What is Leaving, PauseBegins, PauseEnds or Unknown.
	What string
	// From is the gateway that reported the change; empty if this gateway received the response.
	From string
	// For is the length of the pause: in PauseBegins the length in the first response, in PauseEnds the total
	// length. Asked is the number of responses that asked for it.
	For   time.Duration
	Asked int
	// Header is the name of an unrecognized header.
	Header string
}

// Withheld is a runner that gets no work because it is leaving or paused. In package runnerlimit, fields of
// this name are counts.
type Withheld struct {
	Runner string
	// Leaving is set if the runner is leaving. From is the gateway that received its notice; empty for this
	// gateway.
	Leaving bool
	From    string
	// KnownFor is the time since this gateway learned of the notice. Left is the remaining time of a pause.
	KnownFor, Left time.Duration
}
