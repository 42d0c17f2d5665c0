package fleet

import (
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/platform"
)

// Times of the membership rules.
const (
	// MissingGrace is how long an instance that the list does not show any
	// more, though it still answers, may keep getting work.
	MissingGrace = 3 * time.Second
	// AnswerGrace is how long an answer counts as a sign of life.
	AnswerGrace = 10 * time.Second
)

// Membership merges what the instance list shows with what instances
// themselves answer. The list lags, may fail, and may come back empty or with
// a large part missing; then instances that answer stay members.
type Membership struct {
	mu      sync.Mutex
	members map[string]*member
	change  uint64
}

// member is an instance with what is known besides its entry.
type member struct {
	platform.Instance
	listed time.Time
	// answered is when it answered last, leaves what it said then of leaving.
	answered time.Time
	epoch    uint64
	missing  bool
	leaves   bool
}

// NewMembership returns an empty membership.
func NewMembership() *Membership {
	return &Membership{members: map[string]*member{}}
}

// Observe takes over one answer of the instance list.
func (m *Membership) Observe(list []platform.Instance, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := map[string]bool{}
	for _, in := range list {
		seen[in.Name] = true
		m.list(in, now)
	}
	plausible := 2*len(list) >= len(m.members)
	for name, x := range m.members {
		if seen[name] {
			continue
		}
		m.miss(name, x, plausible, now)
	}
}

// list records one entry. Leaving never turns back for the same process.
func (m *Membership) list(in platform.Instance, now time.Time) {
	x, ok := m.members[in.Name]
	if !ok {
		m.members[in.Name] = &member{Instance: in, listed: now}
		m.change++
		return
	}
	replaced := x.Inner != in.Inner
	if x.Leaving && !in.Leaving && !replaced {
		in.Leaving, in.Deadline = true, x.Deadline
	}
	if replaced || x.Leaving != in.Leaving || x.Admin != in.Admin || x.missing || !sameLabels(x.Labels, in.Labels) {
		m.change++
	}
	x.Instance, x.listed, x.missing = in, now, false
	if replaced {
		x.epoch, x.leaves = 0, false
	}
}

// miss records that the list did not show a member. An implausible list counts
// only against instances that do not answer either.
func (m *Membership) miss(name string, x *member, plausible bool, now time.Time) {
	if now.Sub(x.answered) < AnswerGrace && !plausible {
		return
	}
	if now.Sub(x.listed) < MissingGrace {
		return
	}
	if !x.missing {
		x.missing = true
		m.change++
	}
	if now.Sub(x.answered) >= AnswerGrace && plausible {
		delete(m.members, name)
		m.change++
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

// Seen records an answer from an instance. An older epoch than the newest one
// seen is a process that was replaced; Seen then returns false and the answer
// must not be used. A newer epoch is a new process, for which an earlier notice
// of leaving does not hold.
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
		x.leaves = false
		m.change++
	}
	x.epoch, x.answered = epoch, now
	if leaving != x.leaves {
		x.leaves = leaving
		m.change++
	}
	return true
}

// Listed returns an instance's own entry as the list last showed it.
func (m *Membership) Listed(name string) (platform.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.members[name]
	if !ok {
		return platform.Instance{}, false
	}
	return x.Instance, true
}

// Change counts the changes of the membership, so that a view is made anew
// only when needed.
func (m *Membership) Change() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.change
}

// Members returns all known instances. Leaving is set on those that must get
// no new work for any reason.
func (m *Membership) Members() []platform.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]platform.Instance, 0, len(m.members))
	for _, x := range m.members {
		in := x.Instance
		in.Leaving = in.Leaving || x.missing || x.leaves
		out = append(out, in)
	}
	return out
}
