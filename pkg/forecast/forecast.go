// Package forecast predicts when the engines of a service have room, from the answers in progress,
// the requests that wait and the returns that were promised to refused clients. It decides whether
// a new request waits or is refused at once, and when a refused client should come back. It does
// no I/O; the caller passes the time and the random numbers.
package forecast

import (
	"time"
)

const (
	// SlotLength is the resolution of a forecast, and Slots the number of slots in it.
	SlotLength = 200 * time.Millisecond
	Slots      = 30
	// Horizon is how far a forecast reaches.
	Horizon = Slots * SlotLength
)

// Load is one answer in progress: the memory that it holds, in tokens, and the time until it is
// expected to end.
type Load struct {
	Memory int
	Left   time.Duration
}

// State is what a forecast starts from. Memory is in tokens.
type State struct {
	// Capacity is the memory that can be in use at once.
	Capacity float64
	Running  []Load
	// Full means that a request waits for memory now, so that none is free whatever Capacity says.
	Full bool
	// Waiting is the memory that requests ahead of a new one wait for.
	Waiting float64
	// Promised is the memory that promised returns need, by slots from now.
	Promised [Slots]float64
	// Arriving is the memory that new requests ask for, per second.
	Arriving float64
	// Hold is the mean time for which an answer holds its memory.
	Hold time.Duration
}

// Forecast is the predicted room of a service by slots from the time of its State.
type Forecast struct {
	// ahead is the memory that a new request finds up to the end of each slot: what is free and what
	// becomes free, less what those wait for that go before it.
	ahead [Slots]float64
	// behind is the memory that a returning request finds up to the end of each slot: what new
	// requests leave.
	behind [Slots]float64
	// spare is the memory that nobody takes in each slot: neither waiting, nor new, nor promised
	// requests. Unused memory is counted once, in the first slot where it is free.
	spare [Slots]float64
}

// New predicts the room from a state.
func New(s State) *Forecast {
	f := &Forecast{}
	used := 0.0
	var freed [Slots]float64
	for _, l := range s.Running {
		used += float64(l.Memory)
		if k := slotOf(l.Left); k < Slots {
			freed[k] += float64(l.Memory)
		}
	}
	free := s.Capacity - used
	if s.Full && free > 0 && used > 0 {
		// The answers in progress keep others from all of the capacity, and leave all of it.
		for k := range freed {
			freed[k] *= s.Capacity / used
		}
	}
	if s.Full {
		free = min(free, 0)
	}
	f.predict(s, free, freed)
	return f
}

// slotOf returns the slot that contains a time from now.
func slotOf(after time.Duration) int { return int(max(0, after) / SlotLength) }

// predict passes the memory that is free or becomes free in each slot to the waiting, the new and
// the promised requests, in that order. An answer admitted in a slot frees its memory after
// State.Hold.
func (f *Forecast) predict(s State, free float64, freed [Slots]float64) {
	var admitted [Slots]float64
	hold := slotOf(s.Hold)
	waiting, promised, accounted := s.Waiting, 0.0, 0.0
	ahead, behind := free-s.Waiting, free-s.Waiting
	for k := range Slots {
		gained := freed[k]
		if hold > 0 && k >= hold {
			gained += admitted[k-hold]
		}
		free += gained
		take := func(wanted float64) float64 {
			n := max(0, min(free, wanted))
			free -= n
			admitted[k] += n
			return n
		}
		waiting -= take(waiting)
		// New requests that find no room soon are refused, and are not carried over.
		taken := take(s.Arriving * SlotLength.Seconds())
		promised += s.Promised[k]
		promised -= take(promised)
		ahead += gained
		behind += gained - taken
		f.ahead[k], f.behind[k] = ahead, behind
		f.spare[k] = max(0, free-accounted)
		accounted = max(accounted, free)
	}
}

// Wait returns the time until a new request of a size has room, false if it has none within the
// forecast.
func (f *Forecast) Wait(size int) (time.Duration, bool) { return firstWith(f.ahead, size) }

// WaitBehindNew returns the time until a returning request of a size has room that new requests
// leave, false if it has none within the forecast.
func (f *Forecast) WaitBehindNew(size int) (time.Duration, bool) { return firstWith(f.behind, size) }

// firstWith returns the begin of the first slot with room for a size.
func firstWith(room [Slots]float64, size int) (time.Duration, bool) {
	for k, r := range room {
		if r >= float64(size) {
			return time.Duration(k) * SlotLength, true
		}
	}
	return 0, false
}

// Spare returns the memory that nobody is expected to take in the slot that contains a time from
// now.
func (f *Forecast) Spare(after time.Duration) float64 {
	k := slotOf(after)
	if k >= Slots {
		return 0
	}
	return f.spare[k]
}
