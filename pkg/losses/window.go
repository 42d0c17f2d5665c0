package losses

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Count is requests of one sort that arrived in a window.
type Count struct {
	Total int
	// Lost counts the requests by why they were not answered in time.
	Lost map[Cause]int
}

// InTime is how many were answered in time.
func (c Count) InTime() int {
	n := c.Total
	for _, lost := range c.Lost {
		n -= lost
	}
	return n
}

// Share is the part that was answered in time, 1 of none.
func (c Count) Share() float64 {
	if c.Total == 0 {
		return 1
	}
	return float64(c.InTime()) / float64(c.Total)
}

// Window is a stretch of time.
type Window struct {
	// From is the time since the report's start.
	From                 time.Duration
	Generations, Lookups Count
	// Wasted is prompt tokens that were computed in vain, by reason.
	Wasted map[string]int
	// Engines is the mean of what the gateways knew of the engines.
	Engines Engines
}

// Engines is the state of the engines in a window, as means over gateways and time.
type Engines struct {
	Prefill, Decode, Changing, Reserved, Waiting, Reading float64
}

// Report is the losses by window.
type Report struct {
	Start   time.Time
	Length  time.Duration
	Windows []Window
	log     *Log
}

// Report cuts the log into windows of a length, from a start; the zero time takes
// that of the first request.
func (l *Log) Report(start time.Time, length time.Duration) *Report {
	if start.IsZero() && len(l.Requests) > 0 {
		start = l.Requests[0].Arrived
	}
	r := &Report{Start: start, Length: length, log: l}
	for i := range l.Requests {
		q := &l.Requests[i]
		w := r.window(q.Arrived)
		if w == nil {
			continue
		}
		c := &w.Lookups
		if q.Generation {
			c = &w.Generations
		}
		c.Total++
		if q.Cause != InTime {
			c.Lost[q.Cause]++
		}
	}
	for i := range l.Wasted {
		if w := r.window(l.Wasted[i].Time); w != nil {
			w.Wasted[l.Wasted[i].Reason] += l.Wasted[i].Tokens
		}
	}
	r.engines()
	return r
}

// window returns the window of a moment, nil before the start.
func (r *Report) window(at time.Time) *Window {
	n := int(at.Sub(r.Start) / r.Length)
	if at.Before(r.Start) {
		return nil
	}
	for len(r.Windows) <= n {
		r.Windows = append(r.Windows, Window{
			From:        time.Duration(len(r.Windows)) * r.Length,
			Generations: Count{Lost: map[Cause]int{}}, Lookups: Count{Lost: map[Cause]int{}}, Wasted: map[string]int{},
		})
	}
	return &r.Windows[n]
}

// engines fills the means of the engines' state.
func (r *Report) engines() {
	samples := make([]float64, len(r.Windows))
	for i := range r.log.Pools {
		p := &r.log.Pools[i]
		n := int(p.Time.Sub(r.Start) / r.Length)
		if p.Time.Before(r.Start) || n >= len(r.Windows) {
			continue
		}
		samples[n]++
		e := &r.Windows[n].Engines
		for _, v := range []struct {
			mean  *float64
			value float64
		}{
			{&e.Prefill, float64(p.Prefill)}, {&e.Decode, float64(p.Decode)}, {&e.Changing, float64(p.Changing)},
			{&e.Reserved, p.Reserved}, {&e.Waiting, float64(p.Waiting)}, {&e.Reading, float64(p.Reading)},
		} {
			*v.mean += (v.value - *v.mean) / samples[n]
		}
	}
}

// Worst returns the windows with the smallest part of generations in time, the
// worst first.
func (r *Report) Worst(n int) []Window {
	out := slices.Clone(r.Windows)
	slices.SortStableFunc(out, func(a, b Window) int { return cmp.Compare(a.Generations.Share(), b.Generations.Share()) })
	return out[:min(n, len(out))]
}

// Lost returns the requests of a window that were not answered in time, in the order
// of their arrival.
func (r *Report) Lost(w Window) []Request {
	var out []Request
	for _, q := range r.log.Requests {
		if at := q.Arrived.Sub(r.Start) - w.From; at >= 0 && at < r.Length && q.Cause != InTime {
			out = append(out, q)
		}
	}
	return out
}

// Total returns the sum over all windows, without the engines' state.
func (r *Report) Total() Window {
	sum := Window{Generations: Count{Lost: map[Cause]int{}}, Lookups: Count{Lost: map[Cause]int{}}, Wasted: map[string]int{}}
	for _, w := range r.Windows {
		for _, c := range []struct{ to, from *Count }{{&sum.Generations, &w.Generations}, {&sum.Lookups, &w.Lookups}} {
			c.to.Total += c.from.Total
			for cause, n := range c.from.Lost {
				c.to.Lost[cause] += n
			}
		}
		for reason, n := range w.Wasted {
			sum.Wasted[reason] += n
		}
	}
	return sum
}

// Reasons returns the reasons for wasted prompts, in the order of their names.
func (r *Report) Reasons() []string {
	return slices.Sorted(maps.Keys(r.Total().Wasted))
}
