package fake

import "container/list"

// blockCache is a prefix cache of at most limit blocks. It evicts the least
// recently used blocks and reports every added or evicted block.
type blockCache struct {
	limit   int
	onEvent func(block uint64, evicted bool)
	lru     *list.List
	blocks  map[uint64]*list.Element
}

func newBlockCache(limit int, onEvent func(uint64, bool)) *blockCache {
	return &blockCache{limit: limit, onEvent: onEvent, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are cached, and marks them as
// recently used.
func (c *blockCache) match(blocks []uint64) int {
	for i, b := range blocks {
		el, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.lru.MoveToFront(el)
	}
	return len(blocks)
}

// add caches blocks and evicts the least recently used ones above the limit.
func (c *blockCache) add(blocks []uint64) {
	for _, b := range blocks {
		if el, ok := c.blocks[b]; ok {
			c.lru.MoveToFront(el)
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		c.onEvent(b, false)
	}
	for c.lru.Len() > c.limit {
		el := c.lru.Back()
		c.lru.Remove(el)
		delete(c.blocks, el.Value.(uint64))
		c.onEvent(el.Value.(uint64), true)
	}
}
