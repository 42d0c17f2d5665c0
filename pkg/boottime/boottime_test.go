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

// machine is one whose clocks a test moves: the steady clock by running, the time since boot by
// suspensions too.
type machine struct {
	steady, suspended time.Duration
	reads             int
	broken            error
}

// origin has a reading of the steady clock, which times keep when they are added to.
var origin = time.Now()

// watch returns a watch of the machine's clocks.
func (m *machine) watch() *watch {
	return newWatch(clocks{now: func() time.Time { return origin.Add(m.steady) }, read: m.read})
}

func (m *machine) read(id int32) (time.Duration, error) {
	m.reads++
	if id == unix.CLOCK_BOOTTIME {
		return time.Hour + m.steady + m.suspended, m.broken
	}
	return m.steady, m.broken
}

// at returns the time by a watch after the time of day has moved against the steady clock: a time of
// time.Now holds both, and a test can't move one of them alone.
func (m *machine) at(w *watch, drift time.Duration) time.Time {
	w.mu.Lock()
	w.drift -= drift
	w.mu.Unlock()
	return w.time()
}

func TestSuspensionsCount(t *testing.T) {
	g := NewWithT(t)
	m := &machine{}
	w := m.watch()
	began := w.time()
	m.steady += time.Second
	g.Expect(w.time().Sub(began)).To(Equal(time.Second))
	reads := m.reads
	m.suspended += 6 * time.Second
	g.Expect(m.at(w, 6*time.Second).Sub(began)).To(Equal(7 * time.Second))
	g.Expect(m.reads).To(Equal(reads + 3))
	g.Expect(w.time().Sub(began)).To(Equal(7 * time.Second))
	g.Expect(m.reads).To(Equal(reads+3), "clocks are read when the time of day moves, not else")
}

func TestStepsOfTheTimeOfDayDoNotCount(t *testing.T) {
	g := NewWithT(t)
	m := &machine{}
	w := m.watch()
	began := w.time()
	g.Expect(m.at(w, time.Hour).Sub(began)).To(BeZero())
	g.Expect(m.at(w, -time.Minute).Sub(began)).To(BeZero())
}

// However the clocks move, the time never goes back, and grows by what ran and was suspended.
func TestTheTimeGrowsByWhatRanAndWasSuspended(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m := &machine{}
		w := m.watch()
		began := w.time()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			ran := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ran")) * time.Millisecond
			slept := time.Duration(rapid.IntRange(0, 1).Draw(t, "slept")) * time.Duration(rapid.IntRange(5, 9000).Draw(t, "for")) * time.Millisecond
			m.steady, m.suspended = m.steady+ran, m.suspended+slept
			g.Expect(m.at(w, slept).Sub(began)).To(Equal(m.steady + m.suspended))
		}
	})
}

func TestAClockThatCantBeReadIsReported(t *testing.T) {
	g := NewWithT(t)
	m := &machine{broken: errors.New("no clock")}
	w := m.watch()
	g.Expect(w.failed).To(MatchError(m.broken))
	g.Expect(w.time()).To(Equal(origin))
}

func TestTheMachinesClocksAreRead(t *testing.T) {
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
