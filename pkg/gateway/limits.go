package gateway

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// limitShards is the number of shards, each with its own lock, for the counts per workspace.
const limitShards = 16

// limits counts the open requests of the gateway and of each workspace.
type limits struct {
	maxOpen, maxWorkspace int

	mu     sync.Mutex
	open   int
	shards [limitShards]limitShard
}

type limitShard struct {
	mu   sync.Mutex
	open map[string]int
}

func newLimits(maxOpen, maxWorkspace int) *limits {
	l := &limits{maxOpen: maxOpen, maxWorkspace: maxWorkspace}
	for i := range l.shards {
		l.shards[i].open = map[string]int{}
	}
	return l
}

// Enter counts a new open request. It fails with *ErrLimit if a limit is reached.
func (l *limits) Enter(workspace string) error {
	if !l.enterGateway() {
		return &ErrLimit{What: "gateway", Limit: l.maxOpen}
	}
	if !l.shard(workspace).enter(workspace, l.maxWorkspace) {
		l.leaveGateway()
		return &ErrLimit{What: "workspace", Limit: l.maxWorkspace}
	}
	return nil
}

// Leave records the end of a request.
func (l *limits) Leave(workspace string) {
	l.shard(workspace).leave(workspace)
	l.leaveGateway()
}

// Open returns the number of open requests.
func (l *limits) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *limits) enterGateway() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.maxOpen {
		return false
	}
	l.open++
	return true
}

func (l *limits) leaveGateway() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

func (l *limits) shard(workspace string) *limitShard {
	return &l.shards[xxhash.Sum64String(workspace)%limitShards]
}

func (s *limitShard) enter(workspace string, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[workspace] >= limit {
		return false
	}
	s.open[workspace]++
	return true
}

func (s *limitShard) leave(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[workspace]--
	if s.open[workspace] == 0 {
		delete(s.open, workspace)
	}
}

// Constants of the retry budget. Each request adds retriesPerRequest to the balance, up to
// maxSavedRetries. The budget keeps the loss of a failure domain from causing a retry storm.
const (
	retriesPerRequest = 0.2
	maxSavedRetries   = 100
)

// retryBudget is a token bucket that allows retries in proportion to requests.
type retryBudget struct {
	mu      sync.Mutex
	balance float64
}

func newRetryBudget() *retryBudget { return &retryBudget{balance: maxSavedRetries} }

// earn adds retriesPerRequest to the budget for a new request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxSavedRetries, b.balance+retriesPerRequest)
}

// spend takes one retry from the budget and reports whether one was left.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
