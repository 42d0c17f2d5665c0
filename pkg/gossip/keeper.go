// Package gossip brings every accepted configuration into force in all
// processes. Each process watches the platform's key-value service and, so that
// an outage of that service changes nothing, also tells its peers: at once when
// it learns something new, and now and then to one at random. A process only
// ever goes from a revision to a newer one.
package gossip

import (
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
)

// Digest names a document.
type Digest struct {
	Revision uint64
	Hash     uint64
}

// Keeper holds the newest document that the process has seen.
type Keeper struct {
	mu        sync.RWMutex
	doc       *fleet.Document
	encoded   []byte
	digest    Digest
	confirmed time.Time
	known     bool
	changed   chan struct{}
}

// NewKeeper holds no document yet.
func NewKeeper() *Keeper {
	doc, _ := fleet.Decode(nil)
	return &Keeper{doc: doc, changed: make(chan struct{})}
}

// Offer adopts a document if it is newer than the present one and reports
// whether it was. Two different documents of one revision can't both come from
// a compare-and-swap; the first one then stays and Offer fails with *ErrFork.
func (k *Keeper) Offer(data []byte) (bool, error) {
	doc, err := fleet.Decode(data)
	if err != nil {
		return false, err
	}
	digest := Digest{doc.Revision, doc.Hash()}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known && digest.Revision == k.digest.Revision && digest.Hash != k.digest.Hash {
		return false, &ErrFork{Revision: digest.Revision, Mine: k.digest.Hash, Theirs: digest.Hash}
	}
	if k.known && digest.Revision <= k.digest.Revision {
		return false, nil
	}
	k.doc, k.encoded, k.digest, k.known = doc, doc.Encode(), digest, true
	close(k.changed)
	k.changed = make(chan struct{})
	return true, nil
}

// Confirm records that the present document was compared with the key-value
// service or a peer at that time.
func (k *Keeper) Confirm(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmed = now
}

// Stale reports whether no comparison happened for longer than limit: the
// process may have been paused or cut off, and should not act on what it knows.
func (k *Keeper) Stale(now time.Time, limit time.Duration) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return !k.known || now.Sub(k.confirmed) > limit
}

// Document returns the present document; it must not be changed.
func (k *Keeper) Document() *fleet.Document {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.doc
}

// Digest returns the present document's name, and whether there is one at all.
func (k *Keeper) Digest() (Digest, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.digest, k.known
}

// Encoded returns the present document as it travels.
func (k *Keeper) Encoded() []byte {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.encoded
}

// Changed returns a channel that is closed at the next adoption.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.changed
}
