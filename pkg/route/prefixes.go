package route

import (
	"sync"
)

const (
	// prefixShards is the number of shards, each with its own lock, that the
	// blocks are distributed over.
	prefixShards = 64
	// maxHolders is the maximum number of runners recorded per block.
	maxHolders = 4
)

// Prefixes records which runners probably have which prefix blocks cached. It
// infers this from the runners that prompts were sent to, and corrects it with
// the engines' cache events. Each shard keeps two generations of bounded size.
// When the young generation is full it replaces the old one, which drops the
// blocks that were not updated since.
type Prefixes struct {
	limit  int
	shards [prefixShards]prefixShard
}

type prefixShard struct {
	mu         sync.Mutex
	young, old map[uint64]holderSet
}

// holderSet contains runner IDs, the most recently added first; 0 marks an unused
// entry.
type holderSet [maxHolders]int32

func (h *holderSet) add(id int32) {
	for _, x := range h {
		if x == id {
			return
		}
	}
	copy(h[1:], h[:maxHolders-1])
	h[0] = id
}

func (h *holderSet) remove(id int32) {
	for i, x := range h {
		if x == id {
			copy(h[i:], h[i+1:])
			h[maxHolders-1] = 0
			return
		}
	}
}

// NewPrefixes returns an empty Prefixes that records at most about 2×blocks blocks.
func NewPrefixes(blocks int) *Prefixes {
	p := &Prefixes{limit: max(1, blocks/prefixShards)}
	for i := range p.shards {
		p.shards[i].young = map[uint64]holderSet{}
		p.shards[i].old = map[uint64]holderSet{}
	}
	return p
}

func (p *Prefixes) shard(block uint64) *prefixShard { return &p.shards[block%prefixShards] }

// Add records that a prompt with these blocks was sent to a runner, which is
// identified by its State.ID.
func (p *Prefixes) Add(blocks []uint64, runnerID int) {
	for _, b := range blocks {
		p.update(b, func(h *holderSet) { h.add(int32(runnerID)) })
	}
}

// Evicted records that a runner evicted a block from its prefix cache.
func (p *Prefixes) Evicted(block uint64, runnerID int) {
	p.update(block, func(h *holderSet) { h.remove(int32(runnerID)) })
}

func (p *Prefixes) update(block uint64, change func(*holderSet)) {
	s := p.shard(block)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.young[block]
	if !ok {
		h = s.old[block]
		delete(s.old, block)
	}
	change(&h)
	s.young[block] = h
	if len(s.young) > p.limit {
		s.old, s.young = s.young, map[uint64]holderSet{}
	}
}

func (p *Prefixes) find(block uint64) holderSet {
	s := p.shard(block)
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.young[block]; ok {
		return h
	}
	return s.old[block]
}

// Fill sets Cached of each candidate to the number of tokens in the leading
// blocks that the runner probably has cached, at most promptTokens-1. Cached must be
// 0 before the call. Fill stops at the first block that no candidate has.
func (p *Prefixes) Fill(blocks []uint64, blockTokens, promptTokens int, all []State) {
	for n, b := range blocks {
		h := p.find(b)
		found := false
		for i := range all {
			if all[i].Cached == n*blockTokens && h.has(int32(all[i].ID)) {
				all[i].Cached = min((n+1)*blockTokens, promptTokens-1)
				found = true
			}
		}
		if !found {
			return
		}
	}
}

func (h *holderSet) has(id int32) bool {
	for _, x := range h {
		if x == id {
			return true
		}
	}
	return false
}
