// Package memory bounds the memory that data of other processes takes. Each kind of data has an
// account, which is a share of the process's memory, and each message has a bound of its own. Data
// that does not fit is rejected with an error that names its size and the bound.
package memory

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// HeadLineCost is the memory that a parsed line of an HTTP head takes beside its text, in bytes.
const HeadLineCost = 128

// ErrFull reports that data does not fit into its account.
type ErrFull struct {
	Account string
	// Size is the number of bytes that were requested, Used the number reserved already.
	Size, Used, Bound int64
}

// Error implements error.
func (e *ErrFull) Error() string {
	return fmt.Sprintf("no memory left for data of others: account=%q size=%d used=%d bound=%d", e.Account, e.Size, e.Used, e.Bound)
}

// ErrTooLarge reports that a message, or a part of it, exceeds its bound. Size is what was received
// until then, in the unit that What names, bytes by default.
type ErrTooLarge struct {
	What        string
	Size, Bound int64
}

// Error implements error.
func (e *ErrTooLarge) Error() string {
	return fmt.Sprintf("too large: what=%q size=%d bound=%d", e.What, e.Size, e.Bound)
}

var tooLarge = metrics.GetOrCreateCounter("hopwell_data_too_large_total")

// TooLarge returns *ErrTooLarge and counts it.
func TooLarge(what string, size, bound int64) error {
	tooLarge.Inc()
	return &ErrTooLarge{What: what, Size: size, Bound: bound}
}

// Account bounds the bytes held for one kind of data. It is safe for concurrent use. A nil Account
// has no bound.
type Account struct {
	name    string
	bound   int64
	used    atomic.Int64
	refused *metrics.Counter
}

// NewAccount returns an empty account.
func NewAccount(name string, bound int64) *Account {
	refused := metrics.GetOrCreateCounter(fmt.Sprintf("hopwell_data_refused_total{account=%q}", name))
	return &Account{name: name, bound: bound, refused: refused}
}

// NewAccountInUse returns an account with bytes already reserved. These may exceed the bound; Reserve then fails
// until enough is released.
func NewAccountInUse(name string, bound, used int64) *Account {
	a := NewAccount(name, bound)
	a.used.Store(used)
	return a
}

// Reserve reserves bytes, or fails with *ErrFull.
func (a *Account) Reserve(size int64) error { return a.reserveOrRelease(size, 0) }

// reserveOrRelease reserves bytes. If they don't fit, it releases a number of others in the same step and fails
// with *ErrFull.
func (a *Account) reserveOrRelease(size, released int64) error {
	if a == nil {
		return nil
	}
	for {
		used := a.used.Load()
		full := used+size > a.bound
		change := size
		if full {
			change = -released
		}
		if !a.used.CompareAndSwap(used, used+change) {
			continue
		}
		if full {
			a.refused.Inc()
			return &ErrFull{Account: a.name, Size: size, Used: used, Bound: a.bound}
		}
		return nil
	}
}

// Charge reserves bytes even if they don't fit, for data that is bounded by itself and can't be rejected.
func (a *Account) Charge(size int64) {
	if a != nil {
		a.used.Add(size)
	}
}

// Release releases reserved bytes.
func (a *Account) Release(size int64) {
	if a != nil {
		a.used.Add(-size)
	}
}

// Used returns the number of reserved bytes.
func (a *Account) Used() int64 {
	if a == nil {
		return 0
	}
	return a.used.Load()
}

// Bound returns the account's bound in bytes.
func (a *Account) Bound() int64 {
	if a == nil {
		return 0
	}
	return a.bound
}

// Usage is the part of an account that one user takes. It is not safe for concurrent use.
type Usage struct {
	Account *Account
	size    int64
}

// Resize changes the usage to a number of bytes. If they don't fit, it fails with *ErrFull and leaves the
// usage as it was.
func (u *Usage) Resize(size int64) error {
	if size > u.size {
		if err := u.Account.Reserve(size - u.size); err != nil {
			return err
		}
	} else {
		u.Account.Release(u.size - size)
	}
	u.size = size
	return nil
}

// Grow adds bytes to the usage, or fails with *ErrFull.
func (u *Usage) Grow(size int64) error { return u.Resize(u.size + size) }

// GrowOrRelease adds bytes to the usage. If they don't fit, it releases a part of the usage and fails with
// *ErrFull, in one step: of several users that need more at the same time, no more fail than have to.
func (u *Usage) GrowOrRelease(size, part int64) error {
	if err := u.Account.reserveOrRelease(size, part); err != nil {
		u.size -= part
		return err
	}
	u.size += size
	return nil
}

// Size returns the number of reserved bytes.
func (u *Usage) Size() int64 { return u.size }

// Release ends the usage.
func (u *Usage) Release() {
	u.Account.Release(u.size)
	u.size = 0
}
