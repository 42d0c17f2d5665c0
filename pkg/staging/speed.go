package staging

import (
	"cmp"
	"slices"

	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// clearlyFaster is the ratio of two engines' speeds from which they are treated differently. Learned
	// speeds of equal engines differ by less.
	clearlyFaster = 1.5
	// calmReserved is the largest fraction of the decode engines' memory in use at which engines change
	// places, and swapPart the part of the prefill engines that may be replaced at once. A slow engine
	// finishes its answers first, and a burst may begin before it serves again.
	calmReserved = 0.2
	swapPart     = 4
)

// bySpeed divides engines into the fast and the slow ones, those first that suit the stage: an event of a
// slow decode engine takes long, and any delay exceeds the gap that callers accept, while a slow prefill
// engine adds little to the time until the first event. Engines of unknown speed count as fast. It
// returns one list if slow engines don't prefill fast enough.
func (s Situation) bySpeed(from []*runners.State, to runners.Stage) [][]*runners.State {
	if !s.SlowPrefill || s.Speed == nil {
		return [][]*runners.State{from}
	}
	var fast, slow []*runners.State
	limit := s.fastest() / clearlyFaster
	for _, r := range from {
		if v, known := s.speed(r); known && v < limit {
			slow = append(slow, r)
		} else {
			fast = append(fast, r)
		}
	}
	if to == runners.Prefill {
		return [][]*runners.State{slow, fast}
	}
	return [][]*runners.State{fast, slow}
}

// fastest returns the speed that a tenth of the engines exceed: a single one may be measured wrongly.
func (s Situation) fastest() float64 {
	var all []float64
	for _, r := range s.Engines {
		if v, known := s.speed(r); known {
			all = append(all, v)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*9/10]
}

// swaps returns changes by which slow decode engines and fast prefill engines change places. Slow engines
// leave the decode stage while the load is low. Fast ones leave the prefill stage when slow ones serve there in
// their place, so that prompts don't queue if a burst begins meanwhile.
func (p Policy) swaps(x Situation, s stages, wanted float64) []Change {
	if !x.SlowPrefill || x.Speed == nil || s.prefill.leaving+s.decode.leaving > 0 {
		return nil
	}
	slow, fast := x.known(s.decode.eligible), x.known(s.prefill.eligible)
	slices.Reverse(fast)
	if out := x.replaced(fast, s.prefill.serving-wanted); len(out) > 0 {
		return out
	}
	if !x.Exact && (x.Waiting > 0 || x.Reserved > calmReserved) || s.prefill.count > s.prefill.servingCount {
		return nil
	}
	var out []Change
	for i := range min(max(1, int(wanted)/swapPart), len(slow), len(fast)) {
		v, _ := x.speed(slow[i])
		if x.clearlyFaster(fast[i], slow[i]) && s.decode.spares(v, p.need(x, s, runners.Decode)) {
			s.decode.take(v)
			out = append(out, Change{Runner: slow[i], Stage: runners.Prefill, Swap: true})
		}
	}
	return out
}

// replaced returns the changes of the fast prefill engines for which slow ones serve in addition to the
// wanted speed.
func (s Situation) replaced(fast []*runners.State, surplus float64) []Change {
	var out []Change
	for _, r := range fast {
		v, _ := s.speed(r)
		if surplus < v/2 || !s.clearlyFaster(r, fast[len(fast)-1]) {
			break
		}
		surplus -= v
		out = append(out, Change{Runner: r, Stage: runners.Decode, Swap: true})
	}
	return out
}

// clearlyFaster reports whether the engine a is clearly faster than b.
func (s Situation) clearlyFaster(a, b *runners.State) bool {
	va, _ := s.speed(a)
	vb, _ := s.speed(b)
	return va >= clearlyFaster*vb
}

// known returns the engines of known speed, the slowest first.
func (s Situation) known(from []*runners.State) []*runners.State {
	var out []*runners.State
	for _, r := range from {
		if _, known := s.speed(r); known {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *runners.State) int {
		va, _ := s.speed(a)
		vb, _ := s.speed(b)
		return cmp.Or(cmp.Compare(va, vb), cmp.Compare(s.load(a), s.load(b)), cmp.Compare(a.ID, b.ID))
	})
	return out
}
