package peers

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/relay"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/spectest"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// The confirmed time that a gateway derives through a chain of relays must never be later than the
// true one, whatever messages and processes are delayed and whichever messages are lost or
// duplicated. Without such faults it is accurate to a few round trips.
func TestConfirmedTimeIsNeverTooRecent(t *testing.T) {
	spectest.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			g := NewWithT(rt)
			const hops = 3
			chain := make([]*Exchange, hops)
			confirmed := make([]time.Time, hops)
			for i := range chain {
				chain[i] = newStampExchange()
				time.Sleep(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "start")) * time.Millisecond)
			}
			delay := func(what string) {
				time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 1, 40, 3000}).Draw(rt, what)) * time.Millisecond)
			}
			var deliveries []func()
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				i := rapid.IntRange(1, hops-1).Draw(rt, "gateway")
				relay, self := chain[i-1], chain[i]
				switch rapid.IntRange(0, 3).Draw(rt, "what") {
				case 0:
					confirmed[0] = time.Now()
				case 1:
					stamp := self.clock.stamp(time.Now())
					delay("subscription")
					relay.subscribers.Subscribe("self", 1, allEncodings, time.Now())
					relay.subscribers.Stamp("self", stamp, time.Now())
				case 2:
					u := &wirepb.StoreUpdate{}
					relay.stampUpdate(u, "self", confirmed[i-1])
					sentAt, actual := time.Now(), confirmed[i-1]
					deliver := func() {
						at := self.confirmedAt(u)
						g.Expect(at.After(actual)).To(BeFalse(), "sent at %s", sentAt)
						if at.After(confirmed[i]) {
							confirmed[i] = at
						}
					}
					deliveries = append(deliveries, deliver)
					delay("update")
					if rapid.Bool().Draw(rt, "arrives") {
						deliver()
					}
				default:
					if len(deliveries) > 0 {
						rapid.SampledFrom(deliveries).Draw(rt, "again")()
					}
				}
			}
		})
	})
}

func TestConfirmedTimeIsAccurateToOneRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		relay, self := newStampExchange(), newStampExchange()
		time.Sleep(time.Second)
		stamp := self.clock.stamp(time.Now())
		time.Sleep(2 * time.Millisecond)
		relay.subscribers.Subscribe("self", 1, allEncodings, time.Now())
		relay.subscribers.Stamp("self", stamp, time.Now())
		time.Sleep(800 * time.Millisecond)
		read := time.Now().Add(-100 * time.Millisecond)
		u := &wirepb.StoreUpdate{}
		relay.stampUpdate(u, "self", read)
		time.Sleep(2 * time.Millisecond)
		g.Expect(read.Sub(self.confirmedAt(u))).To(BeNumerically("~", 2*time.Millisecond, 100*time.Microsecond))
	})
}

// The age of an update must include suspensions of the relay, before or after the subscription
// arrives, and of the subscriber.
func TestConfirmedTimeCountsSuspensions(t *testing.T) {
	g := NewWithT(t)
	relay, self := newStampExchange(), newStampExchange()
	suspended := func() { t.Cleanup(boottime.SuspendForTest(3 * time.Second)) }
	read := boottime.Now()
	suspended()
	stamp := self.clock.stamp(boottime.Now())
	relay.subscribers.Subscribe("self", 1, allEncodings, time.Now())
	relay.subscribers.Stamp("self", stamp, boottime.Now())
	suspended()
	u := &wirepb.StoreUpdate{}
	relay.stampUpdate(u, "self", read)
	suspended()
	g.Expect(boottime.Since(self.confirmedAt(u))).To(BeNumerically(">=", 9*time.Second))
}

// A process that restarts under the same name may receive a stamp of the process before it.
func TestStampOfEarlierProcessIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		relay, before := newStampExchange(), newStampExchange()
		time.Sleep(time.Second)
		relay.subscribers.Subscribe("self", 1, allEncodings, time.Now())
		relay.subscribers.Stamp("self", before.clock.stamp(time.Now()), time.Now())
		after := newStampExchange()
		time.Sleep(time.Second)
		u := &wirepb.StoreUpdate{}
		relay.stampUpdate(u, "self", time.Now())
		g.Expect(after.confirmedAt(u).IsZero()).To(BeTrue())
		g.Expect(before.confirmedAt(u).IsZero()).To(BeFalse())
	})
}

// newStampExchange returns an exchange with only the fields that stamps need.
func newStampExchange() *Exchange {
	return &Exchange{clock: newStampClock(), subscribers: relay.NewSubscribers(pace)}
}
