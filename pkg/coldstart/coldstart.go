// Package coldstart shares out among gateways what a runner bears that has just started. Such a
// runner falls over when all gateways together send it more requests in one second than its service
// says; no gateway learns of the others' sends in time, so each keeps to a part that is its own.
//
// The parts need no message and no store: they follow from the names of the gateways that are
// known, which stay known for as long as a minute after they fell silent. docs/design/cold-runners.md
// has the ways that were weighed.
package coldstart

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is the time over which a gateway's sends to a cold runner are counted: the second
	// that the limit speaks of, and the difference of two requests' ways to the runner, which
	// is up to a fifth of a second where links are well.
	Window = 1200 * time.Millisecond
	// usedPart is the part of the limit that is shared out. The rest is for gateways that know
	// of each other late: it holds while each knows half of the others. A limit of less than two
	// requests holds only while all know each other.
	usedPart = 0.5
)

// Limit says how many requests in one second a cold runner gets from all gateways together.
type Limit struct {
	// PerSecond is what the runner's service says, 0 for no limit.
	PerSecond float64
	// Overshoot is a multiple of that, Slack a number of requests beside it.
	Overshoot, Slack float64
}

// Bounded reports whether there is a limit.
func (l Limit) Bounded() bool { return l.PerSecond > 0 }

// requests returns the limit as a number of requests.
func (l Limit) requests() float64 { return l.PerSecond*l.Overshoot + l.Slack }

// Share returns how many requests one gateway may send to a cold runner in any Window, of a limit
// that all have in common. Where there is less than one for each gateway, some get one and the rest
// none; which ones differs from runner to runner, so that each gateway has some to use.
func Share(l Limit, self string, others []string, runner string) int {
	shared := l.requests() * usedPart
	if each := math.Floor(shared / float64(len(others)+1)); each >= 1 {
		return int(each)
	}
	users := max(1, int(shared))
	own := weight(self, runner)
	for _, name := range others {
		if weight(name, runner) > own {
			users--
		}
		if users == 0 {
			return 0
		}
	}
	return 1
}

// weight orders gateways for a runner (rendezvous hashing): a gateway that comes or goes moves
// nobody else's share but the last one's.
func weight(gateway, runner string) uint64 { return xxhash.Sum64String(gateway + "/" + runner) }
