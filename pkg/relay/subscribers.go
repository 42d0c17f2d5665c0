package relay

import (
	"time"

	"github.com/hopwell/hopwell/pkg/store"
)

// Subscribers are the gateways to which a relay sends updates.
type Subscribers struct {
	pace Pace
	all  map[string]*subscriber
}

// NewSubscribers returns an empty set of subscribers.
func NewSubscribers(p Pace) *Subscribers { return &Subscribers{pace: p, all: map[string]*subscriber{}} }

type subscriber struct {
	expires time.Time
	// sent is the revision up to which changes were sent, sentAt when the last update was. referredAt is when
	// the gateway was last referred to the store.
	sent       store.Revision
	sentAt     time.Time
	referredAt time.Time
	encodings  Encodings
	// stamp is that of the newest subscription, stampedAt the time of the subscription's arrival.
	stamp     uint64
	stampedAt time.Time
}

// Subscribe records that a gateway has all changes up to a revision and requests the later ones,
// and which encodings it decodes.
func (s *Subscribers) Subscribe(name string, at store.Revision, encodings Encodings, now time.Time) {
	if s.all[name] == nil {
		s.all[name] = &subscriber{}
	}
	g := s.all[name]
	g.expires, g.sent, g.encodings = now.Add(s.pace.subscriptionTTL()), at, encodings
}

// Stamp records the stamp of a gateway's newest subscription.
func (s *Subscribers) Stamp(name string, stamp uint64, now time.Time) {
	if g := s.all[name]; g != nil {
		g.stamp, g.stampedAt = stamp, now
	}
}

// Echo returns the stamp of a gateway's newest subscription, 0 for none, and the time since its
// arrival.
func (s *Subscribers) Echo(name string, now time.Time) (uint64, time.Duration) {
	g := s.all[name]
	if g == nil || g.stamp == 0 {
		return 0, 0
	}
	return g.stamp, now.Sub(g.stampedAt)
}

// Any reports whether a gateway is subscribed. It removes expired subscriptions.
func (s *Subscribers) Any(now time.Time) bool {
	for name, g := range s.all {
		if now.After(g.expires) {
			delete(s.all, name)
		}
	}
	return len(s.all) > 0
}

// Due returns the gateways that lack changes up to the revision reached, or that were sent no
// update for a heartbeat interval, each with the revision after which it needs changes.
func (s *Subscribers) Due(reached store.Revision, now time.Time) map[string]store.Revision {
	out := map[string]store.Revision{}
	for name, g := range s.all {
		if !now.After(g.expires) && (g.sent < reached || now.Sub(g.sentAt) >= s.pace.Heartbeat) {
			out[name] = g.sent
		}
	}
	return out
}

// Encodings returns the encodings that a gateway decodes.
func (s *Subscribers) Encodings(name string) Encodings {
	if g := s.all[name]; g != nil {
		return g.encodings
	}
	return Encodings{}
}

// Refer reports whether a gateway is to be referred to the store now, since it can't be sent the changes that it
// lacks, and records that. It is referred at most once in the time that a relay's watch lasts.
func (s *Subscribers) Refer(name string, now time.Time) bool {
	g := s.all[name]
	if g == nil || now.Sub(g.referredAt) < s.pace.WatchWait {
		return false
	}
	g.referredAt, g.sentAt = now, now
	return true
}

// Sent records that changes up to a revision were sent to a gateway. If they are lost, its next
// subscription carries the earlier revision.
func (s *Subscribers) Sent(name string, to store.Revision, now time.Time) {
	if g := s.all[name]; g != nil {
		g.sent, g.sentAt = max(g.sent, to), now
	}
}
