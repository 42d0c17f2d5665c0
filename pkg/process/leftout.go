package process

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/store"
)

// ErrLeftOut reports an item of the store that is not kept.
type ErrLeftOut struct {
	Key      string
	Revision store.Revision
	// Bytes is the size of the key and the value.
	Bytes int
	Err   error
}

// Error implements error.
func (e *ErrLeftOut) Error() string {
	return fmt.Sprintf("item is left out: key=%s revision=%s bytes=%d cause=%v", e.Key, e.Revision, e.Bytes, e.Err)
}

// Unwrap returns the cause.
func (e *ErrLeftOut) Unwrap() error { return e.Err }

// leftOut returns the error of an item that is not kept.
func leftOut(i store.Item, err error) *ErrLeftOut {
	return &ErrLeftOut{Key: i.Key, Revision: i.Revision, Bytes: len(i.Key) + len(i.Value), Err: err}
}

const (
	// maxLeftOut bounds the items whose omission is remembered. Further ones are logged by their number, which is
	// that of their readings.
	maxLeftOut = 4096
	// furtherInterval is the least time between two lines about further items.
	furtherInterval = 10 * time.Second
)

var itemsLeftOut = metrics.GetOrCreateCounter("hopwell_store_items_left_out_total")

// leftOutItems remembers which items were reported as left out, so that each is reported once, however often it is
// read.
type leftOutItems struct {
	mu        sync.Mutex
	revisions map[string]store.Revision
	// further is the number of readings of further items since furtherAt, when they were last logged.
	further   int
	furtherAt time.Time
}

// first reports whether an item is left out for the first time at its revision, and whether it could be remembered.
func (l *leftOutItems) first(key string, at store.Revision) (first, remembered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.revisions[key]
	if known && before == at {
		return false, true
	}
	if !known && len(l.revisions) >= maxLeftOut {
		return true, false
	}
	if l.revisions == nil {
		l.revisions = map[string]store.Revision{}
	}
	l.revisions[key] = at
	itemsLeftOut.Inc()
	return true, true
}

// countFurther counts readings of items that can't be remembered. It returns their number if it is to be logged now,
// else 0.
func (l *leftOutItems) countFurther(count int, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.further += count
	if now.Sub(l.furtherAt) < furtherInterval {
		return 0
	}
	count, l.further, l.furtherAt = l.further, 0, now
	return count
}

// forget forgets an item that was removed from the store.
func (l *leftOutItems) forget(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.revisions, key)
}

// logLeftOut logs each item that is left out, once for each of its revisions, and now and then the number of those that
// can't be remembered.
func (f *feed) logLeftOut(left []*ErrLeftOut) {
	further := 0
	for _, e := range left {
		first, remembered := f.leftOut.first(e.Key, e.Revision)
		if !remembered {
			further++
		} else if first {
			f.log.Write(decisionlog.KindFailed, "store_item_left_out", decisionlog.F("key", e.Key), decisionlog.F("revision", e.Revision), decisionlog.F("bytes", e.Bytes), decisionlog.F("error", e.Err))
		}
	}
	if further == 0 {
		return
	}
	if count := f.leftOut.countFurther(further, time.Now()); count > 0 {
		f.log.Write(decisionlog.KindFailed, "store_items_rejected", decisionlog.F("items", count), decisionlog.F("error", left[len(left)-1]))
	}
}

// admitChanges returns the changes that the copy of the store has room for, and logs the others.
func (f *feed) admitChanges(changes []store.Event) []store.Event {
	admitted, left := f.storeCopy.admitChanges(changes)
	for _, e := range changes {
		if e.Removed && !f.refused(e) {
			f.leftOut.forget(e.Key)
		}
	}
	f.logLeftOut(left)
	return admitted
}

// refused reports whether a removal stands for an item that refuseItem has left out at the same revision.
func (f *feed) refused(e store.Event) bool {
	f.leftOut.mu.Lock()
	defer f.leftOut.mu.Unlock()
	return f.leftOut.revisions[e.Key] == e.Revision
}

// admitItems returns the items that the copy of the store has room for, and logs the others.
func (f *feed) admitItems(items []store.Item) []store.Item {
	admitted, left := f.storeCopy.admitItems(items)
	f.logLeftOut(left)
	return admitted
}

// trimItems returns the items to keep of a full read that has become too large, and logs the others. It implements
// platform.Store.Trim.
func (f *feed) trimItems(items []store.Item) []store.Item {
	kept, left := f.storeCopy.trim(items)
	f.logLeftOut(left)
	return kept
}

// errUnneeded is why items are not kept that gateways don't read.
var errUnneeded = errors.New("not read by gateways")

// refuseItem returns why a changed item is not kept while too much has changed to keep it all, and logs it. It
// implements platform.Store.Refuse.
func (f *feed) refuseItem(i store.Item) error {
	if !needed(i.Key) {
		return errUnneeded
	}
	err := checkItem(i)
	if err == nil {
		err = checkReadable(i)
	}
	if err != nil {
		f.logLeftOut([]*ErrLeftOut{leftOut(i, err)})
	}
	return err
}
