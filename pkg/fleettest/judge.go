package fleettest

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/gateway"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/request"
	"github.com/hopwell/hopwell/pkg/trace"
)

// Promise numbers the brief's eight promises in their order.
type Promise int

// The promises.
const (
	NoMemoryForGone Promise = iota + 1
	NothingTwice
	WholeOwnAnswer
	NotRunIsTrue
	AtMostOnce
	LeavingGetsNothing
	StopCutsNothing
	ChangeInForce
)

// Violation is a promise that was broken.
type Violation struct {
	Promise Promise
	Detail  string
}

// String is for failure messages.
func (v Violation) String() string { return fmt.Sprintf("promise %d: %s", v.Promise, v.Detail) }

// Bounds that the promises name.
const (
	goneBound    = time.Second
	leaveBound   = 3 * time.Second
	inForceBound = 5 * time.Second
)

// Record is what a run must be judged by, besides the fleet's own records.
type Record struct {
	// Calls are all requests.
	Calls []*Call
	// Planned names the processes that were stopped as planned.
	Planned map[string]bool
	// Left tells since when each instance is known to be leaving.
	Left map[string]time.Time
	// Accepted tells when each revision was accepted.
	Accepted map[uint64]time.Time
	// Held are samples of engine memory, from Watch.
	Held []Sample
	// CutOff names processes that a fault cut off, and since when: what runs
	// through them has the bound of a dead gateway.
	CutOff map[string]time.Time
}

// Sample is a piece of engine memory that was seen held.
type Sample struct {
	At       time.Time
	Instance string
	Work     string
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{Planned: map[string]bool{}, Left: map[string]time.Time{}, Accepted: map[uint64]time.Time{}, CutOff: map[string]time.Time{}}
}

// requestOf returns the request ID in a work's name, which is ID/ATTEMPT/ROLE.
func requestOf(work string) string {
	id, _, _ := strings.Cut(work, "/")
	return id
}

// Judge checks all promises over a finished run.
func (f *Fleet) Judge(r *Record) []Violation {
	var out []Violation
	out = append(out, f.judgeMemory(r)...)
	out = append(out, judgeAnswers(r)...)
	out = append(out, f.judgeRuns(r)...)
	out = append(out, f.judgeLeaving(r)...)
	out = append(out, f.judgeStops(r)...)
	out = append(out, f.judgeChanges(r)...)
	return out
}

// judgeMemory checks the samples against the ends of the requests, and that
// nothing is held now.
func (f *Fleet) judgeMemory(r *Record) []Violation {
	var out []Violation
	freeBy := map[string]time.Time{}
	for _, c := range r.Calls {
		freeBy[c.ID] = f.freeBy(r, c)
	}
	for _, s := range r.Held {
		by, ok := freeBy[requestOf(s.Work)]
		if cut, was := r.CutOff[s.Instance]; was {
			by = later(by, cut.Add(gateway.DefaultLease+goneBound))
		}
		if ok && s.At.After(by) && !f.diedBefore(s.Instance, s.At) {
			out = append(out, Violation{NoMemoryForGone, fmt.Sprintf("%s holds %s %s too long", s.Instance, s.Work, s.At.Sub(by))})
		}
	}
	for name, e := range f.Engines {
		if used := e.KVUsed(); used != 0 && f.Process(name) != nil {
			out = append(out, Violation{NoMemoryForGone, fmt.Sprintf("%s holds %d bytes at rest", name, used)})
		}
	}
	return out
}

// freeBy is when no engine may hold memory for a call any more.
func (f *Fleet) freeBy(r *Record, c *Call) time.Time {
	at, bound := c.Ended, goneBound
	if !c.Left.IsZero() {
		at = c.Left
	}
	for _, p := range f.Processes() {
		if p.Entry.Name == c.Gateway && p.crashed.Load() && p.Died.Before(c.Ended) {
			at, bound = p.Died, gateway.DefaultLease+goneBound
		}
	}
	if cut, ok := r.CutOff[c.Gateway]; ok {
		at, bound = later(at, cut), gateway.DefaultLease+goneBound
	}
	return at.Add(bound)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// diedBefore reports whether the sidecar on an instance died before a time and
// was not there again: then nobody can free what its engine holds.
func (f *Fleet) diedBefore(instance string, at time.Time) bool {
	for _, p := range f.Processes() {
		if p.Entry.Name == instance && p.crashed.Load() && p.Died.Before(at) {
			return true
		}
	}
	return false
}

// judgeStops checks that no request was cut off by a planned stop alone.
func (f *Fleet) judgeStops(r *Record) []Violation {
	var out []Violation
	if len(r.Planned) == 0 {
		return nil
	}
	for _, c := range r.Calls {
		if r.Planned[c.Gateway] && c.Lost {
			out = append(out, Violation{StopCutsNothing, c.ID + " was lost with its gateway"})
		}
		if c.Left.IsZero() && !c.Lost && c.Result.Outcome == request.Unknown {
			out = append(out, Violation{StopCutsNothing, fmt.Sprintf("%s was cut off: %v", c.ID, c.Result.Err)})
		}
	}
	return out
}

// judgeChanges checks that revisions only grow and come into force in time.
func (f *Fleet) judgeChanges(r *Record) []Violation {
	var out []Violation
	for _, p := range f.Processes() {
		var last uint64
		var born time.Time
		seen := map[uint64]time.Time{}
		for _, e := range p.Node.Log.Events(trace.Filter{}) {
			if e.Type == trace.ProcessStart {
				born = e.Wall
			}
			if e.Type != trace.Revision {
				continue
			}
			if e.Revision < last {
				out = append(out, Violation{ChangeInForce, fmt.Sprintf("%s went back from revision %d to %d", p.Entry.Name, last, e.Revision)})
			}
			last = e.Revision
			seen[e.Revision] = e.Wall
		}
		if p.crashed.Load() {
			continue
		}
		out = append(out, late(p, r, seen, last, born)...)
	}
	return out
}

// late checks one live process's revisions against their acceptance, or against
// the process's own start if that came later.
func late(p *Process, r *Record, seen map[uint64]time.Time, newest uint64, born time.Time) []Violation {
	var out []Violation
	for revision, at := range r.Accepted {
		if newest < revision {
			out = append(out, Violation{ChangeInForce, fmt.Sprintf("%s has revision %d, not %d", p.Entry.Name, newest, revision)})
			continue
		}
		if _, cut := r.CutOff[p.Entry.Name]; cut {
			continue
		}
		for n := revision; n <= newest; n++ {
			if when, ok := seen[n]; ok {
				if took := when.Sub(later(at, born)); took > inForceBound {
					out = append(out, Violation{ChangeInForce, fmt.Sprintf("%s got revision %d after %s", p.Entry.Name, revision, took)})
				}
				break
			}
		}
	}
	return out
}

// Watch samples the engines' memory until stop is closed.
func (f *Fleet) Watch(r *Record, stop <-chan struct{}) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-stop:
			return
		}
		now := time.Now()
		for name, e := range f.Engines {
			held, err := e.Held(context.Background())
			if err != nil {
				continue
			}
			for _, h := range held {
				r.Held = append(r.Held, Sample{now, name, h.ID})
			}
		}
	}
}

// Sidecars names all sidecars of a pool.
func (f *Fleet) Sidecars(pool string) []string {
	var out []string
	for _, p := range f.Live(platform.RoleSidecar) {
		if p.Entry.Labels["pool"] == pool {
			out = append(out, p.Entry.Name)
		}
	}
	return out
}
