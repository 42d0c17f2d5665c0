// Package quota enforces the limits of workspaces over all gateways together, without a
// coordinator and without a call for each request. Every gateway has a token bucket for each
// workspace, in which it counts the spending of all gateways: its own when it admits a request,
// that of a peer when the peer reports it. The package does no I/O; the time is passed in.
//
// A bucket is refilled at the limit's rate, with an equal share for each known gateway. The share
// of a peer is added only once a datagram from that peer has arrived, and a share of the bucket's
// level is withheld for a peer that is not alive. Gateways that are partitioned from each other
// therefore never spend the same units of a limit (requests or tokens) twice. Shares sets which
// fractions of the allowance beyond the limit are used for what.
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

// Allowance is how much more than its limit a workspace may use in each window of time, at all
// gateways together.
type Allowance struct {
	Window time.Duration
	// Overshoot is a fraction of what the limit allows in the window. Slack is an additional
	// amount, in units of the limit.
	Overshoot, Slack float64
}

// excess returns by how many units a limit may be exceeded in a window.
func (a Allowance) excess(l workspace.Limit) float64 {
	return a.Overshoot*(l.Rate*a.Window.Seconds()+l.Burst) + a.Slack
}

// Shares sets how the allowance beyond a limit is used. Its fields are fractions of the
// allowance, and their sum is below 1.
type Shares struct {
	// Bucket is added to the size of a bucket. With the addition, requests within the limit are
	// admitted although this gateway counts some spending late or twice.
	Bucket float64
	// Start is the level of a bucket when a process starts, as a fraction of the allowance. It is
	// low because the process does not know yet what was spent in the window before.
	Start float64
}

// DefaultShares leaves 0.45 of the allowance, so at least a quarter, for what gateways spend before
// they receive each other's reports. If they spend at ten times the rate and reports arrive after
// 0.1 s, that is about as much as the rate gives in one second.
func DefaultShares() Shares { return Shares{Bucket: 0.25, Start: 0.3} }

// Key identifies a workspace in reports between gateways.
type Key uint64

// KeyOf returns the key of a workspace, a hash of its name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Spending is what a gateway has spent for a workspace since its process started, in units of the
// limit.
type Spending struct {
	Workspace Key
	Total     int64
	// Level is the level of the gateway's own bucket, including the withheld amounts. Processes
	// that have just started adopt it.
	Level int64
}

// ErrQuota reports that a workspace has used up its limit for now.
type ErrQuota struct {
	Workspace string
	Limit     workspace.Limit
	// Cost is the cost of the request, Level the part of the bucket's level that can be spent,
	// both in units of the limit.
	Cost, Level float64
	// Heard is how many of the Known peers are alive.
	Heard, Known int
	// After is how long it takes until the bucket holds enough for the request.
	After time.Duration
}

// Error implements error.
func (e *ErrQuota) Error() string {
	return fmt.Sprintf("quota used up: workspace=%s unit=%s rate=%g burst=%g cost=%g level=%.0f heard=%d known=%d after=%s",
		e.Workspace, e.Limit.Unit, e.Limit.Rate, e.Limit.Burst, e.Cost, e.Level, e.Heard, e.Known, e.After)
}

// Ledger is one gateway's count of the spending of all gateways. It is safe for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	allowance Allowance
	shares    Shares
	accounts  map[Key]*account
	// recent holds the accounts that this gateway has spent from, the latest change first.
	recent *list.List
	// revision counts the changes of this gateway's spending.
	revision uint64
	// configuredAt is when limits were first configured. Accounts that are opened later belong to
	// new workspaces, for which nothing has been spent.
	configuredAt time.Time
	fleet        fleet
}

// New returns a ledger without limits.
func New(a Allowance, s Shares) *Ledger {
	return &Ledger{allowance: a, shares: s, accounts: map[Key]*account{}, recent: list.New(), fleet: newFleet()}
}

// Configure sets the limits of all workspaces. Earlier spending stays counted: a bucket whose
// limit changes stays as full as it was, as a fraction of its size.
func (l *Ledger) Configure(workspaces []*workspace.Workspace, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.advance(now)
	limited := map[Key]bool{}
	for _, w := range workspaces {
		if !w.Limit.Bounded() {
			continue
		}
		key := KeyOf(w.Name)
		limited[key] = true
		if a := l.accounts[key]; a != nil {
			a.refill(l.fleet.refillTime)
			a.resize(w.Limit, l.allowance, l.shares)
		} else {
			l.openAccount(key, w)
		}
	}
	for key, a := range l.accounts {
		if !limited[key] {
			l.closeAccount(key, a)
		}
	}
	if l.configuredAt.IsZero() {
		l.configuredAt = now
		l.fleet.resetBaselines()
	}
}

// settled reports whether this process has seen all spending of the last window. The caller must
// hold l.mu.
func (l *Ledger) settled(now time.Time) bool {
	return !l.configuredAt.IsZero() && now.Sub(l.configuredAt) >= l.allowance.Window
}

// openAccount adds the account of a workspace. The caller must hold l.mu.
func (l *Ledger) openAccount(key Key, w *workspace.Workspace) {
	a := &account{name: w.Name, key: key, refilledTo: l.fleet.refillTime}
	a.resize(w.Limit, l.allowance, l.shares)
	a.level = a.size
	if l.configuredAt.IsZero() {
		a.level = min(a.size, l.shares.Start*l.allowance.excess(w.Limit))
	}
	l.setLevel(a, a.level)
	l.accounts[key] = a
}

// setLevel sets the level of a bucket and withholds the shares of the peers that are not alive.
// The caller must hold l.mu.
func (l *Ledger) setLevel(a *account, level float64) {
	a.withheld = amounts{}
	for _, p := range l.fleet.peers {
		if !p.alive {
			a.withhold(p.slot, 1/float64(l.fleet.size()), level)
		}
	}
	a.level = level - a.withheld.sum()
}

// closeAccount removes an account. The caller must hold l.mu.
func (l *Ledger) closeAccount(key Key, a *account) {
	if a.recentElement != nil {
		l.recent.Remove(a.recentElement)
	}
	delete(l.accounts, key)
}

// Admit withdraws the cost of a request from its workspace's bucket. It fails with *ErrQuota.
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
	if level := a.level * l.fleet.spendableFraction(now); level < min(cost, a.size) {
		heard, known := l.fleet.countAlive()
		return &ErrQuota{Workspace: w.Name, Limit: a.limit, Cost: cost, Level: level, Heard: heard, Known: known, After: a.timeUntil(cost, l.fleet.aliveFraction())}
	}
	l.spend(a, cost)
	return nil
}

// Refund gives back the cost of a request that has not run and will not run.
func (l *Ledger) Refund(w *workspace.Workspace, cost float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.account(w, now); a != nil {
		l.spend(a, -cost)
	}
}

// account returns a workspace's account, refilled up to now, or nil if it has none. The caller
// must hold l.mu.
func (l *Ledger) account(w *workspace.Workspace, now time.Time) *account {
	l.advance(now)
	a := l.accounts[KeyOf(w.Name)]
	if a != nil {
		a.refill(l.fleet.refillTime)
	}
	return a
}

// spend counts spending of this gateway; a negative cost is a refund. The caller must hold l.mu.
func (l *Ledger) spend(a *account, cost float64) {
	a.take(cost)
	a.spent += int64(math.Round(cost))
	l.revision++
	a.lastRevision = l.revision
	if a.recentElement == nil {
		a.recentElement = l.recent.PushFront(a)
		return
	}
	l.recent.MoveToFront(a.recentElement)
}

// advance adds the refill of the gateways that are alive, and withholds the shares of the peers
// that have timed out. The caller must hold l.mu.
func (l *Ledger) advance(now time.Time) {
	for _, timedOut := range l.fleet.advance(now) {
		fraction := timedOut.fraction
		for _, a := range l.accounts {
			a.refill(l.fleet.refillTime)
			a.withhold(timedOut.slot, fraction, a.level)
			a.level -= a.withheld.get(timedOut.slot)
		}
	}
}

// Status is the state of a workspace's bucket.
type Status struct {
	Workspace string
	Limit     workspace.Limit
	// Level is what is left in the bucket and Size its capacity, in units of the limit. Spent is
	// what this gateway has spent since its process started.
	Level, Size float64
	Spent       int64
	// Heard is how many of the Known peers are alive.
	Heard, Known int
}

// Status returns the state of the workspaces that this gateway has spent for, the most recent
// spending first, and at most maxEntries of them.
func (l *Ledger) Status(maxEntries int, now time.Time) []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	heard, known := l.fleet.countAlive()
	var out []Status
	for e := l.recent.Front(); e != nil && len(out) < maxEntries; e = e.Next() {
		a := e.Value.(*account)
		a.refill(l.fleet.refillTime)
		out = append(out, Status{Workspace: a.name, Limit: a.limit, Level: a.level, Size: a.size, Spent: a.spent, Heard: heard, Known: known})
	}
	return out
}
