package boottime

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

// machine has clocks that a test moves: running time advances the monotonic clock and the time since
// boot, a suspension only the latter.
type machine struct {
	monotonic, suspended time.Duration
	reads                int
	broken               error
}

// origin has a reading of the monotonic clock, which Add advances too.
var origin = time.Now()

// newClock returns a clock that reads the clocks of the machine.
func (m *machine) newClock() *clock {
	return newClock(clocks{now: func() time.Time { return origin.Add(m.monotonic) }, read: m.read})
}

func (m *machine) read(id int32) (time.Duration, error) {
	m.reads++
	if id == unix.CLOCK_BOOTTIME {
		return time.Hour + m.monotonic + m.suspended, m.broken
	}
	return m.monotonic, m.broken
}

// at returns the time of a clock after the wall clock has moved against the monotonic clock. It
// simulates the drift by lowering lastDrift, since a test can't move only one of the two readings
// in a time.Time.
func (m *machine) at(c *clock, drift time.Duration) time.Time {
	c.mu.Lock()
	c.lastDrift -= drift
	c.mu.Unlock()
	return c.time()
}

func TestNowIncludesSuspensions(t *testing.T) {
	g := NewWithT(t)
	m := &machine{}
	c := m.newClock()
	began := c.time()
	m.monotonic += time.Second
	g.Expect(c.time().Sub(began)).To(Equal(time.Second))
	reads := m.reads
	m.suspended += 6 * time.Second
	g.Expect(m.at(c, 6*time.Second).Sub(began)).To(Equal(7 * time.Second))
	g.Expect(m.reads).To(Equal(reads + 3))
	g.Expect(c.time().Sub(began)).To(Equal(7 * time.Second))
	g.Expect(m.reads).To(Equal(reads+3), "the clocks are read only when the wall clock moves")
}

func TestWallClockStepsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	m := &machine{}
	c := m.newClock()
	began := c.time()
	g.Expect(m.at(c, time.Hour).Sub(began)).To(BeZero())
	g.Expect(m.at(c, -time.Minute).Sub(began)).To(BeZero())
}

// The time must never go back, and must advance by the running and the suspended time, however the
// clocks move.
func TestTimeAdvancesByRunningAndSuspendedTime(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m := &machine{}
		c := m.newClock()
		began := c.time()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			ran := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ran")) * time.Millisecond
			slept := time.Duration(rapid.IntRange(0, 1).Draw(t, "slept")) * time.Duration(rapid.IntRange(5, 9000).Draw(t, "for")) * time.Millisecond
			m.monotonic, m.suspended = m.monotonic+ran, m.suspended+slept
			g.Expect(m.at(c, slept).Sub(began)).To(Equal(m.monotonic + m.suspended))
		}
	})
}

func TestUnreadableClockIsReported(t *testing.T) {
	g := NewWithT(t)
	m := &machine{broken: errors.New("no clock")}
	c := m.newClock()
	g.Expect(c.readErr).To(MatchError(m.broken))
	g.Expect(c.time()).To(Equal(origin))
}

func TestSystemClocksAreReadable(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Err()).To(Succeed())
	before := Now()
	time.Sleep(time.Millisecond)
	g.Expect(Since(before)).To(BeNumerically(">=", time.Millisecond))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
