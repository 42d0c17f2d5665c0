// Package quota keeps workspaces within their limits over all gateways together, without a
// coordinator and without a call for each request. Every gateway counts what all spend in one
// bucket for each workspace: what it admits itself at once, what others admit when it hears of
// it. Nothing here does I/O; the time is passed in.
//
// A bucket fills at the limit's rate, in equal parts for all gateways that are known. The part
// of a gateway is filled in only once that has been heard of, and what the bucket holds is put
// aside for it while it isn't: gateways that are cut off from each other so never spend the
// same twice. What of the allowance beyond the limit each of these may use is in Shares.
package quota

import (
	"container/list"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/workspace"
)

// Allowance is how much more than its limit a workspace may use in each window of time, by all
// gateways together.
type Allowance struct {
	Window time.Duration
	// Overshoot is a part of what the limit allows in the window, Slack an amount in units
	// of the limit.
	Overshoot, Slack float64
}

// beyond returns how many units a limit may be exceeded by in a window.
func (a Allowance) beyond(l workspace.Limit) float64 {
	return a.Overshoot*(l.Rate*a.Window.Seconds()+l.Burst) + a.Slack
}

// Shares say what the allowance beyond a limit is used for. Together they are below 1.
type Shares struct {
	// Bucket is added to what a bucket holds at most: it lets through what the limit allows
	// although this gateway counts some of it late or twice.
	Bucket float64
	// Start is what buckets of a process hold at its start, when it does not know what was
	// spent in the window before.
	Start float64
}

// DefaultShares leave a quarter of the allowance for what gateways spend before they hear of
// each other: at ten times the rate, with news after 0.1 s, about one rate's second.
func DefaultShares() Shares { return Shares{Bucket: 0.25, Start: 0.3} }

// Key names a workspace between gateways.
type Key uint64

// KeyOf returns the key of a workspace.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Spending is what a gateway has spent for a workspace since its process began.
type Spending struct {
	Workspace Key
	Total     int64
	// Level is what the gateway's own bucket holds, with what is put aside: for processes
	// that start.
	Level int64
}

// ErrQuota reports that a workspace has used up its limit for now.
type ErrQuota struct {
	Workspace string
	Limit     workspace.Limit
	// Cost is what the request takes, Level what is left.
	Cost, Level float64
	// Heard of Known other gateways were heard of lately.
	Heard, Known int
	// After is when there will be room.
	After time.Duration
}

// Error implements error.
func (e *ErrQuota) Error() string {
	return fmt.Sprintf("quota used up: workspace=%s unit=%s rate=%g burst=%g cost=%g level=%.0f heard=%d known=%d after=%s",
		e.Workspace, e.Limit.Unit, e.Limit.Rate, e.Limit.Burst, e.Cost, e.Level, e.Heard, e.Known, e.After)
}

// Ledger is one gateway's count of what all spend. It is safe for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	allowance Allowance
	shares    Shares
	accounts  map[Key]*account
	// recent holds the accounts that this gateway spent from, the newest change first.
	recent   *list.List
	revision uint64
	// began is when limits were first known: buckets that come later belong to new
	// workspaces, of which nothing was spent.
	began time.Time
	fleet fleet
}

// New returns a ledger without limits.
func New(a Allowance, s Shares) *Ledger {
	return &Ledger{allowance: a, shares: s, accounts: map[Key]*account{}, recent: list.New(), fleet: newFleet()}
}

// Configure takes over the limits of all workspaces. What was spent stays counted: a bucket
// whose limit changes is as full as it was.
func (l *Ledger) Configure(all []*workspace.Workspace, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.advance(now)
	named := map[Key]bool{}
	for _, w := range all {
		if !w.Limit.Bounded() {
			continue
		}
		key := KeyOf(w.Name)
		named[key] = true
		if a := l.accounts[key]; a != nil {
			a.refill(l.fleet.credited)
			a.resize(w.Limit, l.allowance, l.shares)
		} else {
			l.open(key, w)
		}
	}
	for key, a := range l.accounts {
		if !named[key] {
			l.close(key, a)
		}
	}
	if l.began.IsZero() {
		l.began = now
		l.fleet.uncounted()
	}
}

// settled reports whether this process has seen all that was spent in the last window. The
// caller holds the lock.
func (l *Ledger) settled(now time.Time) bool {
	return !l.began.IsZero() && now.Sub(l.began) >= l.allowance.Window
}

// open begins the account of a workspace. The caller holds the lock.
func (l *Ledger) open(key Key, w *workspace.Workspace) {
	a := &account{name: w.Name, key: key, credited: l.fleet.credited, heard: map[string]int64{}, aside: map[string]float64{}}
	a.resize(w.Limit, l.allowance, l.shares)
	a.level = a.size
	if l.began.IsZero() {
		a.level = min(a.size, l.shares.Start*l.allowance.beyond(w.Limit))
	}
	l.divide(a, a.level)
	l.accounts[key] = a
}

// divide sets what a bucket holds, of which the parts of gateways that are not heard of are put
// aside. The caller holds the lock.
func (l *Ledger) divide(a *account, level float64) {
	clear(a.aside)
	for name, g := range l.fleet.others {
		if !g.present {
			a.setAside(name, 1/float64(l.fleet.size()), level)
		}
	}
	a.level = level - a.asideSum()
}

// close ends an account. The caller holds the lock.
func (l *Ledger) close(key Key, a *account) {
	if a.place != nil {
		l.recent.Remove(a.place)
	}
	delete(l.accounts, key)
}

// Admit takes what a request costs from its workspace's bucket. It fails with *ErrQuota.
func (l *Ledger) Admit(w *workspace.Workspace, cost float64, now time.Time) error {
	if !w.Limit.Bounded() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w, now)
	if a == nil {
		return nil
	}
	if level := a.level * l.fleet.certainty(now); level < min(cost, a.size) {
		heard, known := l.fleet.heard()
		return &ErrQuota{Workspace: w.Name, Limit: a.limit, Cost: cost, Level: level, Heard: heard, Known: known, After: a.until(cost, l.fleet.part())}
	}
	l.spend(a, cost)
	return nil
}

// GiveBack returns what was taken for a request that has not run and won't.
func (l *Ledger) GiveBack(w *workspace.Workspace, cost float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.account(w, now); a != nil {
		l.spend(a, -cost)
	}
}

// account returns a workspace's account, filled up to now; nil if it has none. The caller holds
// the lock.
func (l *Ledger) account(w *workspace.Workspace, now time.Time) *account {
	l.advance(now)
	a := l.accounts[KeyOf(w.Name)]
	if a != nil {
		a.refill(l.fleet.credited)
	}
	return a
}

// spend counts own spending. The caller holds the lock.
func (l *Ledger) spend(a *account, cost float64) {
	a.take(cost)
	a.spent += int64(math.Round(cost))
	l.revision++
	a.changed = l.revision
	if a.place == nil {
		a.place = l.recent.PushFront(a)
		return
	}
	l.recent.MoveToFront(a.place)
}

// advance counts what gateways that were heard of fill in, and puts aside what belongs to those
// that fell silent. The caller holds the lock.
func (l *Ledger) advance(now time.Time) {
	for _, silent := range l.fleet.advance(now) {
		part := silent.part
		for _, a := range l.accounts {
			a.refill(l.fleet.credited)
			a.setAside(silent.name, part, a.level)
			a.level -= a.aside[silent.name]
		}
	}
}

// Status is the state of a workspace's bucket.
type Status struct {
	Workspace string
	Limit     workspace.Limit
	// Level is what is left, Size what the bucket holds at most, Spent what this gateway
	// spent since its process began.
	Level, Size float64
	Spent       int64
	// Heard of Known other gateways were heard of lately.
	Heard, Known int
}

// Status returns the state of the workspaces that this gateway spent for, the latest first, at
// most a number of them.
func (l *Ledger) Status(most int, now time.Time) []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	heard, known := l.fleet.heard()
	var out []Status
	for e := l.recent.Front(); e != nil && len(out) < most; e = e.Next() {
		a := e.Value.(*account)
		a.refill(l.fleet.credited)
		out = append(out, Status{Workspace: a.name, Limit: a.limit, Level: a.level, Size: a.size, Spent: a.spent, Heard: heard, Known: known})
	}
	return out
}
