//go:build lockorder

// Package lockcheck replaces package sync in tests that check the order of locks, see .ci/lock-order. Its locks end
// the process when two of them are taken in both orders.
package lockcheck

import (
	"sync"

	"github.com/sasha-s/go-deadlock"
)

// The locks that are checked, and the rest of package sync.
type (
	Mutex     = deadlock.Mutex
	RWMutex   = deadlock.RWMutex
	Map       = sync.Map
	Once      = sync.Once
	Pool      = sync.Pool
	WaitGroup = sync.WaitGroup
)

// OnceFunc is sync.OnceFunc.
func OnceFunc(f func()) func() { return sync.OnceFunc(f) }

// maxPairs bounds the pairs of locks whose order is remembered.
const maxPairs = 1 << 20

func init() {
	// The timers of go-deadlock must not pass from one bubble of testing/synctest to another. A lock that is never
	// released is left to the timeout of the test.
	deadlock.Opts.DeadlockTimeout = 0
	deadlock.Opts.MaxMapSize = maxPairs
}
