package forecast

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

// loads returns answers of the same memory that end at the given times from now.
func loads(memory int, ends ...time.Duration) (out []Load) {
	for _, end := range ends {
		out = append(out, Load{Memory: memory, Left: end})
	}
	return out
}

func TestNewRequestWaitsForTheFirstAnswerThatEnds(t *testing.T) {
	g := NewWithT(t)
	f := New(State{Capacity: 200, Running: loads(100, 450*time.Millisecond, 3*time.Second), Full: true})
	wait, ok := f.Wait(100)
	g.Expect(ok).To(BeTrue())
	g.Expect(wait).To(Equal(400 * time.Millisecond))
	wait, ok = f.Wait(200)
	g.Expect(ok).To(BeTrue())
	g.Expect(wait).To(Equal(3 * time.Second))
	_, ok = f.Wait(300)
	g.Expect(ok).To(BeFalse())
}

func TestNewRequestWaitsBehindWaitingOnes(t *testing.T) {
	g := NewWithT(t)
	s := State{Capacity: 200, Running: loads(100, 450*time.Millisecond, 3*time.Second), Full: true, Waiting: 100}
	wait, _ := New(s).Wait(100)
	g.Expect(wait).To(Equal(3 * time.Second))
}

func TestReturningRequestWaitsBehindNewOnes(t *testing.T) {
	g := NewWithT(t)
	s := State{Capacity: 200, Running: loads(100, 450*time.Millisecond, 3*time.Second), Full: true, Arriving: 500, Hold: 10 * time.Second}
	wait, ok := New(s).WaitBehindNew(100)
	g.Expect(ok).To(BeFalse(), "%s", wait)
	s.Arriving = 0
	wait, ok = New(s).WaitBehindNew(100)
	g.Expect(ok).To(BeTrue())
	g.Expect(wait).To(Equal(400 * time.Millisecond))
}

func TestEmptyServiceHasRoomAtOnce(t *testing.T) {
	g := NewWithT(t)
	wait, ok := New(State{Capacity: 1000}).Wait(100)
	g.Expect(ok).To(BeTrue())
	g.Expect(wait).To(BeZero())
}

// The memory that is spare in a burst that ends is that which answers free, less what new requests
// take.
func TestSpareIsWhatNewRequestsLeave(t *testing.T) {
	g := NewWithT(t)
	s := State{Capacity: 1000, Full: true, Hold: 10 * time.Second}
	for i := range 10 {
		s.Running = append(s.Running, Load{Memory: 100, Left: time.Duration(i)*SlotLength + SlotLength/2})
	}
	s.Arriving = 60 / SlotLength.Seconds()
	f := New(s)
	sum := 0.0
	for k := range 10 {
		sum += f.Spare(time.Duration(k) * SlotLength)
	}
	g.Expect(sum).To(BeNumerically("~", 400, 1))
	s.Arriving *= 2
	f = New(s)
	for k := range 10 {
		g.Expect(f.Spare(time.Duration(k) * SlotLength)).To(BeZero())
	}
}

// No forecast gives out more memory than there is: what a request waits for, and what is spare, is
// at most the capacity and what becomes free.
func TestForecastGivesOutNoMoreThanBecomesFree(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		var s State
		s.Capacity = float64(rapid.IntRange(0, 10000).Draw(t, "capacity"))
		s.Full = rapid.Bool().Draw(t, "full")
		s.Waiting = float64(rapid.IntRange(0, 3000).Draw(t, "waiting"))
		s.Arriving = float64(rapid.IntRange(0, 20000).Draw(t, "arriving"))
		s.Hold = time.Duration(rapid.IntRange(0, 8000).Draw(t, "hold")) * time.Millisecond
		used, most := 0.0, 0.0
		for range rapid.IntRange(0, 40).Draw(t, "running") {
			l := Load{Memory: rapid.IntRange(0, 500).Draw(t, "memory"), Left: time.Duration(rapid.IntRange(-100, 9000).Draw(t, "left")) * time.Millisecond}
			s.Running = append(s.Running, l)
			used += float64(l.Memory)
		}
		for k := range Slots {
			s.Promised[k] = float64(rapid.IntRange(0, 300).Draw(t, "promised"))
		}
		f := New(s)
		most = max(s.Capacity, used)
		sum := 0.0
		for k := range Slots {
			if f.spare[k] < 0 {
				t.Fatalf("spare memory below 0 in slot %d: %v", k, f.spare[k])
			}
			sum += f.spare[k]
		}
		if sum > most+1e-6 {
			t.Fatalf("%v spare of %v", sum, most)
		}
	})
}

// Gateways that refuse at the same time with the same forecast promise no more than fits if each
// knows the promises of the others, and at most those more that were not reported yet.
func TestPromisesFit(t *testing.T) {
	const size, gateways = 100, 25
	for _, reportEvery := range []int{1, 3} {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(1000, 0)
		planners := make([]*Planner, gateways)
		for i := range planners {
			planners[i] = NewPlanner()
			planners[i].size = size
		}
		var running []Load
		for i := range 300 {
			running = append(running, Load{Memory: size, Left: time.Duration(i) * 20 * time.Millisecond})
		}
		observe := func() Observation {
			return Observation{Capacity: 300 * size, Running: running, Here: 1, Gateways: gateways}
		}
		var kept [Slots]int
		for i := range 400 {
			from := i % gateways
			p := planners[from]
			r := p.Promise(p.Forecast(observe, now), size, time.Second, 4600*time.Millisecond, rng.Float64, now)
			g.Expect(r.After).To(BeNumerically(">=", time.Second))
			g.Expect(r.After).To(BeNumerically("<=", 4600*time.Millisecond))
			if r.Kept {
				kept[slotOf(r.After)]++
			}
			for k, other := range planners {
				if k != from && i%reportEvery == 0 {
					other.Promises.Receive(string(rune('a'+from)), p.Promises.Own(now), now)
					other.forecast = nil
				}
			}
		}
		total, unreported := 0, (reportEvery-1)*gateways
		for k, n := range kept {
			total += n
			// 10 answers end in each slot.
			g.Expect(total).To(BeNumerically("<=", 10*(k+1)+unreported), "up to slot %d", k)
		}
		g.Expect(total).To(BeNumerically(">=", 18*10*8/10), "18 slots lie between 1 and 4.6 s")
	}
}

// Load: one engine, whose only answer leaves too little room for the requests that wait.
func TestAllIsFreeAfterTheLastAnswer(t *testing.T) {
	g := NewWithT(t)
	wait, ok := New(State{Capacity: 900, Running: loads(300, 450*time.Millisecond), Full: true}).Wait(800)
	g.Expect(ok).To(BeTrue())
	g.Expect(wait).To(Equal(400 * time.Millisecond))
}

// Returns that wait look at the same forecast, and must not take the same memory.
func TestReturnsShareSpareMemory(t *testing.T) {
	g := NewWithT(t)
	p, now := NewPlanner(), time.Unix(1000, 0)
	observe := func() Observation { return Observation{Capacity: 1000} }
	f := p.Forecast(observe, now)
	taken := 0
	for range 100 {
		if p.TakeSpare(f, 100) {
			taken++
		}
	}
	g.Expect(taken).To(Equal(9))
	p.GiveBack(100)
	g.Expect(p.TakeSpare(f, 100)).To(BeTrue())
	g.Expect(p.TakeSpare(p.Forecast(observe, now.Add(reuse)), 100)).To(BeTrue(), "a new observation contains what was taken")
}

// Load: a gateway refuses a hundred requests at a moment.
func TestPromisesNeedNoNewObservation(t *testing.T) {
	g := NewWithT(t)
	p, now, observed := NewPlanner(), time.Unix(1000, 0), 0
	p.Arrived(100, now)
	observe := func() Observation {
		observed++
		return Observation{Capacity: 3000, Running: loads(100, time.Second, 2*time.Second), Gateways: 1}
	}
	rng, kept := rand.New(rand.NewPCG(1, 1)), 0
	for range 100 {
		if p.Promise(p.Forecast(observe, now), 100, 0, 4*time.Second, rng.Float64, now).Kept {
			kept++
		}
	}
	g.Expect(observed).To(Equal(1))
	g.Expect(kept).To(BeNumerically("<=", 60), "each place is used at most twice, since answers take 3 s")
	g.Expect(kept).To(BeNumerically(">", 10))
}
