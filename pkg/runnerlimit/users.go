package runnerlimit

import (
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/subset"
)

const (
	// A runner bears overshoot times what its limit allows in any window, and slack calls more.
	window    = 4 * time.Second
	overshoot = 1.5
	slack     = 5
	// racePart is the part of what is beyond the limit and a full bucket that the users may send
	// at the same moment, without hearing of each other. The rest is for gateways that do not know
	// the same others, and for news that is lost once.
	racePart = 0.75
	// heardFor is how long a user that is not heard of counts as one that hears: three of the
	// datagrams that users send each other at least.
	heardFor = time.Second
)

// members are the gateways that are known.
type members struct {
	*subset.Subset
	// heard is when each was heard of last.
	heard map[string]time.Time
	// version counts the changes of the names.
	version uint64
}

func newMembers(self string) members {
	return members{Subset: subset.New(self, nil), heard: map[string]time.Time{}, version: 1}
}

// Members says which other gateways there are, the silent ones too.
func (t *Table) Members(others []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.Subset = subset.New(t.self, others)
	t.members.version++
}

// GatewaySeen records that something came from another gateway.
func (t *Table) GatewaySeen(gateway string, now time.Time) {
	if !t.some.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.heard[gateway] = now
}

// users are the gateways that share a limit.
type users struct {
	names []string
	// own says that this gateway is one of them.
	own bool
	// most is how many they were to be, version that of the members.
	most    int
	version uint64
}

// mostUsers returns how many gateways may share the limit: as many as the runner bears requests
// beyond the limit and a full bucket, since each user may send one without hearing of the others.
func (l *limit) mostUsers() int {
	spare := window.Seconds()*l.rate()*(overshoot-1) + slack - l.capacity()
	return 1 + max(0, int(racePart*spare/float64(l.calls)))
}

// usersOf returns the gateways that share a limit.
func (t *Table) usersOf(runner string, l *limit) *users {
	most := l.mostUsers()
	if l.users.version != t.members.version || l.users.most != most {
		names := t.members.First(runner, most)
		l.users = users{names: names, own: slices.Contains(names, t.self), most: most, version: t.members.version}
	}
	return &l.users
}

// share returns the part of a limit that this gateway may count as its bucket's: that of the users
// that it hears. Gateways that are cut off from each other never use the same part twice.
func (t *Table) share(runner string, l *limit, now time.Time) float64 {
	u := t.usersOf(runner, l)
	if !u.own {
		return 0
	}
	return float64(t.heardUsers(u, now)) / float64(len(u.names))
}

// heardUsers returns how many of some users were heard of lately, this one included.
func (t *Table) heardUsers(u *users, now time.Time) int {
	heard := 0
	for _, name := range u.names {
		if name == t.self || now.Sub(t.members.heard[name]) <= heardFor {
			heard++
		}
	}
	return heard
}
