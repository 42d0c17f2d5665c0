package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstProbe is the time after which one request with all parts of a quarantined set is let through,
	// to find out whether the set crashes runners still, or ever did. The time until the next one doubles
	// up to maxProbe. Each costs a runner if the set is the cause.
	firstProbe = time.Minute
	maxProbe   = 8 * time.Minute
	// repeatTime is the time for which a gateway repeats a crash in its reports, since datagrams get lost,
	// and maxRepeated the number of crashes in one report.
	repeatTime  = 10 * time.Second
	maxRepeated = 8
	// maxSets limits the quarantined sets.
	maxSets = 64
	// suspectCrashes is the number of known crashes after which a request with a part that broke off isn't
	// sent to another runner. That refuses no first attempt.
	suspectCrashes = 2
)

// SetID identifies a set of parts; 0 is none.
type SetID uint64

// ID returns the ID of the set.
func (p Parts) ID() SetID {
	sorted := slices.Clone(p)
	slices.Sort(sorted)
	return SetID(xxhash.Sum64String(sorted.String()))
}

// String returns the ID in hexadecimal.
func (id SetID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// ErrParts reports that a list of parts is malformed.
type ErrParts struct{ Text string }

// Error implements error.
func (e *ErrParts) Error() string { return fmt.Sprintf("malformed parts of a prompt: %q", e.Text) }

// ParseParts is the inverse of Parts.String. It fails with *ErrParts.
func ParseParts(text string) (Parts, error) {
	var out Parts
	for item := range strings.SplitSeq(text, ",") {
		n, err := strconv.ParseUint(item, 16, 64)
		if err != nil || len(out) == MaxParts {
			return nil, &ErrParts{Text: text[:min(len(text), 2*MaxParts)]}
		}
		out = append(out, Part(n))
	}
	return out, nil
}

// ErrPartsQuarantined reports that a request was refused because prompts with these parts crashed runners.
type ErrPartsQuarantined struct {
	Parts Parts
	// Left is the remaining time of the quarantine.
	Left time.Duration
}

// Error implements error.
func (e *ErrPartsQuarantined) Error() string {
	return fmt.Sprintf("quarantined, since runners crashed on prompts with parts of this one: parts=%s left=%s", e.Parts, e.Left)
}

// ErrSuspectedParts reports that a request isn't sent to another runner after it broke off, because its
// prompt has a part that may crash runners.
type ErrSuspectedParts struct{ Parts Parts }

// Error implements error.
func (e *ErrSuspectedParts) Error() string {
	return fmt.Sprintf("not sent again, since runners crashed on prompts with parts of this one: parts=%s", e.Parts)
}

// quarantinedSet is a set of parts that is quarantined.
type quarantinedSet struct {
	term
	parts Parts
	since time.Time
	// probeAt is when the next request is let through, probeInterval the time until the one after it.
	probeAt       time.Time
	probeInterval time.Duration
}

// PartTable decides which parts of prompts crash runners, from the evidence of all gateways. It is safe for
// concurrent use.
type PartTable struct {
	jitter func(time.Duration) time.Duration
	// owns reports whether this gateway, of all, owns a set: it writes it to the store at once, and lets
	// through the requests that probe it.
	owns func(SetID) bool
	// active is the number of crashes and quarantined sets. Empty reads it without taking the lock.
	active atomic.Int64
	mu     sync.Mutex
	evidence
	sets map[SetID]*quarantinedSet
	// own holds the latest crashes that this gateway recorded itself.
	own []Crash
	// lifted holds the sets that are to be removed from the store.
	lifted []SetID
}

// NewPartTable returns an empty table. jitter randomizes a delay, owns reports whether this gateway, of all,
// owns a set.
func NewPartTable(jitter func(time.Duration) time.Duration, owns func(SetID) bool) *PartTable {
	return &PartTable{jitter: jitter, owns: owns, evidence: evidence{sound: map[Part]time.Time{}}, sets: map[SetID]*quarantinedSet{}}
}

// Empty reports whether the table has neither crashes nor quarantined sets.
func (t *PartTable) Empty() bool { return t.active.Load() == 0 }

// RecordCrash records a crash that this gateway found, and returns the report for the others. It repeats
// the latest crashes.
func (t *PartTable) RecordCrash(c Crash) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.count()
	if !t.addCrash(c, c.At) {
		return Evidence{}
	}
	t.own = slices.DeleteFunc(append(t.own, c), func(have Crash) bool { return c.At.Sub(have.At) > repeatTime })
	t.own = t.own[max(0, len(t.own)-maxRepeated):]
	return Evidence{Crashes: slices.Clone(t.own)}
}

// RecordSound records that a runner wrote events to a prompt. It returns the report for the other gateways,
// which is empty unless crashes counted against one of the parts.
func (t *PartTable) RecordSound(parts Parts, now time.Time) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.count()
	return t.recordSoundParts(parts, now)
}

// recordSoundParts is RecordSound. The caller holds the lock.
func (t *PartTable) recordSoundParts(parts Parts, now time.Time) Evidence {
	t.recordServed(now)
	var e Evidence
	for _, p := range parts {
		if t.suspected(p, now) || t.inQuarantinedSet(p) {
			s := Sound{Part: p, At: now}
			t.recordSound(s)
			e.Sound = append(e.Sound, s)
		}
	}
	if len(e.Sound) > 0 {
		t.liftSound(now)
	}
	return e
}

// Receive merges the evidence of another gateway, and returns the sets that are quarantined for it.
func (t *PartTable) Receive(e Evidence, now time.Time) []Blame {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.count()
	for _, c := range e.Crashes {
		t.addCrash(c, now)
	}
	for _, s := range e.Sound {
		t.recordSound(s)
	}
	t.liftSound(now)
	var out []Blame
	for _, b := range e.Blames {
		if t.adopt(b, now) {
			out = append(out, b)
		}
	}
	return out
}

// Decide quarantines the sets of parts that the evidence suffices to blame, and returns them.
func (t *PartTable) Decide(now time.Time) []Blame {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.count()
	t.prune(now)
	var out []Blame
	for len(t.sets) < maxSets {
		set, ok := t.strongest(func(c Crash) bool { return t.quarantinedBy(c.Parts, now) != nil }, now)
		if !ok {
			break
		}
		t.quarantine(set.parts, set.since, Duration, now)
		out = append(out, Blame{Parts: set.parts, Since: set.since, Left: Duration, Crashes: set.crashes})
	}
	return out
}

// Check returns *ErrPartsQuarantined if a prompt holds a quarantined set, unless it is let through as a
// probe. It returns the set that the request probes, which is passed to the next check of the same request.
func (t *PartTable) Check(parts Parts, probing SetID, now time.Time) (SetID, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.sets {
		if s.over(now) || !parts.contains(s.parts) || id == probing {
			continue
		}
		if probing != 0 || now.Before(s.probeAt) || !t.owns(id) || t.holdsOther(parts, id, now) {
			return probing, &ErrPartsQuarantined{Parts: s.parts, Left: s.until.Sub(now)}
		}
		s.scheduleProbe(now)
		return id, nil
	}
	return probing, nil
}

// holdsOther reports whether a prompt holds another quarantined set than the given one, so that it shows
// nothing of that one. The caller holds the lock.
func (t *PartTable) holdsOther(parts Parts, set SetID, now time.Time) bool {
	for id, s := range t.sets {
		if id != set && !s.over(now) && parts.contains(s.parts) {
			return true
		}
	}
	return false
}

// CheckRepeat returns *ErrSuspectedParts if a request that broke off must not be sent to another runner.
func (t *PartTable) CheckRepeat(parts Parts) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		var counted []Crash
		for _, c := range t.crashes {
			if t.counts(c, p) {
				counted = append(counted, c)
			}
		}
		if distinctCrashes(counted) >= suspectCrashes {
			return &ErrSuspectedParts{Parts: Parts{p}}
		}
	}
	return nil
}

// Quarantined returns the quarantined sets.
func (t *PartTable) Quarantined(now time.Time) []Blame {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Blame
	for _, id := range slices.Sorted(maps.Keys(t.sets)) {
		if s := t.sets[id]; !s.over(now) {
			out = append(out, s.blame(now))
		}
	}
	return out
}

// ErrUnknownSet reports that a set of parts is not quarantined.
type ErrUnknownSet struct{ Set SetID }

// Error implements error.
func (e *ErrUnknownSet) Error() string {
	return "set of parts is not quarantined: set=" + e.Set.String()
}

// Lift ends the quarantine of a set, because an operator found its parts to be sound, and returns the report
// for the other gateways. Crashes until now no longer count against the parts. It fails with *ErrUnknownSet.
func (t *PartTable) Lift(id SetID, now time.Time) (Evidence, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.count()
	s := t.sets[id]
	if s == nil || s.over(now) {
		return Evidence{}, &ErrUnknownSet{Set: id}
	}
	return t.recordSoundParts(s.parts, now), nil
}

// DueForPublish returns the quarantined sets that are due to be written to the store. Each is returned again
// after a backoff until RecordPublished is called for it.
func (t *PartTable) DueForPublish(now time.Time) []Blame {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Blame
	for _, s := range t.sets {
		if s.due(now, t.jitter) {
			out = append(out, s.blame(now))
		}
	}
	return out
}

// TakeLifted returns the sets that are no longer quarantined and are to be removed from the store.
func (t *PartTable) TakeLifted() []SetID {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.lifted
	t.lifted = nil
	return out
}

// RecordPublished records that the quarantine of a set is in the store. It reports whether it is new to this
// gateway.
func (t *PartTable) RecordPublished(parts Parts, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.count()
	s := t.sets[parts.ID()]
	if s == nil {
		if len(parts) == 0 || len(t.sets) >= maxSets {
			return false
		}
		s = &quarantinedSet{parts: parts, since: now, probeInterval: firstProbe}
		s.scheduleProbe(now)
		t.sets[parts.ID()] = s
	}
	return s.recordRead(now)
}

// RecordRemoved records that the quarantine of a set is no longer in the store. It ends if it was only read
// from there; otherwise it is written again.
func (t *PartTable) RecordRemoved(id SetID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.count()
	s := t.sets[id]
	if s == nil || !s.published {
		return
	}
	if s.endKnown {
		s.rewrite(now.Add(t.jitter(publishDelay)))
		return
	}
	delete(t.sets, id)
}

// Republish schedules all published quarantines to be written to the store again.
func (t *PartTable) Republish(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sets {
		if s.published {
			s.rewrite(now.Add(t.jitter(publishDelay)))
		}
	}
}

// Sweep removes what has expired.
func (t *PartTable) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.count()
	t.prune(now)
	maps.DeleteFunc(t.sets, func(_ SetID, s *quarantinedSet) bool { return s.over(now) })
}

// addCrash records a crash and reports whether it is new. One of a prompt with a quarantined set extends
// its quarantine. The caller holds the lock.
func (t *PartTable) addCrash(c Crash, now time.Time) bool {
	if now.Sub(c.At) > Duration || !t.add(c) {
		return false
	}
	if s := t.quarantinedBy(c.Parts, now); s != nil && c.At.After(s.since) {
		s.until = now.Add(Duration)
		if earliest := now.Add(firstProbe); s.probeAt.Before(earliest) {
			s.probeAt = earliest // Another gateway has probed the set, and may own it no longer.
		}
	}
	return true
}

// quarantinedBy returns a quarantined set that a prompt holds; nil for none. The caller holds the lock.
func (t *PartTable) quarantinedBy(parts Parts, now time.Time) *quarantinedSet {
	for _, s := range t.sets {
		if !s.over(now) && parts.contains(s.parts) {
			return s
		}
	}
	return nil
}

// inQuarantinedSet reports whether a quarantined set has a part. The caller holds the lock.
func (t *PartTable) inQuarantinedSet(p Part) bool {
	for _, s := range t.sets {
		if slices.Contains(s.parts, p) {
			return true
		}
	}
	return false
}

// adopt quarantines a set that another gateway blamed, without the parts that are known to be sound. It
// reports whether the set is new. The caller holds the lock.
func (t *PartTable) adopt(b Blame, now time.Time) bool {
	parts := t.unsound(b.Parts, b.Since)
	if len(parts) == 0 || b.Left <= 0 || len(t.sets) >= maxSets || t.quarantinedBy(parts, now) != nil {
		return false
	}
	t.quarantine(parts, b.Since, min(b.Left, Duration), now)
	return true
}

// quarantine starts the quarantine of a set. All gateways decide at about the same time, so that only one
// writes the set to the store at once. The caller holds the lock.
func (t *PartTable) quarantine(parts Parts, since time.Time, left time.Duration, now time.Time) {
	publishAt := now
	if !t.owns(parts.ID()) {
		publishAt = now.Add(t.jitter(publishDelay))
	}
	s := &quarantinedSet{parts: parts, since: since, probeInterval: firstProbe}
	s.start(now.Add(left), publishAt)
	s.scheduleProbe(now)
	t.sets[parts.ID()] = s
}

// liftSound removes the parts that were sound since from the quarantined sets, and ends the quarantine of a
// set if none is left. The caller holds the lock.
func (t *PartTable) liftSound(now time.Time) {
	for id, s := range t.sets {
		parts := t.unsound(s.parts, s.since)
		if len(parts) == len(s.parts) {
			continue
		}
		delete(t.sets, id)
		t.lifted = append(t.lifted, id)
		if len(parts) > 0 && !s.over(now) && t.quarantinedBy(parts, now) == nil {
			t.quarantine(parts, s.since, s.until.Sub(now), now)
		}
	}
}

// unsound returns the parts that were not sound after a time. The caller holds the lock.
func (t *PartTable) unsound(parts Parts, since time.Time) Parts {
	var out Parts
	for _, p := range parts {
		if !t.sound[p].After(since) {
			out = append(out, p)
		}
	}
	return out
}

// count updates active. The caller holds the lock.
func (t *PartTable) count() { t.active.Store(int64(len(t.crashes) + len(t.sets))) }

// scheduleProbe schedules the next probe.
func (s *quarantinedSet) scheduleProbe(now time.Time) {
	s.probeAt = now.Add(s.probeInterval)
	s.probeInterval = min(2*s.probeInterval, maxProbe)
}

// blame returns the set for other gateways and the store.
func (s *quarantinedSet) blame(now time.Time) Blame {
	return Blame{Parts: s.parts, Since: s.since, Left: s.until.Sub(now)}
}
