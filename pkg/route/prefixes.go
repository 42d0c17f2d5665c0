package route

import (
	"sync"
)

const (
	// prefixShards is the number of locks that the blocks spread over.
	prefixShards = 64
	// holders is how many runners one block remembers.
	holders = 4
)

// Prefixes remembers which runners probably have which prefix blocks cached:
// from where prompts were sent, corrected by the engines' cache events. Each
// shard keeps two generations of a bounded size; when the young one is full it
// becomes the old one, and what nobody asked for is forgotten.
type Prefixes struct {
	limit  int
	shards [prefixShards]prefixShard
}

type prefixShard struct {
	mu         sync.Mutex
	young, old map[uint64]holderSet
}

// holderSet holds runner IDs, 0 for none.
type holderSet [holders]int32

func (h *holderSet) add(id int32) {
	for _, x := range h {
		if x == id {
			return
		}
	}
	copy(h[1:], h[:holders-1])
	h[0] = id
}

func (h *holderSet) remove(id int32) {
	for i, x := range h {
		if x == id {
			copy(h[i:], h[i+1:])
			h[holders-1] = 0
			return
		}
	}
}

// NewPrefixes remembers at most about 2×blocks blocks.
func NewPrefixes(blocks int) *Prefixes {
	p := &Prefixes{limit: max(1, blocks/prefixShards)}
	for i := range p.shards {
		p.shards[i].young = map[uint64]holderSet{}
		p.shards[i].old = map[uint64]holderSet{}
	}
	return p
}

func (p *Prefixes) shard(block uint64) *prefixShard { return &p.shards[block%prefixShards] }

// Add records that a runner got a prompt with these blocks.
func (p *Prefixes) Add(blocks []uint64, runner int) {
	for _, b := range blocks {
		p.update(b, func(h *holderSet) { h.add(int32(runner)) })
	}
}

// Evicted records that a runner dropped a block.
func (p *Prefixes) Evicted(block uint64, runner int) {
	p.update(block, func(h *holderSet) { h.remove(int32(runner)) })
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

// Fill sets Cached of all candidates: the tokens of the leading blocks that the
// runner is thought to have, always short of the whole prompt. It stops at the
// first block that none has.
func (p *Prefixes) Fill(blocks []uint64, blockTokens, promptTokens int, all []State) {
	for n, b := range blocks {
		h := p.find(b)
		some := false
		for i := range all {
			if all[i].Cached == n*blockTokens && h.has(int32(all[i].ID)) {
				all[i].Cached = min((n+1)*blockTokens, promptTokens-1)
				some = true
			}
		}
		if !some {
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
