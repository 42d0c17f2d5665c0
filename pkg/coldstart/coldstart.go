// Package coldstart divides, among the gateways, the load limit of a runner that has just started.
// Such a runner fails when all gateways together send it more requests in one second than the limit
// configured for its service. No gateway learns of the others' requests in time, so each keeps to
// its own share.
//
// The shares need no message and no store: they follow from the names of the gateways in the
// membership list, which keeps a gateway for up to a minute after its last message.
// docs/design/cold-runners.md compares the alternatives.
package coldstart

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is the time over which a gateway's requests to a cold runner are counted: the one
	// second of the limit, plus the difference between the transit times of two requests to the
	// runner, which is up to 200 ms on healthy links.
	Window = 1200 * time.Millisecond
	// sharedFraction is the fraction of the limit that is divided among the gateways. The rest is
	// for gateways that learn of each other late: the limit holds while each gateway has half of
	// the others in its membership list. A limit of less than two requests holds only while the
	// membership lists of all gateways are complete.
	sharedFraction = 0.5
)

// Limit is how many requests a cold runner gets in one second from all gateways together.
type Limit struct {
	// PerSecond is the rate configured for the runner's service, in requests per second; 0 is no
	// limit.
	PerSecond float64
	// Overshoot is a factor that PerSecond is multiplied by, so 1 adds nothing; Slack a number of
	// requests that is added to the product.
	Overshoot, Slack float64
}

// Bounded reports whether there is a limit.
func (l Limit) Bounded() bool { return l.PerSecond > 0 }

// requests returns the limit as a number of requests in one second.
func (l Limit) requests() float64 { return l.PerSecond*l.Overshoot + l.Slack }

// Share returns how many requests the gateway self may send to a cold runner in any Window. All
// gateways use the same limit. If the shared fraction of it is less than one request for each
// gateway, some gateways get one request and the rest none. Which gateways get a request differs
// from runner to runner, so that each gateway has some runners to use.
func Share(l Limit, self string, others []string, runner string) int {
	shared := l.requests() * sharedFraction
	if perGateway := math.Floor(shared / float64(len(others)+1)); perGateway >= 1 {
		return int(perGateway)
	}
	remaining := max(1, int(shared))
	own := weight(self, runner)
	for _, name := range others {
		if weight(name, runner) > own {
			remaining--
		}
		if remaining == 0 {
			return 0
		}
	}
	return 1
}

// weight ranks the gateways for a runner by rendezvous hashing: when shares are 0 or 1, a gateway
// that joins or leaves changes the share of at most one other gateway.
func weight(gateway, runner string) uint64 { return xxhash.Sum64String(gateway + "/" + runner) }
