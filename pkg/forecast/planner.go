package forecast

import (
	"math"
	"sync"
	"time"
)

const (
	// arrivalTime is the time in which the weight of an arrival falls to a third (1/e).
	arrivalTime = time.Second
	// initialUsable is the share of the engines' memory that is assumed to be usable until requests
	// have waited. Memory stays unused since it is divided among engines, and as a margin for
	// answers longer than expected. usableWeight is the weight of the newest observation.
	initialUsable = 0.9
	usableWeight  = 0.05
	// reuse is how long a forecast is reused.
	reuse = 50 * time.Millisecond
	// maxHeard is the number of gateways that use one engine at most. If there are more, the
	// promises and arrivals of the gateways that are heard concern more engines than this
	// gateway's.
	maxHeard = 24
)

// Observation is what a planner learns of its service: memory is in tokens.
type Observation struct {
	// Capacity is the memory of the engines that this gateway uses.
	Capacity int
	Running  []Load
	// Here is the number of requests that wait in this gateway's queue, and Waiting their memory.
	Here, Waiting int
	// Peers is the number of requests that wait at other gateways, and Gateways the number of
	// gateways that share the engines, with this one.
	Peers, Gateways int
}

// Planner decides for one service which requests wait for room, and when refused clients come back.
// It is safe for concurrent use.
type Planner struct {
	Promises *Promises
	Serving  Serving

	mu sync.Mutex
	// arrivals is the decayed memory that new requests asked for, as of arrivedAt; size is the mean
	// memory of a request.
	arrivals  float64
	arrivedAt time.Time
	size      float64
	// usable is the learned share of the engines' memory that is in use when requests wait.
	usable float64
	// forecast is the last forecast, made from state, which was observed at a time. promisedMemory is
	// the memory that each promise counts with in it, and taken the spare memory that returns took.
	forecast       *Forecast
	state          State
	at             time.Time
	promisedMemory float64
	taken          float64
}

// NewPlanner returns a planner that has learned nothing.
func NewPlanner() *Planner { return &Planner{Promises: NewPromises(), usable: initialUsable} }

// Arrived records a new request and the memory that it asks for.
func (p *Planner) Arrived(memory int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = p.decayed(now) + float64(memory)
	p.arrivedAt = now
	if p.size == 0 {
		p.size = float64(memory)
	}
	p.size += (float64(memory) - p.size) * usableWeight
}

func (p *Planner) decayed(now time.Time) float64 {
	return p.arrivals * math.Exp(-max(0, now.Sub(p.arrivedAt).Seconds())/arrivalTime.Seconds())
}

// Forecast returns the forecast for the service. observe is called if the last one is too old.
func (p *Planner) Forecast(observe func() Observation, now time.Time) *Forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forecast != nil && now.Sub(p.at) < reuse {
		return p.forecast
	}
	o := observe()
	used := 0.0
	for _, l := range o.Running {
		used += float64(l.Memory)
	}
	if o.Here > 0 && o.Capacity > 0 {
		p.usable += (min(1, used/float64(o.Capacity)) - p.usable) * usableWeight
	}
	share := 1.0
	if o.Gateways > maxHeard {
		share = float64(maxHeard) / float64(o.Gateways)
	}
	state := State{
		Capacity: p.usable * float64(o.Capacity), Running: o.Running, Full: o.Here > 0,
		Waiting:  float64(o.Waiting) + share*float64(o.Peers)*p.size,
		Arriving: p.decayed(now) / arrivalTime.Seconds() * float64(max(1, o.Gateways)) * share,
		Hold:     meanHold(o.Running),
	}
	p.promisedMemory = share * p.size
	for k, n := range p.Promises.Due(now) {
		state.Promised[k] = n * p.promisedMemory
	}
	p.state, p.forecast, p.at, p.taken = state, New(state), now, 0
	return p.forecast
}

// TakeSpare reports whether memory for a returning request is spare now, and takes it until the next
// observation: all returns that wait look at the same forecast.
func (p *Planner) TakeSpare(f *Forecast, memory int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Spare(0)-p.taken < float64(memory) {
		return false
	}
	p.taken += float64(memory)
	return true
}

// GiveBack returns spare memory that was taken but found no engine.
func (p *Planner) GiveBack(memory int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken = max(0, p.taken-float64(memory))
}

// meanHold returns the mean time for which an answer holds its memory. Running answers have on
// average half of it left.
func meanHold(running []Load) time.Duration {
	if len(running) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, l := range running {
		sum += l.Left
	}
	return 2 * sum / time.Duration(len(running))
}

// Return is when a refused client should come back.
type Return struct {
	After time.Duration
	// Kept says that room is expected then and is kept for the client.
	Kept bool
}

// lastShare is the part of the allowed time in which clients come back if no room is expected in
// it: the load may have fallen by then.
const lastShare = 0.25

// Promise chooses when a refused client comes back, between the shortest and the longest time, and
// records it. Slots are chosen at random in proportion to their spare memory, since other
// gateways choose from nearly the same forecast at the same time. random returns numbers from 0
// to 1.
func (p *Planner) Promise(f *Forecast, memory int, shortest, longest time.Duration, random func() float64, now time.Time) Return {
	out := Return{After: choose(f, memory, shortest, longest, random)}
	if out.After > 0 {
		out.Kept = true
	} else {
		from := max(shortest, longest-time.Duration(lastShare*float64(longest)))
		out.After = from + time.Duration(random()*float64(max(0, longest-from)))
	}
	p.Promises.Add(now.Add(out.After))
	p.mu.Lock()
	defer p.mu.Unlock()
	// Until the next observation, this gateway's next promises take this one into account.
	if k := slotOf(now.Add(out.After).Sub(p.at)); p.forecast != nil && k < Slots {
		p.state.Promised[k] += p.promisedMemory
		p.forecast = New(p.state)
	}
	return out
}

// choose returns a time at which room is expected, 0 if there is none.
func choose(f *Forecast, memory int, shortest, longest time.Duration, random func() float64) time.Duration {
	total := 0.0
	var weights [Slots]float64
	for k := range Slots {
		from := time.Duration(k) * SlotLength
		if from < shortest || from+SlotLength > longest {
			continue
		}
		weights[k] = f.spare[k]
		total += weights[k]
	}
	if total < float64(memory) {
		return 0
	}
	at := random() * total
	for k, w := range weights {
		if at < w {
			return time.Duration((float64(k) + at/w) * float64(SlotLength))
		}
		at -= w
	}
	return 0
}
