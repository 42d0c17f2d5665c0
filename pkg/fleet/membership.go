package fleet

import (
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/platform"
)

// Time limits of the membership rules.
const (
	// MissingGrace is how long an instance may get new work after the last list
	// that showed it, even if it still responds. The limit does not apply to an
	// instance that responds while the lists are implausible.
	MissingGrace = 3 * time.Second
	// AnswerGrace is how long after its last response an instance counts as alive.
	AnswerGrace = 10 * time.Second
)

// Membership merges the platform's instance list with the responses of the
// instances themselves. The list lags, may be unavailable, and may be empty or
// lack a large part of the instances; instances that respond then stay members.
// It is safe for concurrent use.
type Membership struct {
	mu      sync.Mutex
	members map[string]*member
	changes uint64
}

// member is a list entry with the state that Membership keeps for it.
type member struct {
	platform.Instance
	// lastListed is the time of the last list that showed the instance.
	lastListed time.Time
	// lastResponse is the time of the last response of the instance.
	lastResponse time.Time
	// epoch is the newest epoch in a response, 0 before the first.
	epoch uint64
	// missing is set once the instance has been off the list for MissingGrace.
	missing bool
	// reportedLeaving is whether the last response reported the process as leaving.
	reportedLeaving bool
}

// NewMembership returns an empty membership.
func NewMembership() *Membership {
	return &Membership{members: map[string]*member{}}
}

// Observe records one reading of the instance list. A reading is plausible if it
// has at least half as many instances as there are members.
func (m *Membership) Observe(list []platform.Instance, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := map[string]bool{}
	for _, in := range list {
		seen[in.Name] = true
		m.recordListed(in, now)
	}
	plausible := 2*len(list) >= len(m.members)
	for name, x := range m.members {
		if seen[name] {
			continue
		}
		m.recordMissing(name, x, plausible, now)
	}
}

// recordListed records one list entry. A process that was listed as leaving stays
// leaving: only an entry with another inner address, a replacement, clears it.
func (m *Membership) recordListed(in platform.Instance, now time.Time) {
	x, ok := m.members[in.Name]
	if !ok {
		m.members[in.Name] = &member{Instance: in, lastListed: now}
		m.changes++
		return
	}
	replaced := x.Inner != in.Inner
	if x.Leaving && !in.Leaving && !replaced {
		in.Leaving, in.Deadline = true, x.Deadline
	}
	if replaced || x.Leaving != in.Leaving || x.Admin != in.Admin || x.missing || !sameLabels(x.Labels, in.Labels) {
		m.changes++
	}
	x.Instance, x.lastListed, x.missing = in, now, false
	if replaced {
		x.epoch, x.reportedLeaving = 0, false
	}
}

// recordMissing records that the list did not show a member. The member is marked
// missing after MissingGrace, and removed once it has not responded for
// AnswerGrace either. A list that is not plausible never removes a member, and
// does not mark one that responded within AnswerGrace.
func (m *Membership) recordMissing(name string, x *member, plausible bool, now time.Time) {
	if now.Sub(x.lastResponse) < AnswerGrace && !plausible {
		return
	}
	if now.Sub(x.lastListed) < MissingGrace {
		return
	}
	if !x.missing {
		x.missing = true
		m.changes++
	}
	if now.Sub(x.lastResponse) >= AnswerGrace && plausible {
		delete(m.members, name)
		m.changes++
	}
}

func sameLabels(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if b[k] != v {
			return false
		}
	}
	return true
}

// Seen records a response of an instance. An epoch older than the newest one
// seen belongs to a process that was replaced: Seen then returns false, and the
// caller must not use the response. Seen returns true for an instance that is not a
// member. A newer epoch belongs to a new process, to which an earlier report of
// leaving does not apply.
func (m *Membership) Seen(name string, epoch uint64, leaving bool, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.members[name]
	if !ok {
		return true
	}
	if epoch < x.epoch {
		return false
	}
	if epoch > x.epoch && x.epoch != 0 {
		x.reportedLeaving = false
		m.changes++
	}
	x.epoch, x.lastResponse = epoch, now
	if leaving != x.reportedLeaving {
		x.reportedLeaving = leaving
		m.changes++
	}
	return true
}

// Listed returns the entry of an instance as the list last showed it, false if the
// instance is not a member. Leaving stays set until the process is replaced.
func (m *Membership) Listed(name string) (platform.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.members[name]
	if !ok {
		return platform.Instance{}, false
	}
	return x.Instance, true
}

// Change returns the number of membership changes so far. Callers rebuild a View
// only if the number has changed since they built it.
func (m *Membership) Change() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changes
}

// Members returns all members. Leaving is set on those that must get no new work:
// the list or the instance itself reports them as leaving, or they are missing
// from the list.
func (m *Membership) Members() []platform.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]platform.Instance, 0, len(m.members))
	for _, x := range m.members {
		in := x.Instance
		in.Leaving = in.Leaving || x.missing || x.reportedLeaving
		out = append(out, in)
	}
	return out
}
