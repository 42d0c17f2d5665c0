// Package relay decides how changes of the platform's store reach all gateways while
// only a few of them watch it. Those few, the relays, keep the latest changes (History)
// and send them to the gateways that subscribed to them (Subscribers); every other
// gateway chooses two relays and knows how old what it has from them is (Sources).
// Nothing is agreed on: a gateway that somebody subscribed to is a relay.
//
// Nothing here does I/O; the time is passed in. Sources and Subscribers are guarded by
// their user.
package relay

import (
	"time"

	"github.com/hopwell/hopwell/pkg/store"
)

const (
	// leastRelays is how many gateways watch the store at least, although nobody may have
	// subscribed to them: the first living ones in an order that all share. Four and six
	// measured alike; each costs one call a second and one for each change.
	leastRelays = 4
	// gatewaysEach is for how many gateways there is one relay more. A relay then sends
	// to 48 subscribers, some 10 KB a second without changes.
	gatewaysEach = 24
	// sourcesEach is how many relays a gateway subscribes to, so that the loss of one,
	// or one that is cut off from the store, delays nothing.
	sourcesEach = 2
	// Beat is the longest time between two updates to a subscriber. With it a gateway
	// gets some 7 datagrams of 60 bytes a second from its two relays.
	Beat = 300 * time.Millisecond
	// silentAfter is how long a relay may say nothing before another takes its place:
	// three updates in a row are hardly ever lost.
	silentAfter = 3 * Beat
	// renewEvery is the time between two subscriptions at one relay, subscribedFor how
	// long one lasts: two may be lost.
	renewEvery    = time.Second
	subscribedFor = 3 * renewEvery
	// askAgain is the time after which a gateway that lacks a change asks a relay for
	// it again: some round trips.
	askAgain = 50 * time.Millisecond
	// settleFor is how long a process gets to know the others before it chooses relays:
	// where all start together each sees few at first, and most would become relays.
	settleFor = time.Second
	// suspectFor is how long a relay that fell silent, or that lost the store while
	// others have it, is left alone.
	suspectFor = 10 * time.Second
	// WatchWait is how long a relay's watch waits for a change. What a relay knows is
	// confirmed when it ends.
	WatchWait = time.Second
	// StaleAfter is the age from which on a gateway does not rely on what its relays
	// say and looks at the store itself: a watch, a beat, and what datagrams and calls
	// take. With the call that follows, a change is known within the 2 s that the
	// shortest bounds of the platform leave for a configuration.
	StaleAfter = 1600 * time.Millisecond
)

// Relays returns how many of a number of gateways are relays.
func Relays(gateways int) int { return max(leastRelays, gateways/gatewaysEach) }

// Unconfirmed is the age of an update that others follow: the store had changes after it.
const Unconfirmed = time.Hour

// Update brings a gateway from the revision From to To: it holds the changes between them,
// of a key that changed again the last one only, maybe in a later update.
type Update struct {
	From, To uint64
	// Age is how long ago the store had no change after To, Unconfirmed if that is not
	// known.
	Age time.Duration
	// Assured is a moment of the own clock at which the store surely had no change after To;
	// zero if none is known.
	Assured time.Time
	// More says that the store holds later changes that are not sent.
	More    bool
	Changes []store.Event
}
