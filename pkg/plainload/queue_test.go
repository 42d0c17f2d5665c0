package plainload

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// newRequest returns a request that arrived at start and is due 120 ms later.
func newRequest() Request {
	return Request{Arrived: start, Target: start.Add(120 * time.Millisecond), Deadline: start.Add(800 * time.Millisecond)}
}

func hasTurn(w *Waiter) bool {
	select {
	case <-w.Turn:
		return true
	default:
		return false
	}
}

func TestMoreUrgentRequestGoesFirst(t *testing.T) {
	g := NewWithT(t)
	q := NewTable().Queue("s")
	later, urgent := newRequest(), newRequest()
	later.Priority = 2
	a := q.Enter(later)
	b := q.Enter(urgent)
	g.Expect(q.First(a, start)).To(BeFalse())
	g.Expect(q.First(b, start)).To(BeTrue())
	q.Leave(b, start)
	g.Expect(q.First(a, start)).To(BeTrue())
	g.Expect(hasTurn(a)).To(BeTrue(), "the next one has its turn")
	g.Expect(hasTurn(b)).To(BeFalse())
}

// Guards against a request that is late in any case and takes the room of one that can be in time.
func TestLateRequestYields(t *testing.T) {
	g := NewWithT(t)
	q := NewTable().Queue("s")
	back := newRequest()
	back.Returning = true
	late, fresh := q.Enter(back), q.Enter(newRequest())
	g.Expect(q.First(late, start)).To(BeFalse())
	g.Expect(q.First(fresh, start)).To(BeTrue())
	q.Leave(fresh, start)
	g.Expect(q.First(late, start.Add(yieldTime/2))).To(BeFalse())
	g.Expect(q.First(late, start.Add(yieldTime))).To(BeTrue())
}

// Guards against a request that can't use the room there is and holds up those that can.
func TestLanesDoNotWaitForEachOther(t *testing.T) {
	g := NewWithT(t)
	q := NewTable().Queue("s")
	other := newRequest()
	other.Lane = "other"
	a, b := q.Enter(newRequest()), q.Enter(other)
	q.Wake(start)
	g.Expect(hasTurn(a)).To(BeTrue())
	g.Expect(hasTurn(b)).To(BeTrue())
}

type newestFirst struct{}

func (newestFirst) Compare(a, b Request) int { return b.Arrived.Compare(a.Arrived) }

func TestOrderIsReplaceable(t *testing.T) {
	g := NewWithT(t)
	q := NewTable().Queue("s")
	q.SetOrder(newestFirst{})
	newer := newRequest()
	newer.Arrived = start.Add(time.Millisecond)
	a, b := q.Enter(newRequest()), q.Enter(newer)
	g.Expect(q.First(a, start)).To(BeFalse())
	g.Expect(q.First(b, start)).To(BeTrue())
}

// A client that can return is refused so early that its return can still be served well.
func TestRequestIsRefusedEarly(t *testing.T) {
	g := NewWithT(t)
	q := NewTable().Queue("s")
	w := q.Enter(newRequest())
	early := start.Add(time.Duration(earlyShare * float64(120*time.Millisecond)))
	g.Expect(q.Judge(w, start).Until).To(Equal(early), "nothing is known of the runners")
	g.Expect(q.Judge(w, early).Until.IsZero()).To(BeTrue())
}

func TestRequestWithoutProspectIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	q := NewTable().Queue("s")
	for range 3 {
		q.responded(50*time.Millisecond, start)
	}
	var last *Waiter
	for range 5 {
		last = q.Enter(newRequest())
	}
	v := q.Judge(last, start)
	g.Expect(v.Until.IsZero()).To(BeTrue())
	g.Expect(v.RetryAfter).To(BeNumerically(">", 500*time.Millisecond), "three responses in the last half second")
}

// Guards against refused clients that are all told to return at the same time.
func TestPromisedReturnsAreCounted(t *testing.T) {
	g := NewWithT(t)
	q := NewTable().Queue("s")
	for range 10 {
		q.responded(50*time.Millisecond, start)
	}
	early := start.Add(30 * time.Millisecond)
	first := q.Judge(q.Enter(newRequest()), early).RetryAfter
	for range 10 {
		q.Promised(400*time.Millisecond, early)
	}
	g.Expect(q.Judge(q.Enter(newRequest()), early).RetryAfter).To(BeNumerically(">", first+400*time.Millisecond))
}

// Guards against limits of runners that refuse nothing, and against a limit that is passed.
func TestClaimsKeepToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(), start
		open := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			room := table.Room("r", now)
			if open > 0 && rapid.Bool().Draw(t, "end") {
				open--
				table.End("r", rapid.SampledFrom([]Outcome{NotSent, Answered, TurnedAway, Lost}).Draw(t, "outcome"), 20*time.Millisecond, 120*time.Millisecond, now)
				continue
			}
			if got := table.Claim("s", "r", now); got != room {
				t.Fatalf("room %t, claimed %t", room, got)
			} else if got {
				open++
			}
			r := table.runners["r"]
			if r.inFlight != open {
				t.Fatalf("%d in flight, %d open", r.inFlight, open)
			}
			if r.pressed(now) && r.limit < 1 {
				t.Fatalf("limit %g", r.limit)
			}
			if !r.pressed(now) && !room {
				t.Fatal("a limit without pressure")
			}
		}
	})
}

func TestPressureEnds(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	g.Expect(table.Claim("s", "r", start)).To(BeTrue())
	g.Expect(table.Claim("s", "r", start)).To(BeTrue())
	table.End("r", TurnedAway, time.Millisecond, 120*time.Millisecond, start)
	g.Expect(table.Room("r", start.Add(time.Second))).To(BeFalse(), "one of one is open")
	g.Expect(table.Room("r", start.Add(pressureTime))).To(BeTrue())
	table.End("r", Answered, time.Millisecond, 120*time.Millisecond, start)
	table.Sweep(start.Add(pressureTime))
	g.Expect(table.runners).To(BeEmpty())
}

// Guards against a limit that never grows for routes without a latency target.
func TestLimitGrowsWithoutTarget(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	for range 2 {
		table.Claim("s", "r", start)
	}
	table.End("r", TurnedAway, time.Millisecond, 0, start)
	before := table.Statuses(start)[0].Limit
	table.End("r", Answered, time.Second, 0, start)
	g.Expect(table.Statuses(start)[0].Limit).To(BeNumerically(">", before))
}

// countingOrder counts the comparisons.
type countingOrder struct{ n *int }

func (o countingOrder) Compare(a, b Request) int {
	*o.n++
	return ByUrgency{}.Compare(a, b)
}

// Guards against a queue that is sorted for each look of each waiting request.
func TestManyLooksSortOnce(t *testing.T) {
	g := NewWithT(t)
	q := NewTable().Queue("s")
	var all []*Waiter
	for range 200 {
		all = append(all, q.Enter(newRequest()))
	}
	n := 0
	q.SetOrder(countingOrder{&n})
	q.First(all[0], start)
	once := n
	for _, w := range all {
		q.First(w, start.Add(5*time.Millisecond))
		q.Judge(w, start.Add(5*time.Millisecond))
	}
	g.Expect(n).To(Equal(once), "no request came, no room did")
}

// A request that gets too late while others wait goes behind those that can be in time.
func TestOrderFollowsTime(t *testing.T) {
	g := NewWithT(t)
	q := NewTable().Queue("s")
	newer := newRequest()
	newer.Target = newer.Target.Add(100 * time.Millisecond)
	a, b := q.Enter(newRequest()), q.Enter(newer)
	g.Expect(q.First(a, start)).To(BeTrue())
	g.Expect(hasTurn(b)).To(BeFalse())
	q.Judge(a, start.Add(100*time.Millisecond))
	g.Expect(hasTurn(b)).To(BeTrue(), "its turn comes without a look of its own")
	g.Expect(q.First(b, start.Add(100*time.Millisecond))).To(BeTrue())
	g.Expect(q.First(a, start.Add(100*time.Millisecond))).To(BeFalse())
}

// Guards against a limit that stays low while the runner's queue is short, and one that fills it.
func TestLimitFollowsQueueOfRunner(t *testing.T) {
	const target = 120 * time.Millisecond
	limitAfter := func(took time.Duration) float64 {
		table := NewTable()
		for range 9 {
			table.Claim("s", "r", start)
		}
		table.End("r", TurnedAway, 0, target, start)
		table.End("r", Answered, took, target, start)
		return table.Statuses(start)[0].Limit
	}
	g := NewWithT(t)
	g.Expect(limitAfter(target * 45 / 100)).To(BeNumerically(">", 8))
	g.Expect(limitAfter(target * 55 / 100)).To(BeNumerically("<", 8))
}

// Guards against the work of hundreds of requests that look for room while others go before them.
func TestOnlyFirstLooksOften(t *testing.T) {
	g := NewWithT(t)
	q := NewTable().Queue("s")
	for range 100 {
		q.responded(10*time.Millisecond, start)
	}
	back := newRequest()
	back.Returning = true
	a, b := q.Enter(back), q.Enter(back)
	g.Expect(q.Judge(a, start).First).To(BeTrue())
	at := start.Add(30 * time.Millisecond)
	v := q.Judge(b, at)
	g.Expect(v.First).To(BeFalse())
	g.Expect(v.Until).To(BeTemporally(">", at.Add(5*judgeInterval)))
	late := start.Add(time.Duration(lateShare*float64(800*time.Millisecond)) - 30*time.Millisecond)
	g.Expect(q.Judge(b, late).Until).To(BeTemporally("<=", late.Add(judgeInterval)))
}

// Guards against a request that arrives and overtakes those that wait.
func TestArrivalsWaitBehindOthers(t *testing.T) {
	g := NewWithT(t)
	q := NewTable().Queue("s")
	g.Expect(q.Busy(false, start)).To(BeFalse())
	g.Expect(q.Busy(true, start)).To(BeFalse())
	w := q.Enter(newRequest())
	g.Expect(q.Busy(false, start)).To(BeTrue())
	q.First(w, start)
	q.Judge(w, start)
	q.Leave(w, start)
	g.Expect(q.Busy(false, start)).To(BeFalse())
	g.Expect(q.Busy(true, start)).To(BeTrue(), "a request that can be in time needed the room")
	g.Expect(q.Busy(true, start.Add(yieldTime))).To(BeFalse())
}
