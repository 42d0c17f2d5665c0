package peers

import (
	"math/rand/v2"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// A gateway must know how old a relay's report of the store is, although the datagram, the relay or
// the gateway itself may have been delayed or suspended on the way. Each subscription therefore
// carries a stamp of the subscriber's own clock, and each update of the relay returns the newest
// stamp with the time since its arrival. The store was confirmed to be in the reported state at
// stamp + HeldUs - AssuredUs, or later: HeldUs is how long the relay has held the stamp, AssuredUs
// the age of the relay's own confirmation.

// stampClock issues stamps of boottime, in microseconds. They start at a random number, so that
// stamps of an earlier process of the same name are not mistaken for its own.
type stampClock struct {
	began time.Time
	base  uint64
}

func newStampClock() stampClock { return stampClock{began: boottime.Now(), base: rand.Uint64() >> 1} }

func (c *stampClock) stamp(now time.Time) uint64 {
	return c.base + uint64(max(1, now.Sub(c.began).Microseconds()))
}

// timeOf returns the time at which a stamp was issued, and false if another process issued it.
func (c *stampClock) timeOf(stamp uint64, now time.Time) (time.Time, bool) {
	if stamp <= c.base || stamp > c.stamp(now) {
		return time.Time{}, false
	}
	return c.began.Add(time.Duration(stamp-c.base) * time.Microsecond), true
}

// stampUpdate adds to an update the subscriber's newest stamp and the two durations from which the
// subscriber derives the age of the update. The caller holds the lock.
func (x *Exchange) stampUpdate(u *wirepb.StoreUpdate, subscriber string, confirmed time.Time) {
	if confirmed.IsZero() {
		return
	}
	// The clock is read once, so that both spans end at the same moment.
	now := boottime.Now()
	stamp, held := x.subscribers.Echo(subscriber, now)
	if stamp == 0 {
		return
	}
	u.Stamp, u.HeldUs = stamp, uint64(max(0, held.Microseconds()))
	// The age is rounded up, so that the confirmed time is not too recent.
	u.AssuredUs = uint64(max(0, now.Sub(confirmed).Microseconds()) + 1)
}

// confirmedAt returns the time, by this gateway's clock, at which the store is confirmed to have been in
// the state that an update reports. It is zero if the update confirms nothing.
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
