package losses

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Count is the number of generations, or of lookups, that arrived in a window.
type Count struct {
	Total int
	// Lost is the number of requests that were not answered in time, by cause.
	Lost map[Cause]int
}

// InTime returns the number of requests that were answered in time.
func (c Count) InTime() int {
	n := c.Total
	for _, lost := range c.Lost {
		n -= lost
	}
	return n
}

// Share returns the share of the requests that was answered in time, 1 if there were none.
func (c Count) Share() float64 {
	if c.Total == 0 {
		return 1
	}
	return float64(c.InTime()) / float64(c.Total)
}

// Window is the data of one time window.
type Window struct {
	// From is the start of the window, relative to the start of the report.
	From                 time.Duration
	Generations, Lookups Count
	// Wasted is the number of prompt tokens that were computed in vain, by reason.
	Wasted map[string]int
	// LocalPrefills is the number of prompts that decode engines computed.
	LocalPrefills int
	// Engines is the mean state of the engines.
	Engines Engines
	// Forecast compares the forecasts of room with the outcomes.
	Forecast Forecast
}

// Engines is the state of the engines in a window, as means over all Pool entries of all
// gateways in the window. See Pool for the fields.
type Engines struct {
	Prefill, Decode, Changing, Reserved, Waiting, PrefillTokens float64
}

// Report is the data of a log by window.
type Report struct {
	Start   time.Time
	Length  time.Duration
	Windows []Window
	log     *Log
}

// Report divides the log into windows of the given length from start. If start is zero, the
// first window starts with the first request.
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
	for _, at := range l.LocalPrefills {
		if w := r.window(at); w != nil {
			w.LocalPrefills++
		}
	}
	for i := range l.forecasts {
		if w := r.window(l.forecasts[i].arrived); w != nil {
			w.Forecast.add(&l.forecasts[i])
		}
	}
	r.averageEngines()
	return r
}

// window returns the window that contains a time, nil for a time before the start. It adds
// windows as needed.
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

// averageEngines sets the Engines of all windows.
func (r *Report) averageEngines() {
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
			{&e.Reserved, p.Reserved}, {&e.Waiting, float64(p.Waiting)}, {&e.PrefillTokens, float64(p.PrefillTokens)},
		} {
			*v.mean += (v.value - *v.mean) / samples[n]
		}
	}
}

// Worst returns the n windows with the smallest share of generations in time, the
// smallest first.
func (r *Report) Worst(n int) []Window {
	out := slices.Clone(r.Windows)
	slices.SortStableFunc(out, func(a, b Window) int { return cmp.Compare(a.Generations.Share(), b.Generations.Share()) })
	return out[:min(n, len(out))]
}

// Lost returns the requests of a window that were not answered in time, sorted by
// arrival.
func (r *Report) Lost(w Window) []Request {
	var out []Request
	for _, q := range r.log.Requests {
		if at := q.Arrived.Sub(r.Start) - w.From; at >= 0 && at < r.Length && q.Cause != InTime {
			out = append(out, q)
		}
	}
	return out
}

// Total returns the sum of all windows, without Engines.
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

// Reasons returns the reasons for wasted prompt tokens, sorted by name.
func (r *Report) Reasons() []string {
	return slices.Sorted(maps.Keys(r.Total().Wasted))
}
