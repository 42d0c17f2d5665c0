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

// Promise is one of the eight guarantees that hopwell gives. They are numbered
// from 1 in the order of its specification.
type Promise int

// The promises.
const (
	// NoMemoryForGone: engines free the memory of a request soon after the
	// request ended (is gone) or its client disconnected.
	NoMemoryForGone Promise = iota + 1
	// NothingTwice: a client receives at most one response.
	NothingTwice
	// WholeOwnAnswer: the text is that of the client's own prompt, without gaps or
	// duplicates, and complete if the outcome is done.
	WholeOwnAnswer
	// NotRunIsTrue: a request reported as not run did not start on any runner.
	NotRunIsTrue
	// AtMostOnce: a request that must not be repeated runs at most once.
	AtMostOnce
	// LeavingGetsNothing: a leaving instance receives no new work.
	LeavingGetsNothing
	// StopCutsNothing: a planned stop breaks off no request.
	StopCutsNothing
	// ChangeInForce: an accepted change takes effect in time and is not undone by
	// an older revision.
	ChangeInForce
)

// Violation is one observed breach of a promise.
type Violation struct {
	Promise Promise
	Detail  string
}

// String returns the violation as a test failure message.
func (v Violation) String() string { return fmt.Sprintf("promise %d: %s", v.Promise, v.Detail) }

// Time limits of the promises: for freeing the memory of an ended request, for
// new work on a leaving instance, and for applying an accepted change.
const (
	freeBound    = time.Second
	leaveBound   = 3 * time.Second
	inForceBound = 5 * time.Second
)

// Record holds the observations of a run that Judge needs in addition to the
// fleet's own records.
type Record struct {
	// Calls are all requests.
	Calls []*Call
	// Planned contains the names of the processes whose stop was planned.
	Planned map[string]bool
	// Left maps each leaving instance to the time at which the test announced that
	// it leaves.
	Left map[string]time.Time
	// Accepted maps each revision to the time when it was accepted.
	Accepted map[uint64]time.Time
	// Held are samples of engine memory, from Watch.
	Held []Sample
	// CutOff maps each process that a fault cut off to the time of the fault. Engine
	// memory for requests of such a gateway, or on such an instance, may be held as
	// long as after a crash of the gateway: DefaultLease + freeBound.
	CutOff map[string]time.Time
}

// Sample is a piece of engine memory that was held at a time.
type Sample struct {
	At       time.Time
	Instance string
	Work     string
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{Planned: map[string]bool{}, Left: map[string]time.Time{}, Accepted: map[uint64]time.Time{}, CutOff: map[string]time.Time{}}
}

// requestID returns the request ID in a work ID of the form ID/ATTEMPT/ROLE.
func requestID(work string) string {
	id, _, _ := strings.Cut(work, "/")
	return id
}

// Judge checks all promises over a finished run.
func (f *Fleet) Judge(r *Record) []Violation {
	var out []Violation
	out = append(out, f.judgeMemory(r)...)
	out = append(out, judgeResponses(r)...)
	out = append(out, f.judgeRuns(r)...)
	out = append(out, f.judgeLeaving(r)...)
	out = append(out, f.judgeStops(r)...)
	out = append(out, f.judgeChanges(r)...)
	return out
}

// judgeMemory checks the samples against the ends of the requests, and that the
// engines with a live sidecar hold no memory at the end of the run.
func (f *Fleet) judgeMemory(r *Record) []Violation {
	var out []Violation
	freeBy := map[string]time.Time{}
	for _, c := range r.Calls {
		freeBy[c.ID] = f.freeDeadline(r, c)
	}
	for _, s := range r.Held {
		by, ok := freeBy[requestID(s.Work)]
		if cut, isCutOff := r.CutOff[s.Instance]; isCutOff {
			by = later(by, cut.Add(gateway.DefaultLease+freeBound))
		}
		if ok && s.At.After(by) && !f.crashedBefore(s.Instance, s.At) {
			out = append(out, Violation{NoMemoryForGone, fmt.Sprintf("%s holds memory for work %s, %s after the time limit", s.Instance, s.Work, s.At.Sub(by))})
		}
	}
	for name, e := range f.Engines {
		if used := e.KVUsed(); used != 0 && f.Process(name) != nil {
			out = append(out, Violation{NoMemoryForGone, fmt.Sprintf("%s holds %d bytes at rest", name, used)})
		}
	}
	return out
}

// freeDeadline returns the time after which no engine may hold memory for a call.
func (f *Fleet) freeDeadline(r *Record, c *Call) time.Time {
	at, bound := c.Ended, freeBound
	if !c.Left.IsZero() {
		at = c.Left
	}
	for _, p := range f.Processes() {
		if p.Entry.Name == c.Gateway && p.crashed.Load() && p.Died.Before(c.Ended) {
			at, bound = p.Died, gateway.DefaultLease+freeBound
		}
	}
	if cut, ok := r.CutOff[c.Gateway]; ok {
		at, bound = later(at, cut), gateway.DefaultLease+freeBound
	}
	return at.Add(bound)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// crashedBefore reports whether a sidecar on an instance crashed before a time.
// Without its sidecar nothing can free the memory that an engine holds.
func (f *Fleet) crashedBefore(instance string, at time.Time) bool {
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
			out = append(out, Violation{StopCutsNothing, c.ID + " was lost because its gateway stopped"})
		}
		if c.Left.IsZero() && !c.Lost && c.Result.Outcome == request.Unknown {
			out = append(out, Violation{StopCutsNothing, fmt.Sprintf("%s was cut off: %v", c.ID, c.Result.Err)})
		}
	}
	return out
}

// judgeChanges checks that the revisions of a process never decrease and that
// accepted revisions take effect in time.
func (f *Fleet) judgeChanges(r *Record) []Violation {
	var out []Violation
	for _, p := range f.Processes() {
		var last uint64
		var startedAt time.Time
		seen := map[uint64]time.Time{}
		for _, e := range p.Node.Log.Events(trace.Filter{}) {
			if e.Type == trace.ProcessStart {
				startedAt = e.Wall
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
		out = append(out, judgeRevisions(p, r, seen, last, startedAt)...)
	}
	return out
}

// judgeRevisions checks that one live process applied each revision in time after
// its acceptance, or after the start of the process if that was later.
func judgeRevisions(p *Process, r *Record, seen map[uint64]time.Time, newest uint64, startedAt time.Time) []Violation {
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
				if took := when.Sub(later(at, startedAt)); took > inForceBound {
					out = append(out, Violation{ChangeInForce, fmt.Sprintf("%s applied revision %d %s after its acceptance or the start of the process", p.Entry.Name, revision, took)})
				}
				break
			}
		}
	}
	return out
}

// Watch samples the memory that engines hold, every 100 ms until stop is closed.
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

// Sidecars returns the names of the live sidecars of a pool.
func (f *Fleet) Sidecars(pool string) []string {
	var out []string
	for _, p := range f.Live(platform.RoleSidecar) {
		if p.Entry.Labels["pool"] == pool {
			out = append(out, p.Entry.Name)
		}
	}
	return out
}
