package enginepool

import (
	"maps"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/runners"
)

// RelativeSpeeds returns the measured speeds of the service's engines as multiples of their mean, by
// runner ID. Engines without a measured speed are left out. An engine is measured in its own stage; speeds
// of prefill are converted to those of decode by the ratio of engines that were measured in both stages,
// or of the fastest of each.
func (p *Pool) RelativeSpeeds(now time.Time) map[string]float64 {
	engines := p.directory.Present(p.service, now)
	measured := p.measuredSpeeds(engines)
	var decode, prefill, both []float64
	for _, s := range measured {
		if s.Decode > 0 {
			decode = append(decode, s.Decode)
		}
		if s.Prefill > 0 {
			prefill = append(prefill, s.Prefill)
		}
		if s.Decode > 0 && s.Prefill > 0 {
			both = append(both, s.Prefill/s.Decode)
		}
	}
	ratio := quantile(both, 0.5)
	if fastest := quantile(decode, fastQuantile); ratio == 0 && fastest > 0 {
		ratio = quantile(prefill, fastQuantile) / fastest
	}
	return relative(engines, measured, ratio)
}

// measuredSpeeds returns the measured speeds of engines, in their order. It alone holds the lock, which
// requests wait for.
func (p *Pool) measuredSpeeds(engines []*runners.State) []Speed {
	p.mu.Lock()
	defer p.unlock()
	out := make([]Speed, len(engines))
	for i, r := range engines {
		out[i] = p.measured(r)
	}
	return out
}

// fastQuantile is the quantile that stands for the fastest engines: a single one may be measured wrongly.
const fastQuantile = 0.9

// measured returns the measured long-term speeds of an engine: a slow phase is no reason for a stage
// change, which takes as long. The caller holds the lock.
func (p *Pool) measured(r *runners.State) Speed {
	var out Speed
	if e := p.engines.get(r.ID); e != nil && e.speed.steady > 0 {
		out.Decode = 1 / e.speed.steady
	}
	if m := p.prefillRunners.get(r.ID); m != nil {
		out.Prefill = m.known
	}
	return out
}

// relative returns the speeds of engines as multiples of their mean, for a ratio of prefill speed to decode
// speed; 0 is unknown.
func relative(engines []*runners.State, measured []Speed, ratio float64) map[string]float64 {
	out := map[string]float64{}
	for i, r := range engines {
		s := measured[i]
		v := s.Decode
		if ratio > 0 && s.Prefill > 0 && (v == 0 || r.Stage == runners.Prefill) {
			v = s.Prefill / ratio
		}
		if v > 0 {
			out[r.ID] = v
		}
	}
	sum, most := 0.0, fastestFactor*quantile(slices.Collect(maps.Values(out)), fastQuantile)
	for id, v := range out {
		out[id] = min(v, most)
		sum += out[id]
	}
	for id := range out {
		out[id] *= float64(len(out)) / sum
	}
	return out
}

// fastestFactor bounds the speed of an engine as a multiple of that at fastQuantile: a prompt that was found
// in the KV cache makes a prefill engine seem many times as fast, and all others slow beside the mean.
const fastestFactor = 1.5

// quantile returns a quantile of values, 0 if there are none. Below 1 it is not the largest of several.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
