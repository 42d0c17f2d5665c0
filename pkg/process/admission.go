package process

import (
	"github.com/hopwell/hopwell/pkg/decisionlog"
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

// copyAccount is the name of the account of the items in the copy.
const copyAccount = "copy of the store"

// admit reserves the memory of an item that takes the place of one with the given cost. It fails with
// *memory.ErrTooLarge or *memory.ErrFull.
func admit(items *memory.Account, i store.Item, before int64) error {
	if err := checkItem(i); err != nil {
		return err
	}
	more := cost(i) - before
	if more > 0 {
		return items.Reserve(more)
	}
	items.Release(-more)
	return nil
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

// admitChanges returns the changes with those replaced by removals that the copy has no room for, and
// the errors of these. A runner whose entry is too large gets no requests.
func (c *storeCopy) admitChanges(changes []store.Event) (admitted []store.Event, rejected []error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	account := memory.NewAccountInUse(copyAccount, c.limit(), c.size)
	costs := make(map[string]int64, len(changes))
	for _, e := range changes {
		before, changed := costs[e.Key]
		if !changed {
			before = c.costOf(e.Key)
		}
		if !e.Removed {
			if err := admit(account, e.Item, before); err != nil {
				rejected = append(rejected, err)
				e = store.Event{Item: store.Item{Key: e.Key, Revision: e.Revision}, Removed: true}
			}
		}
		if costs[e.Key] = cost(e.Item); e.Removed {
			account.Release(before)
			costs[e.Key] = 0
		}
		admitted = append(admitted, e)
	}
	return admitted, rejected
}

// admitItems returns the items of a full read that the copy has room for, those first that it has
// already, and the errors of the others.
func (c *storeCopy) admitItems(items []store.Item) (admitted []store.Item, rejected []error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	account := memory.NewAccount(copyAccount, c.limit())
	accepted := make([]bool, len(items))
	for _, known := range []bool{true, false} {
		for n, i := range items {
			if _, has := c.items[i.Key]; has != known || !needed(i.Key) {
				continue
			}
			err := admit(account, i, 0)
			accepted[n] = err == nil
			if err != nil {
				rejected = append(rejected, err)
			}
		}
	}
	for n, i := range items {
		if accepted[n] {
			admitted = append(admitted, i)
		}
	}
	return admitted, rejected
}

// admitChanges returns the changes that the copy of the store has room for, and logs the others.
func (f *feed) admitChanges(changes []store.Event) []store.Event {
	admitted, rejected := f.storeCopy.admitChanges(changes)
	f.logRejected(rejected)
	return admitted
}

// admitItems returns the items that the copy of the store has room for, and logs the others.
func (f *feed) admitItems(items []store.Item) []store.Item {
	admitted, rejected := f.storeCopy.admitItems(items)
	f.logRejected(rejected)
	return admitted
}

// logRejected logs that items were rejected, with the first error: it names the size and the bound.
func (f *feed) logRejected(rejected []error) {
	if len(rejected) > 0 {
		f.log.Write(decisionlog.KindFailed, "store_items_rejected", decisionlog.F("items", len(rejected)), decisionlog.F("error", rejected[0]))
	}
}
