package admission

import (
	"slices"
	"time"
)

// Stream is one decode that holds or will hold memory.
type Stream struct {
	// ID is the attempt's.
	ID string
	// Bytes is the KV cache of the whole answer.
	Bytes int64
	// Tokens is how many tokens are still to come at most.
	Tokens int
	// PerToken is its target for the time between tokens.
	PerToken time.Duration

	need    time.Time
	started bool
}

// Ledger records the memory and the batch of one decode engine. A reservation is
// for the moment when its KV cache will have been computed, so that a slot
// which frees until then need not stand empty.
type Ledger struct {
	// Bytes and Batch are the engine's limits.
	Bytes int64
	Batch int
	// StepBase and StepSlope give the step time: base + slope × batch.
	StepBase, StepSlope time.Duration

	streams map[string]*Stream
}

// NewLedger records for an engine with these limits.
func NewLedger(bytes int64, batch int) *Ledger {
	return &Ledger{Bytes: bytes, Batch: batch, streams: map[string]*Stream{}}
}

// Reserve records a stream whose KV cache will be there after need and whose start
// may wait for slack beyond that. It returns how long it will wait, or *ErrFull
// when the engine will have no room in time.
func (l *Ledger) Reserve(now time.Time, need, slack time.Duration, s Stream) (time.Duration, error) {
	if s.Bytes > l.Bytes {
		return 0, &ErrFull{ID: s.ID, Never: true}
	}
	s.need = now.Add(need)
	latest := s.need.Add(max(slack, 0))
	for _, at := range l.starts(now, s.need, latest) {
		if l.fits(now, at, &s) {
			wait := at.Sub(s.need)
			s.need = at
			l.streams[s.ID] = &s
			return wait, nil
		}
	}
	return 0, &ErrFull{ID: s.ID, RetryAfter: l.nextFree(now)}
}

// starts returns the times at which a stream could begin: when it is ready, and
// whenever another one ends after that.
func (l *Ledger) starts(now, ready, latest time.Time) []time.Time {
	out := []time.Time{ready}
	for _, x := range l.streams {
		if end := l.end(now, x); end.After(ready) && !end.After(latest) {
			out = append(out, end)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// Add records a stream without asking whether it fits; it waits for its room
// when it starts.
func (l *Ledger) Add(s Stream) { l.streams[s.ID] = &s }

// fits reports whether a stream that begins at a time finds room until its end.
// The room is tightest at its begin or at the begin of a stream reserved for
// later, so only those times are looked at.
func (l *Ledger) fits(now, at time.Time, s *Stream) bool {
	end := at.Add(l.duration(s))
	if !l.roomAt(now, at, s) {
		return false
	}
	for _, x := range l.streams {
		if !x.started && x.need.After(at) && x.need.Before(end) && !l.roomAt(now, x.need, s) {
			return false
		}
	}
	return true
}

// roomAt reports whether a stream fits beside those that are there at a time. An
// empty engine takes any stream: if it is too slow, only that one suffers.
func (l *Ledger) roomAt(now, at time.Time, s *Stream) bool {
	batch, bytes, target := 1, s.Bytes, s.PerToken
	for _, x := range l.streams {
		if !x.started && x.need.After(at) || !l.end(now, x).After(at) {
			continue
		}
		batch++
		bytes += x.Bytes
		target = tighter(target, x.PerToken)
	}
	slow := batch > 1 && target > 0 && l.step(batch) > target
	return batch <= l.Batch && bytes <= l.Bytes && !slow
}

// end is when a stream will have ended at the latest.
func (l *Ledger) end(now time.Time, s *Stream) time.Time {
	if s.started || s.need.Before(now) {
		return now.Add(l.duration(s))
	}
	return s.need.Add(l.duration(s))
}

func tighter(a, b time.Duration) time.Duration {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// Left returns the time that a stream still takes at most; 0 for an unknown one.
func (l *Ledger) Left(id string) time.Duration {
	s, ok := l.streams[id]
	if !ok || !s.started {
		return 0
	}
	return l.duration(s)
}

// Duration returns the time that a stream takes at most once it runs; 0 for an
// unknown one.
func (l *Ledger) Duration(id string) time.Duration {
	s, ok := l.streams[id]
	if !ok {
		return 0
	}
	return l.duration(s)
}

// duration is the time that a stream's remaining tokens take at most.
func (l *Ledger) duration(s *Stream) time.Duration {
	return time.Duration(s.Tokens) * l.step(min(len(l.streams), l.Batch))
}

func (l *Ledger) step(batch int) time.Duration {
	return l.StepBase + time.Duration(batch)*l.StepSlope
}

// nextFree returns when the first running stream ends.
func (l *Ledger) nextFree(now time.Time) time.Duration {
	best := time.Duration(0)
	for _, s := range l.streams {
		if d := l.duration(s); s.started && (best == 0 || d < best) {
			best = d
		}
	}
	return best
}

// Start reports whether a reserved stream has room now and, if so, records it as
// running. Streams that were due earlier go first.
func (l *Ledger) Start(id string) bool {
	s, ok := l.streams[id]
	if !ok || s.started {
		return ok
	}
	batch, bytes := 1, s.Bytes
	for _, x := range l.streams {
		if x.started {
			batch++
			bytes += x.Bytes
		}
	}
	if batch > l.Batch || bytes > l.Bytes {
		return false
	}
	s.started = true
	return true
}

// Progress records generated tokens.
func (l *Ledger) Progress(id string, tokens int) {
	if s, ok := l.streams[id]; ok {
		s.Tokens = max(0, s.Tokens-tokens)
	}
}

// Drop frees a stream's reservation and reports whether there was one.
func (l *Ledger) Drop(id string) bool {
	_, ok := l.streams[id]
	delete(l.streams, id)
	return ok
}

// Usage returns what is recorded: running and reserved streams and their bytes.
func (l *Ledger) Usage() (running, reserved int, bytes int64) {
	for _, s := range l.streams {
		bytes += s.Bytes
		if s.started {
			running++
			continue
		}
		reserved++
	}
	return running, reserved, bytes
}

// SlotTime estimates the time until a slot is free: 0 while there is one.
func (l *Ledger) SlotTime(now time.Time) time.Duration {
	if len(l.streams) < l.Batch {
		return 0
	}
	return l.nextFree(now)
}
