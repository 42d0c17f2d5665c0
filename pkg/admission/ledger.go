package admission

import (
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
	// Paid marks a stream whose KV cache was computed already.
	Paid bool

	need    time.Time
	started bool
}

// Ledger books the memory and the batch of one decode engine. A reservation is
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

// NewLedger books for an engine with these limits.
func NewLedger(bytes int64, batch int) *Ledger {
	return &Ledger{Bytes: bytes, Batch: batch, streams: map[string]*Stream{}}
}

// Reserve books a stream whose KV cache will be there after need. It fails with
// *ErrFull when the engine will have no room then.
func (l *Ledger) Reserve(now time.Time, need time.Duration, s Stream) error {
	s.need = now.Add(need)
	if s.Bytes > l.Bytes {
		return &ErrFull{ID: s.ID, Never: true}
	}
	if l.fits(now, &s) {
		l.streams[s.ID] = &s
		return nil
	}
	return &ErrFull{ID: s.ID, RetryAfter: l.nextFree(now)}
}

// Book books a stream without asking whether it fits; it waits for its room
// when it starts.
func (l *Ledger) Book(s Stream) { l.streams[s.ID] = &s }

// fits reports whether a stream finds room at its time of need.
func (l *Ledger) fits(now time.Time, s *Stream) bool {
	batch, bytes, target := 1, s.Bytes, s.PerToken
	for _, x := range l.streams {
		if x.started && now.Add(l.left(x)).Before(s.need) {
			continue
		}
		batch++
		bytes += x.Bytes
		target = tighter(target, x.PerToken)
	}
	return batch <= l.Batch && bytes <= l.Bytes && (target == 0 || l.step(batch) <= target)
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
	return l.left(s)
}

// left is the time that a started stream still takes at most.
func (l *Ledger) left(s *Stream) time.Duration {
	return time.Duration(s.Tokens) * l.step(len(l.streams))
}

func (l *Ledger) step(batch int) time.Duration {
	return l.StepBase + time.Duration(batch)*l.StepSlope
}

// nextFree returns when the first running stream ends.
func (l *Ledger) nextFree(now time.Time) time.Duration {
	best := time.Duration(0)
	for _, s := range l.streams {
		if d := l.left(s); s.started && (best == 0 || d < best) {
			best = d
		}
	}
	return best
}

// Start reports whether a reserved stream has room now and, if so, books it as
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

// Progress books generated tokens.
func (l *Ledger) Progress(id string, tokens int) {
	if s, ok := l.streams[id]; ok {
		s.Tokens = max(0, s.Tokens-tokens)
	}
}

// Drop frees a stream's booking and reports whether there was one.
func (l *Ledger) Drop(id string) bool {
	_, ok := l.streams[id]
	delete(l.streams, id)
	return ok
}

// Usage returns what is booked: running and reserved streams and their bytes.
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

// Tightest returns the smallest per-token target of all booked streams, 0 for none.
func (l *Ledger) Tightest() time.Duration {
	var t time.Duration
	for _, s := range l.streams {
		t = tighter(t, s.PerToken)
	}
	return t
}
