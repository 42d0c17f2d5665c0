package runnerlimit

import (
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/subset"
)

const (
	// A runner tolerates overshoot times its limit in any window, plus slack calls.
	window    = 4 * time.Second
	overshoot = 1.5
	slack     = 5
	// Of the calls that a runner tolerates beyond its limit and a full bucket, raceFraction is for users that
	// send at the same moment, before they learn of each other's calls. The rest is for gateways whose
	// membership lists differ, and for reports that are lost once.
	raceFraction = 0.75
	// reachableTimeout is how long a user counts as reachable after the last message from it. At least three
	// of the datagrams that users send each other fit into it.
	reachableTimeout = time.Second
)

// members is the membership list of the gateways.
type members struct {
	*subset.Subset
	// lastReceived is the time of the last message from each gateway.
	lastReceived map[string]time.Time
	// version counts the changes of the list.
	version uint64
}

func newMembers(self string) members {
	return members{Subset: subset.New(self, nil), lastReceived: map[string]time.Time{}, version: 1}
}

// Members sets the other gateways of the membership list, silent ones included.
func (t *Table) Members(others []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.Subset = subset.New(t.self, others)
	t.members.version++
}

// GatewaySeen records that a message of another gateway was received.
func (t *Table) GatewaySeen(gateway string, now time.Time) {
	if !t.nonEmpty.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.lastReceived[gateway] = now
}

// users are the gateways that share a limit.
type users struct {
	names []string
	// own is set if this gateway is one of them.
	own bool
	// maxUsers and version are the maximum number of users and the version of members that names was computed
	// for.
	maxUsers int
	version  uint64
}

// maxUsers returns how many gateways may share the limit. Each user may send one request before it learns of
// the calls of the others, so the runner must tolerate one request of each user but the first beyond the
// limit and a full bucket.
func (l *limit) maxUsers() int {
	spare := window.Seconds()*l.rate()*(overshoot-1) + slack - l.capacity()
	return 1 + max(0, int(raceFraction*spare/float64(l.calls)))
}

// usersOf returns the gateways that share a limit.
func (t *Table) usersOf(runner string, l *limit) *users {
	maxUsers := l.maxUsers()
	if l.users.version != t.members.version || l.users.maxUsers != maxUsers {
		names := t.members.First(runner, maxUsers)
		l.users = users{names: names, own: slices.Contains(names, t.self), maxUsers: maxUsers, version: t.members.version}
	}
	return &l.users
}

// share returns the reachable part of the users, 0 if this gateway is not one of them. This gateway refills
// its bucket at share times the rate. Gateways that are partitioned from each other therefore never use the
// same part of a limit.
func (t *Table) share(runner string, l *limit, now time.Time) float64 {
	u := t.usersOf(runner, l)
	if !u.own {
		return 0
	}
	return float64(t.reachableUsers(u, now)) / float64(len(u.names))
}

// reachableUsers returns the number of users that are reachable, this gateway included.
func (t *Table) reachableUsers(u *users, now time.Time) int {
	reachable := 0
	for _, name := range u.names {
		if name == t.self || now.Sub(t.members.lastReceived[name]) <= reachableTimeout {
			reachable++
		}
	}
	return reachable
}
