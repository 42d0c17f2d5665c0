// Package relay distributes changes of the platform's store to all gateways while only a few of
// them watch it. Those few, the relays, retain the latest changes (History) and send them to the
// gateways that subscribed to them (Subscribers). Every other gateway chooses two relays and tracks
// the age of what it has from them (Sources). Gateways run no agreement protocol: a gateway is a
// relay if it has a subscriber or is among the first alive ones, see Pace.AlwaysRelay.
//
// The package does no I/O; callers pass in the time. Callers must serialize access to Sources and
// to Subscribers.
package relay

import (
	"time"

	"github.com/hopwell/hopwell/pkg/store"
)

const (
	// minRelays is the smallest number of gateways that watch the store, even without subscribers:
	// the first alive ones in an order that all gateways share. Each costs one call per WatchWait
	// and one per change.
	minRelays = 4
	// gatewaysPerRelay is the number of gateways per relay at the shortest bound. A relay then
	// sends to gatewaysPerRelay x relaysPerGateway = 48 subscribers, some 10 KB a second without
	// changes.
	gatewaysPerRelay = 24
	// relaysPerGateway is the number of relays that a gateway subscribes to. With two, no change is
	// delayed when one relay fails or can't reach the store.
	relaysPerGateway = 2
	// rerequestAfter is the time after which a gateway that lacks a change requests it from a relay
	// again: some round trips.
	rerequestAfter = 50 * time.Millisecond
	// startupWait is how long a process learns of other gateways before it chooses relays. When all
	// start together, each sees few at first, and most would become relays.
	startupWait = time.Second
	// exclusionTime is how long a relay is not chosen after it fell silent, or after it could not
	// reach the store while others can.
	exclusionTime = 10 * time.Second
	// maxMissed is the number of heartbeat intervals without an update after which a relay is
	// replaced: three updates in a row are hardly ever lost. It is also the number of renewal
	// intervals that a subscription lasts: two renewals may be lost.
	maxMissed = 3
)

// ShortestBound is the shortest time that operators allow for a change to be in force everywhere.
// The base times of a Pace are given for it.
const ShortestBound = 2 * time.Second

const (
	baseBeat       = 300 * time.Millisecond
	baseRenewEvery = time.Second
	baseWatchWait  = time.Second
	baseStaleAfter = 1600 * time.Millisecond
)

// Pace sets how closely gateways watch the store. It follows from the bound, the time that
// operators allow for a change to be in force. Relays pass on a change as soon as they have it, at
// any pace. The pace limits how long a fault of a relay stays undetected, and thereby sets the cost
// of times without changes: calls to the store grow with the number of relays and fall with the
// square of the bound.
type Pace struct {
	factor float64
	// Heartbeat is the heartbeat interval: the longest time between two updates to a subscriber. At the
	// shortest bound a gateway gets some 7 datagrams of 60 bytes a second from its two relays.
	Heartbeat time.Duration
	// RenewEvery is the time between two subscriptions at the same relay.
	RenewEvery time.Duration
	// WatchWait is how long a relay's watch waits for a change. The end of the watch confirms that
	// the relay has all changes.
	WatchWait time.Duration
	// StaleAfter is the age from which on a gateway does not rely on its relays and calls the store
	// itself: the sum of a watch, a heartbeat interval, and the time that datagrams and calls take.
	// With the call that follows, a change is in force within the bound.
	StaleAfter time.Duration
}

// PaceFor returns the pace at which a change is in force on all gateways within a bound.
func PaceFor(bound time.Duration) Pace {
	p := Pace{factor: max(1, float64(bound)/float64(ShortestBound))}
	p.Heartbeat, p.RenewEvery, p.WatchWait, p.StaleAfter = p.Scale(baseBeat), p.Scale(baseRenewEvery), p.Scale(baseWatchWait), p.Scale(baseStaleAfter)
	return p
}

// Scale converts a time given for the shortest bound to this pace.
func (p Pace) Scale(d time.Duration) time.Duration { return time.Duration(float64(d) * p.factor) }

// silenceTimeout is how long a relay may send no update before it is replaced.
func (p Pace) silenceTimeout() time.Duration { return maxMissed * p.Heartbeat }

// subscriptionTTL is how long a subscription lasts.
func (p Pace) subscriptionTTL() time.Duration { return maxMissed * p.RenewEvery }

// Relays returns the number of relays among a number of gateways. At a longer heartbeat interval a
// relay serves more subscribers at the same cost.
func (p Pace) Relays(gateways int) int {
	return max(minRelays, int(float64(gateways)/(gatewaysPerRelay*p.factor)))
}

// Unconfirmed is the Age of an update that is not the last of several: the store had changes after
// it.
const Unconfirmed = time.Hour

// Update brings a gateway from the revision From to To. It holds the changes between them. Of a key
// that changed several times only the last change is sent, possibly in a later update.
type Update struct {
	From, To store.Revision
	// Age is how long ago the store last had no change after To, Unconfirmed if that is not known.
	Age time.Duration
	// Confirmed is a time, by boottime on the gateway that holds the update, at which the store
	// certainly had no change after To; zero if none is known.
	Confirmed time.Time
	// Truncated is set when the store holds later changes that are not sent.
	Truncated bool
	Changes   []store.Event
	// Deltas are the changes of large values, each encoded as the difference from the previous
	// value.
	Deltas []Delta
	// Restored is the last revision of a full read of a restored store, 0 for none. Changes up to
	// it may be stale: their writers may not have rewritten them yet.
	Restored store.Revision
}

// Encodings are the optional encodings that a subscriber decodes.
type Encodings struct {
	// Deltas are changes encoded as differences, Eras revisions that hold an era.
	Deltas, Eras bool
}
