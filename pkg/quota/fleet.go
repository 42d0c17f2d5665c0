package quota

import (
	"cmp"
	"slices"
	"time"
)

// fleet is the gateways that share the buckets.
type fleet struct {
	others map[string]*gateway
	// grace is how long after a gateway was heard of it is taken to be there.
	grace time.Duration
	// credited is up to when buckets are filled, in seconds: each gateway adds its part of
	// the time in which it was there. at is when the own part was added last.
	credited float64
	at       time.Time
}

// gateway is another gateway.
type gateway struct {
	name        string
	incarnation uint64
	// heardAt is when it was heard of last, zero for never; creditedAt up to when its
	// part was added. Present says that it was there when that was looked at last.
	heardAt, creditedAt time.Time
	present             bool
	// counted is set once all that it has spent is known.
	counted bool
}

// lateAfter is the part of the grace after which a gateway begins to count as late: that in which
// most are heard of while anything is spent.
const lateAfter = 4

// defaultGrace holds until the first Members.
const defaultGrace = time.Second

func newFleet() fleet { return fleet{others: map[string]*gateway{}, grace: defaultGrace} }

// size returns how many gateways there are.
func (f *fleet) size() int { return len(f.others) + 1 }

// part returns the part of the gateways that are there, with the own one.
func (f *fleet) part() float64 {
	heard, _ := f.heard()
	return float64(heard+1) / float64(f.size())
}

// heard returns how many other gateways are there, and how many there are.
func (f *fleet) heard() (here, known int) {
	for _, g := range f.others {
		if g.present {
			here++
		}
	}
	return here, len(f.others)
}

// certainty returns the part of what a bucket holds that others surely have not spent: what
// belongs to a gateway that is late is put aside bit by bit, until it is taken for silent.
func (f *fleet) certainty(now time.Time) float64 {
	here, late := 0, 0.0
	for _, g := range f.others {
		if !g.present {
			continue
		}
		here++
		over := now.Sub(g.heardAt) - f.grace/lateAfter
		late += max(0, min(1, over.Seconds()/(f.grace-f.grace/lateAfter).Seconds()))
	}
	return 1 - late/float64(here+1)
}

// advanceEvery is how long what others fill in may stay uncounted when one of them is heard of; it
// is counted before anything is taken. Datagrams come from hundreds of gateways, and counting looks through
// all of them.
const advanceEvery = 20 * time.Millisecond

// upToDate reports whether hearing of a gateway changes nothing for the others: it was there all the
// time, and they were looked at a moment ago.
func (f *fleet) upToDate(name string, now time.Time) bool {
	g := f.others[name]
	return g != nil && g.present && !now.After(g.heardAt.Add(f.grace)) && now.Sub(f.at) < advanceEvery
}

// silence is a gateway that fell silent, and its part of what those hold that were there.
type silence struct {
	name string
	part float64
}

// advance adds the parts of the own gateway and of those that are there, and returns those that
// have fallen silent. Each takes its part of what those before it left.
func (f *fleet) advance(now time.Time) []silence {
	share := 1 / float64(f.size())
	if f.at.IsZero() {
		f.at = now
	}
	f.credited += share * max(0, now.Sub(f.at).Seconds())
	f.at = later(f.at, now)
	here, _ := f.heard()
	var silent []silence
	for _, g := range f.others {
		if !g.present {
			continue
		}
		until := g.heardAt.Add(f.grace)
		f.credit(g, earlier(now, until), share)
		if now.After(until) {
			g.present = false
			silent = append(silent, silence{name: g.name})
		}
	}
	slices.SortFunc(silent, func(a, b silence) int { return cmp.Compare(a.name, b.name) })
	for i := range silent {
		silent[i].part = 1 / float64(here+1-i)
	}
	return silent
}

// uncounted notes that what others have spent so far was not counted: there was no account for
// it.
func (f *fleet) uncounted() {
	for _, g := range f.others {
		g.counted = false
	}
}

// credit adds a gateway's part up to a time.
func (f *fleet) credit(g *gateway, to time.Time, share float64) {
	if g.creditedAt.IsZero() {
		g.creditedAt = to
	}
	if to.After(g.creditedAt) {
		f.credited += share * to.Sub(g.creditedAt).Seconds()
		g.creditedAt = to
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
