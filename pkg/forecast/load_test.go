package forecast

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// load is a simulated service with its clients and gateways.
type load struct {
	// rate returns the new requests per second at a time from the start.
	rate func(at time.Duration) float64
	// planned uses the planner; otherwise requests wait for a fixed time, Retry-After is random, and
	// returning requests are not told from new ones.
	planned bool
	// lostAt is when half of the gateways end; 0 for never.
	lostAt time.Duration
	length time.Duration
}

const (
	step        = 10 * time.Millisecond
	gateways    = 24
	places      = 300
	jobMemory   = 8000
	newPatience = 400 * time.Millisecond
	maxPatience = 3100 * time.Millisecond
	longestBack = 4600 * time.Millisecond
	exchange    = 60 * time.Millisecond
)

// capacityRate is the number of answers per second that the service can serve: answers take 1 to 5 s.
const capacityRate = places / 3.0

// result counts clients by how they were served.
type result struct {
	asked, inTime, late, lost int
	// held is the mean time for which a client that was lost in the end was kept waiting at gateways.
	held time.Duration
	// most is the largest number of answers at once.
	most int
	// keptServed and kept count the clients with a kept place that came back, and how many of them
	// were served.
	kept, keptServed int
}

type client struct {
	gateway   int
	arrived   time.Duration
	returning bool
	kept      bool
	held      time.Duration
}

// play simulates the load. All gateways place requests in the same order; only their forecasts
// differ.
func (l *load) play(seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	planners := make([]*Planner, gateways)
	for i := range planners {
		planners[i] = NewPlanner()
	}
	alive := gateways
	var running []time.Duration
	var queue []*client
	returns := map[time.Duration][]*client{}
	var r result
	held := time.Duration(0)
	patience := func(c *client) time.Duration {
		switch {
		case !l.planned:
			return 200 * time.Millisecond
		case c.returning:
			return maxPatience
		}
		return newPatience
	}
	rank := func(c *client) int {
		if l.planned && c.returning {
			return 2
		}
		return 1
	}
	refuse := func(c *client, now time.Duration) {
		c.held += now - c.arrived
		if c.returning {
			r.lost++
			held += c.held
			return
		}
		after := 3*time.Second + time.Duration(rng.Int64N(int64(longestBack-3*time.Second)))
		if l.planned {
			p := planners[c.gateway]
			back := p.Promise(l.forecast(p, c.gateway, queue, running, alive, start, now), jobMemory, 3*time.Second, longestBack, rng.Float64, start.Add(now))
			after, c.kept = back.After, back.Kept
		}
		at := (now + after).Truncate(step) + step
		returns[at] = append(returns[at], c)
	}
	for now := time.Duration(0); now < l.length || len(returns) > 0 || len(queue) > 0; now += step {
		if l.lostAt > 0 && now == l.lostAt {
			alive = gateways / 2
			for _, p := range planners[:alive] {
				for k := alive; k < gateways; k++ {
					p.Promises.Drop(fmt.Sprint(k))
				}
			}
			queue = slices.DeleteFunc(queue, func(c *client) bool {
				if c.gateway >= alive {
					r.lost++
				}
				return c.gateway >= alive
			})
		}
		running = slices.DeleteFunc(running, func(end time.Duration) bool { return end <= now })
		if now%exchange == 0 && l.planned {
			for i := range alive {
				report := planners[i].Promises.Own(start.Add(now))
				for k := range alive {
					if k != i && rng.Float64() < 0.9 {
						planners[k].Promises.Receive(fmt.Sprint(i), report, start.Add(now))
					}
				}
			}
		}
		var arrivals []*client
		if now < l.length {
			n := l.rate(now) * step.Seconds()
			for n > 0 && rng.Float64() < n {
				arrivals = append(arrivals, &client{})
				r.asked++
				n--
			}
		}
		for _, c := range returns[now] {
			c.returning = true
			if c.kept {
				r.kept++
			}
			arrivals = append(arrivals, c)
		}
		delete(returns, now)
		for _, c := range arrivals {
			c.gateway, c.arrived = rng.IntN(alive), now
			if l.planned && !c.returning {
				planners[c.gateway].Arrived(jobMemory, start.Add(now))
			}
		}
		queue = append(queue, arrivals...)
		slices.SortStableFunc(queue, func(a, b *client) int { return cmp.Compare(rank(a), rank(b)) })
		left := queue[:0:0]
		for _, c := range queue {
			if len(running) < places {
				running = append(running, now+time.Second+time.Duration(rng.Int64N(int64(4*time.Second))))
				switch {
				case c.returning:
					r.late++
				default:
					r.inTime++
				}
				if c.returning && c.kept {
					r.keptServed++
				}
				continue
			}
			left = append(left, c)
		}
		queue = left
		r.most = max(r.most, len(running))
		queue = slices.DeleteFunc(queue, func(c *client) bool {
			over := now-c.arrived >= patience(c)
			if l.planned && c.arrived == now {
				f := l.forecast(planners[c.gateway], c.gateway, queue, running, alive, start, now)
				wait, ok := f.Wait(jobMemory)
				if c.returning {
					wait, ok = f.WaitBehindNew(jobMemory)
				}
				over = over || !ok || wait > 2*patience(c)
			}
			if over {
				refuse(c, now)
			}
			return over
		})
	}
	if r.lost > 0 {
		r.held = held / time.Duration(r.lost)
	}
	return r
}

// forecast returns the forecast of one gateway, which knows its own queue, the number of waiting
// requests of the others, and the answers of all, whose ends it knows only roughly.
func (l *load) forecast(p *Planner, gateway int, queue []*client, running []time.Duration, alive int, start time.Time, now time.Duration) *Forecast {
	return p.Forecast(func() Observation {
		o := Observation{Capacity: places * jobMemory, Gateways: alive}
		for i, end := range running {
			factor := 0.7 + 0.6*float64(i%7)/6
			o.Running = append(o.Running, Load{Memory: jobMemory, Left: time.Duration(factor * float64(end-now))})
		}
		for _, c := range queue {
			switch {
			case c.returning:
			case c.gateway != gateway:
				o.Peers++
			default:
				o.Here++
				o.Waiting += jobMemory
			}
		}
		return o
	}, start.Add(now))
}

func burst(from, to time.Duration, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return factor * capacityRate
		}
		return 0.5 * capacityRate
	}
}

// Loads: a burst of twice the capacity for 4 s, waves of it, a burst that does not end, and half of
// the gateways lost in a burst. With a fixed wait of 0.2 s and a random Retry-After, clients that came
// back were refused for good when there was room, and new ones that could still be in time were
// refused.
func TestForecastServesMoreClientsUnderLoad(t *testing.T) {
	waves := func(at time.Duration) float64 {
		return burst(2*time.Second, 6*time.Second, 1.8)(at % (9 * time.Second))
	}
	for _, c := range []struct {
		name string
		load load
		// lost is the largest share of the clients lost before that may still be lost.
		lost float64
	}{
		{"burst", load{rate: burst(2*time.Second, 6*time.Second, 2), length: 12 * time.Second}, 0.3},
		{"waves", load{rate: waves, length: 27 * time.Second}, 1},
		{"no end", load{rate: burst(2*time.Second, time.Hour, 2), length: 12 * time.Second}, 1},
		{"gateways lost", load{rate: burst(2*time.Second, 6*time.Second, 2), length: 12 * time.Second, lostAt: 4 * time.Second}, 0.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			before, planned := c.load, c.load
			planned.planned = true
			old, now := before.play(1), planned.play(1)
			t.Logf("fixed wait: %s", old)
			t.Logf("forecast:   %s", now)
			g.Expect(now.share(now.lost)).To(BeNumerically("<=", c.lost*old.share(old.lost)))
			g.Expect(now.share(now.inTime)).To(BeNumerically(">=", 1.02*old.share(old.inTime)))
			g.Expect(now.most).To(BeNumerically("<=", places))
		})
	}
}

// A client that can't be served is refused for good at once when it comes back to a burst that does
// not end, instead of after the longest wait.
func TestHopelessReturnsAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := load{rate: burst(0, time.Hour, 2), length: 10 * time.Second, planned: true}
	r := l.play(1)
	g.Expect(r.lost).To(BeNumerically(">", 100))
	g.Expect(r.held).To(BeNumerically("<", newPatience+maxPatience/2))
}

func (r result) share(n int) float64 { return float64(n) / float64(r.asked) }

func (r result) String() string {
	return fmt.Sprintf("asked %d, in time %.3f, late %.3f, lost %.3f after %s at gateways", r.asked, r.share(r.inTime), r.share(r.late), r.share(r.lost), r.held)
}
