package gateway

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// limitShards is the number of locks that workspaces spread over.
const limitShards = 16

// limits counts open requests of the gateway and of each workspace.
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

// Enter records a request, or fails with *ErrLimit.
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

// Leave records a request's end.
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

// Budget of retries after failures, so that a lost failure domain does not
// become a storm: each request earns a part of a retry.
const (
	retryEarned = 0.2
	retrySaved  = 100
)

// retryBudget allows retries in proportion to requests.
type retryBudget struct {
	mu    sync.Mutex
	saved float64
}

func newRetryBudget() *retryBudget { return &retryBudget{saved: retrySaved} }

// earn records a new request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(retrySaved, b.saved+retryEarned)
}

// spend takes one retry, or reports that none is left.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
