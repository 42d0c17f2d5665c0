package process

import (
	"cmp"
	"slices"

	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/store"
	"github.com/hopwell/hopwell/platform"
)

const (
	// itemCost is the memory that an item takes beside its key and value, in bytes: its entry in the copy
	// of the store, and what is decoded of it.
	itemCost = 2 << 10
	// maxItemBytes bounds the key and value of an item, in bytes, and maxConfigBytes those of the
	// configuration, which may be as large as the store allows.
	maxItemBytes   = 16 << 10
	maxConfigBytes = 1<<20 + 1<<10
	// defaultCopyBytes is the bound of a copy without a bound of its own.
	defaultCopyBytes = 16 << 20
	// trimmedShare is the share of the bound that the items of a full read keep when they have exceeded it, so
	// that not every further page exceeds it again.
	trimmedShare = 0.75
)

// cost returns the memory that an item takes, in bytes.
func cost(i store.Item) int64 { return int64(len(i.Key)+len(i.Value)) + itemCost }

// checkItem returns *memory.ErrTooLarge if an item exceeds its bound.
func checkItem(i store.Item) error {
	bound := int64(maxItemBytes)
	if i.Key == platform.ConfigKey {
		bound = maxConfigBytes
	}
	if size := int64(len(i.Key) + len(i.Value)); size > bound {
		return memory.TooLarge("item of the store", size, bound)
	}
	return nil
}

// checkReadable returns why a runner's entry names no runner, and nil for any other item.
func checkReadable(i store.Item) error {
	if _, ok := platform.RunnerName(i.Key); !ok {
		return nil
	}
	_, err := platform.DecodeRunner(i.Key, i.Value)
	return err
}

// copyAccount is the name of the account of the items in the copy.
const copyAccount = "copy of the store"

// itemRank orders items by how much they are needed when there is no room for all.
type itemRank int

const (
	// rankConfig is for the configuration. It has room in any case.
	rankConfig itemRank = iota
	// rankKnown is for items that the copy has, rankNew for others.
	rankKnown
	rankNew
	// rankUnreadable is for runners' entries that name no runner.
	rankUnreadable
)

// rank returns the rank of an item. The caller holds the lock.
func (c *storeCopy) rank(i store.Item) itemRank {
	if i.Key == platform.ConfigKey {
		return rankConfig
	}
	if checkReadable(i) != nil {
		return rankUnreadable
	}
	if _, known := c.items[i.Key]; known {
		return rankKnown
	}
	return rankNew
}

// rankedItem is an item of a list with its place there.
type rankedItem struct {
	place int
	rank  itemRank
	cost  int64
}

// choose returns the items for which a function returns true and that fit into a bound, in their order, and the
// errors of those that don't fit or exceed their own bound. Of items of a rank, the smallest are preferred: another
// writer's large ones must not displace many. The caller holds the lock.
func (c *storeCopy) choose(items []store.Item, wanted func(key string) bool, bound int64) (chosen []store.Item, left []*ErrLeftOut) {
	total := int64(0)
	sound := make([]store.Item, 0, len(items))
	for _, i := range items {
		if !wanted(i.Key) {
			continue
		}
		if err := checkItem(i); err != nil {
			left = append(left, leftOut(i, err))
			continue
		}
		total += cost(i)
		sound = append(sound, i)
	}
	if total <= bound {
		return sound, left
	}
	ranked := make([]rankedItem, 0, len(sound))
	for n, i := range sound {
		ranked = append(ranked, rankedItem{place: n, rank: c.rank(i), cost: cost(i)})
	}
	slices.SortFunc(ranked, func(a, b rankedItem) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.cost, b.cost), cmp.Compare(a.place, b.place))
	})
	account := memory.NewAccount(copyAccount, bound)
	accepted := make([]bool, len(sound))
	for _, r := range ranked {
		err := account.Reserve(r.cost)
		if accepted[r.place] = err == nil || r.rank == rankConfig; !accepted[r.place] {
			left = append(left, leftOut(sound[r.place], err))
		}
	}
	for n, i := range sound {
		if accepted[n] {
			chosen = append(chosen, i)
		}
	}
	return chosen, left
}

// costOf returns the cost of a key's item in the copy, 0 if it has none. The caller holds the lock.
func (c *storeCopy) costOf(key string) int64 {
	if i, ok := c.items[key]; ok {
		return cost(i)
	}
	return 0
}

// limit returns the bound of the copy in bytes.
func (c *storeCopy) limit() int64 {
	if c.bound > 0 {
		return c.bound
	}
	return defaultCopyBytes
}

// admission is the admission of a list of changes to the copy.
type admission struct {
	copy    *storeCopy
	account *memory.Account
	// costs are those of the changed items, by key.
	costs map[string]int64
}

// admitChanges returns the changes with those replaced by removals that the copy has no room for, and
// the errors of these. A runner whose entry is too large gets no requests.
func (c *storeCopy) admitChanges(changes []store.Event) (admitted []store.Event, left []*ErrLeftOut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := admission{copy: c, account: memory.NewAccountInUse(copyAccount, c.limit(), c.size), costs: make(map[string]int64, len(changes))}
	for _, e := range changes {
		before, changed := a.costs[e.Key]
		if !changed {
			before = c.costOf(e.Key)
		}
		if !e.Removed {
			if err := a.admit(e.Item, before); err != nil {
				left = append(left, leftOut(e.Item, err))
				e = store.Event{Item: store.Item{Key: e.Key, Revision: e.Revision}, Removed: true}
			}
		}
		if a.costs[e.Key] = cost(e.Item); e.Removed {
			a.account.Release(before)
			a.costs[e.Key] = 0
		}
		admitted = append(admitted, e)
	}
	return admitted, left
}

// admit reserves the memory of an item that takes the place of one with the given cost. It fails with
// *memory.ErrTooLarge or *memory.ErrFull. Unreadable entries make room for readable ones, and the configuration needs
// none: a full copy must not keep it out.
func (a *admission) admit(i store.Item, before int64) error {
	if err := checkItem(i); err != nil {
		return err
	}
	more := cost(i) - before
	if more <= 0 {
		a.account.Release(-more)
		return nil
	}
	err := a.account.Reserve(more)
	if err == nil {
		return nil
	}
	if i.Key == platform.ConfigKey {
		a.account.Charge(more)
		return nil
	}
	if checkReadable(i) != nil || a.dropUnreadable() == 0 {
		return err
	}
	return a.account.Reserve(more)
}

// dropUnreadable removes the runners' entries that name no runner from the copy, where they have no effect, and
// returns the number of bytes that this frees.
func (a *admission) dropUnreadable() (freed int64) {
	c := a.copy
	if c.readable {
		return 0
	}
	c.readable = true
	for key, i := range c.items {
		if _, changed := a.costs[key]; !changed && checkReadable(i) != nil {
			freed += cost(i)
			c.remove(key)
		}
	}
	a.account.Release(freed)
	return freed
}

// admitItems returns the items of a full read that the copy has room for, and the errors of the others.
func (c *storeCopy) admitItems(items []store.Item) (admitted []store.Item, left []*ErrLeftOut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.choose(items, needed, c.limit())
}

// trim returns the items to keep of a full read in progress that has become too large.
func (c *storeCopy) trim(items []store.Item) (kept []store.Item, left []*ErrLeftOut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.choose(items, neededAtStart, int64(trimmedShare*float64(c.limit())))
}
