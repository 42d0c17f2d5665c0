package peers

import (
	"math/rand/v2"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// A gateway that is told by a relay how the store is must know how old that is, although the
// datagram, the relay or the gateway itself may have stood still on the way. So it sends a
// stamp of its own clock with each subscription; the relay returns the newest with how long
// it has had it. What the relay then says of the store held at the stamp's time, plus the
// time that the relay had it, less the age that the relay states, or later.

// stampClock gives stamps of boottime. They begin at random, so that those of an
// earlier process of the same name are not taken for own ones.
type stampClock struct {
	began time.Time
	base  uint64
}

func newStampClock() stampClock { return stampClock{began: boottime.Now(), base: rand.Uint64() >> 1} }

func (c *stampClock) stamp(now time.Time) uint64 {
	return c.base + uint64(max(1, now.Sub(c.began).Microseconds()))
}

// timeOf returns when a stamp was given, false if it is not one of this process.
func (c *stampClock) timeOf(stamp uint64, now time.Time) (time.Time, bool) {
	if stamp <= c.base || stamp > c.stamp(now) {
		return time.Time{}, false
	}
	return c.began.Add(time.Duration(stamp-c.base) * time.Microsecond), true
}

// stampUpdate adds to an update for a subscriber what tells it how old the update is. The caller
// holds the lock.
func (x *Exchange) stampUpdate(u *wirepb.StoreUpdate, subscriber string, assured time.Time) {
	if assured.IsZero() {
		return
	}
	// The clock is read once, so that both spans end at the same moment.
	now := boottime.Now()
	stamp, held := x.subscribers.Echo(subscriber, now)
	if stamp == 0 {
		return
	}
	u.Stamp, u.HeldUs = stamp, uint64(max(0, held.Microseconds()))
	u.AssuredUs = uint64(max(0, now.Sub(assured).Microseconds()) + 1)
}

// confirmedAt returns the moment of the own clock for which an update says how the store was,
// zero if it says none.
func (x *Exchange) confirmedAt(u *wirepb.StoreUpdate) time.Time {
	if u.Stamp == 0 {
		return time.Time{}
	}
	now := boottime.Now()
	stamped, own := x.clock.timeOf(u.Stamp, now)
	if !own {
		return time.Time{}
	}
	at := stamped.Add(time.Duration(u.HeldUs) * time.Microsecond).Add(-time.Duration(u.AssuredUs) * time.Microsecond)
	if at.After(now) {
		return time.Time{}
	}
	return at
}
