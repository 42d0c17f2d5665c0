package quarantine

import (
	"slices"
	"time"
)

// Crash records that a runner crashed while it ran a request to which it had not written an event. The
// request may be the cause: a runner crashes as it begins to write the response.
type Crash struct {
	// Runner identifies one incarnation of a runner. Several gateways report the same crash.
	Runner uint64
	// Request identifies the request by its content.
	Request uint64
	Parts   Parts
	At      time.Time
}

// Sound records that a runner wrote events to a prompt with a part. The part does not crash runners.
type Sound struct {
	Part Part
	At   time.Time
}

// Blame is a set of parts that crash runners when a prompt holds all of them.
type Blame struct {
	Parts Parts
	// Since is the time of the first crash that counts against the set.
	Since time.Time
	// Left is the remaining time of the quarantine.
	Left time.Duration
	// Crashes is the number of crashes that count against the set; 0 if another gateway blamed it.
	Crashes int
}

// Evidence is what gateways report to each other about parts of prompts.
type Evidence struct {
	Crashes []Crash
	Sound   []Sound
	Blames  []Blame
}

const (
	// minCrashes is the number of crashes after which a set of parts is blamed, as that of a whole
	// request.
	minCrashes = 3
	// minRequests is the number of different requests in these crashes. One request that its client
	// repeats is quarantined as a whole.
	minRequests = 2
	// observeTime is the least time from the first of these crashes until a set is blamed. A part that
	// many requests share shows meanwhile that it is sound, at any gateway: the first events of a
	// response take some tenths of a second.
	observeTime = time.Second
	// unservedSpan is the least time from the first to the last of these crashes if no request was served
	// meanwhile. Runners that all crash at once, whatever the cause, break all requests.
	unservedSpan = 3 * time.Second
	// maxCrashes limits the requests in the table, at up to 600 bytes each.
	maxCrashes = 512
)

// evidence holds the requests of recent crashes, and the parts that were sound since.
type evidence struct {
	// crashes are ordered by time.
	crashes []Crash
	// sound is the last known time at which each suspected part was sound.
	sound map[Part]time.Time
	// served is the last known time at which a runner wrote events, to any prompt.
	served time.Time
}

// add records a crash and reports whether it is new. The same request at the same incarnation of a runner
// counts once.
func (e *evidence) add(c Crash) bool {
	if len(c.Parts) == 0 || slices.ContainsFunc(e.crashes, func(have Crash) bool { return have.Runner == c.Runner && have.Request == c.Request }) {
		return false
	}
	at, _ := slices.BinarySearchFunc(e.crashes, c, func(have, c Crash) int { return have.At.Compare(c.At) })
	e.crashes = slices.Insert(e.crashes, at, c)
	if len(e.crashes) > maxCrashes {
		e.crashes = e.crashes[1:]
	}
	return true
}

// suspected reports whether a crash until a time counts against a part.
func (e *evidence) suspected(p Part, until time.Time) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return e.counts(c, p) && !c.At.After(until) })
}

// recordSound records that a part was sound at a time.
func (e *evidence) recordSound(s Sound) {
	e.recordServed(s.At)
	if s.At.After(e.sound[s.Part]) {
		e.sound[s.Part] = s.At
	}
}

// counts reports whether a crash counts against a part: the request holds it, and it was not sound since.
func (e *evidence) counts(c Crash, p Part) bool {
	return c.At.After(e.sound[p]) && slices.Contains(c.Parts, p)
}

// recordServed records that a runner wrote events at a time.
func (e *evidence) recordServed(at time.Time) {
	if at.After(e.served) {
		e.served = at
	}
}

// prune removes crashes that are older than Duration, and when parts were sound that no crash has. That is
// kept for repeatTime at least, since reports of earlier crashes may arrive late.
func (e *evidence) prune(now time.Time) {
	for len(e.crashes) > 0 && now.Sub(e.crashes[0].At) > Duration {
		e.crashes = e.crashes[1:]
	}
	for p, at := range e.sound {
		if now.Sub(at) > repeatTime && !slices.ContainsFunc(e.crashes, func(c Crash) bool { return slices.Contains(c.Parts, p) }) {
			delete(e.sound, p)
		}
	}
}

// suspectSet is a set of parts that explains crashes.
type suspectSet struct {
	parts   Parts
	since   time.Time
	crashes int
}

// strongest returns the set of parts that most likely caused the crashes for which explained is false,
// and false if there is none. It prefers the larger set, which is the one that refuses the fewest
// requests: parts that occurred together in all crashes are not blamed one by one, because nothing shows
// which of them is the cause.
func (e *evidence) strongest(explained func(Crash) bool, now time.Time) (best suspectSet, ok bool) {
	open := slices.DeleteFunc(slices.Clone(e.crashes), explained)
	seen := map[Part]bool{}
	for _, c := range open {
		for _, p := range c.Parts {
			if seen[p] {
				continue
			}
			seen[p] = true
			set, blamable := e.setOf(p, open, now)
			if blamable && (!ok || len(set.parts) > len(best.parts) || len(set.parts) == len(best.parts) && set.crashes > best.crashes) {
				best, ok = set, true
			}
		}
	}
	return best, ok
}

// setOf returns the largest set of parts with p that explains the crashes which count against p, and
// whether they suffice to blame it.
func (e *evidence) setOf(p Part, open []Crash, now time.Time) (suspectSet, bool) {
	var counted []Crash
	for _, c := range open {
		if e.counts(c, p) {
			counted = append(counted, c)
		}
	}
	if len(counted) == 0 || now.Sub(counted[0].At) < observeTime || distinctRequests(counted) < minRequests {
		return suspectSet{}, false
	}
	first, last := counted[0].At, counted[len(counted)-1].At
	if !e.served.After(first) && last.Sub(first) < unservedSpan {
		return suspectSet{}, false
	}
	set := suspectSet{since: first, crashes: distinctCrashes(counted)}
	if set.crashes < minCrashes {
		return suspectSet{}, false
	}
	set.parts = e.common(counted, set.since)
	return set, true
}

// common returns the parts that the crashes of requests have in common and that were not sound after a
// time, in ascending order. If several requests ran at a runner that crashed, one with the parts
// suffices.
func (e *evidence) common(counted []Crash, since time.Time) Parts {
	byRunner := map[uint64][]Parts{}
	for _, c := range counted {
		byRunner[c.Runner] = append(byRunner[c.Runner], c.Parts)
	}
	var out Parts
	for _, p := range counted[0].Parts {
		if !e.sound[p].After(since) {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	out = slices.Compact(out)
	for _, requests := range byRunner {
		var largest Parts
		for _, parts := range requests {
			if shared := intersection(out, parts); len(shared) > len(largest) {
				largest = shared
			}
		}
		out = largest
	}
	return out
}

func intersection(a, b Parts) Parts {
	var out Parts
	for _, p := range a {
		if slices.Contains(b, p) {
			out = append(out, p)
		}
	}
	return out
}

func distinctRequests(list []Crash) int {
	seen := map[uint64]bool{}
	for _, c := range list {
		seen[c.Request] = true
	}
	return len(seen)
}

// distinctCrashes returns the number of runners that crashed. Those within one simultaneousWindow count
// as one: a rack that loses power.
func distinctCrashes(list []Crash) int {
	seen, n := map[uint64]bool{}, 0
	var windowStart time.Time
	for _, c := range list {
		if seen[c.Runner] {
			continue
		}
		seen[c.Runner] = true
		if n == 0 || c.At.Sub(windowStart) > simultaneousWindow {
			n++
			windowStart = c.At
		}
	}
	return n
}

// contains reports whether a prompt holds all parts of a set.
func (p Parts) contains(set Parts) bool {
	return !slices.ContainsFunc(set, func(part Part) bool { return !slices.Contains(p, part) })
}
