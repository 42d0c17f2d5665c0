package admission

import (
	"slices"
	"time"
)

// Stream is one decode that holds memory or has reserved it.
type Stream struct {
	// ID identifies the attempt.
	ID string
	// Bytes is the size of the KV cache of the prompt and the longest possible
	// response.
	Bytes int64
	// Tokens is the maximum number of tokens still to be generated.
	Tokens int
	// PerToken is the target for the time between tokens, 0 for none.
	PerToken time.Duration

	plannedStart time.Time
	started      bool
}

// Ledger records the memory and the batch slots of one decode engine. A
// reservation takes its slot and memory only from the estimated time at which
// the stream's KV cache is ready, so until then other streams can use them.
type Ledger struct {
	// Bytes and Batch are the engine's limits: KV cache memory, and streams in
	// a batch.
	Bytes int64
	Batch int
	// StepBase and StepSlope give the time of a decode step: base + slope × batch.
	StepBase, StepSlope time.Duration

	streams map[string]*Stream
}

// NewLedger returns an empty ledger for an engine with these limits.
func NewLedger(bytes int64, batch int) *Ledger {
	return &Ledger{Bytes: bytes, Batch: batch, streams: map[string]*Stream{}}
}

// Reserve records a stream whose KV cache will be ready after the duration need
// and whose start may be delayed beyond that by up to slack. It returns the
// expected delay, or *ErrFull when the engine will have no room in time.
func (l *Ledger) Reserve(now time.Time, need, slack time.Duration, s Stream) (time.Duration, error) {
	if s.Bytes > l.Bytes {
		return 0, &ErrFull{ID: s.ID, Never: true}
	}
	s.plannedStart = now.Add(need)
	latest := s.plannedStart.Add(max(slack, 0))
	for _, at := range l.startTimes(now, s.plannedStart, latest) {
		if l.fits(now, at, &s) {
			wait := at.Sub(s.plannedStart)
			s.plannedStart = at
			l.streams[s.ID] = &s
			return wait, nil
		}
	}
	return 0, &ErrFull{ID: s.ID, RetryAfter: l.nextFree(now)}
}

// startTimes returns the candidate start times of a stream: when its KV cache
// is ready, and whenever another stream ends between then and latest.
func (l *Ledger) startTimes(now, ready, latest time.Time) []time.Time {
	out := []time.Time{ready}
	for _, x := range l.streams {
		if end := l.end(now, x); end.After(ready) && !end.After(latest) {
			out = append(out, end)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// Add records a stream without checking whether it fits. Start refuses the
// stream until it fits.
func (l *Ledger) Add(s Stream) { l.streams[s.ID] = &s }

// fits reports whether a stream that starts at a given time has room until its
// end. Room is smallest at its start or at the start of a stream reserved for
// later, so only those times are checked.
func (l *Ledger) fits(now, at time.Time, s *Stream) bool {
	end := at.Add(l.duration(s))
	if !l.roomAt(now, at, s) {
		return false
	}
	for _, x := range l.streams {
		if !x.started && x.plannedStart.After(at) && x.plannedStart.Before(end) && !l.roomAt(now, x.plannedStart, s) {
			return false
		}
	}
	return true
}

// roomAt reports whether a stream fits beside the streams that will be running
// at a given time. The per-token target is not checked for a stream that runs
// alone: if the engine is too slow, only that stream is slow.
func (l *Ledger) roomAt(now, at time.Time, s *Stream) bool {
	batch, bytes, target := 1, s.Bytes, s.PerToken
	for _, x := range l.streams {
		if !x.started && x.plannedStart.After(at) || !l.end(now, x).After(at) {
			continue
		}
		batch++
		bytes += x.Bytes
		target = minTarget(target, x.PerToken)
	}
	slow := batch > 1 && target > 0 && l.stepTime(batch) > target
	return batch <= l.Batch && bytes <= l.Bytes && !slow
}

// end returns the latest time at which a stream will have ended.
func (l *Ledger) end(now time.Time, s *Stream) time.Time {
	if s.started || s.plannedStart.Before(now) {
		return now.Add(l.duration(s))
	}
	return s.plannedStart.Add(l.duration(s))
}

func minTarget(a, b time.Duration) time.Duration {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// Left returns the maximum time until a running stream ends, 0 if the stream is
// unknown or has not started (Duration also covers streams that have not
// started).
func (l *Ledger) Left(id string) time.Duration {
	s, ok := l.streams[id]
	if !ok || !s.started {
		return 0
	}
	return l.duration(s)
}

// Duration returns the maximum time for a stream's remaining tokens, whether or
// not it has started, 0 if the stream is unknown.
func (l *Ledger) Duration(id string) time.Duration {
	s, ok := l.streams[id]
	if !ok {
		return 0
	}
	return l.duration(s)
}

// duration returns the maximum time that a stream's remaining tokens take.
func (l *Ledger) duration(s *Stream) time.Duration {
	return time.Duration(s.Tokens) * l.stepTime(min(len(l.streams), l.Batch))
}

func (l *Ledger) stepTime(batch int) time.Duration {
	return l.StepBase + time.Duration(batch)*l.StepSlope
}

// nextFree returns the estimated time until the first running stream ends.
func (l *Ledger) nextFree(now time.Time) time.Duration {
	best := time.Duration(0)
	for _, s := range l.streams {
		if d := l.duration(s); s.started && (best == 0 || d < best) {
			best = d
		}
	}
	return best
}

// Start reports whether a reserved stream has room now and, if so, records it
// as running. The caller tries streams in the order in which their KV caches
// became ready.
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

// Drop removes a stream and reports whether it was recorded.
func (l *Ledger) Drop(id string) bool {
	_, ok := l.streams[id]
	delete(l.streams, id)
	return ok
}

// Usage returns the number of running streams, the number of reserved streams,
// and the KV cache bytes of both.
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

// SlotTime estimates the time until a slot is free, 0 while one is free.
func (l *Ledger) SlotTime(now time.Time) time.Duration {
	if len(l.streams) < l.Batch {
		return 0
	}
	return l.nextFree(now)
}
