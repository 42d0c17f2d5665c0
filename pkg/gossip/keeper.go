// Package gossip distributes every accepted configuration document to all
// processes. Each process watches the platform's key-value service. To keep
// working during an outage of that service it also exchanges documents with its
// peers: with a few at once after it adopts a new document, and with a random one
// periodically. The revision in a process never decreases.
package gossip

import (
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/fleet"
)

// Digest identifies a document.
type Digest struct {
	Revision uint64
	Hash     uint64
}

// Keeper holds the newest document that the process has seen.
type Keeper struct {
	mu          sync.RWMutex
	doc         *fleet.Document
	encoded     []byte
	digest      Digest
	confirmedAt time.Time
	hasDocument bool
	changed     chan struct{}
}

// NewKeeper returns a keeper without a document.
func NewKeeper() *Keeper {
	doc, _ := fleet.Decode(nil)
	return &Keeper{doc: doc, changed: make(chan struct{})}
}

// Offer adopts a document if it is newer than the present one and reports whether
// it did. Two different documents with the same revision can't both come from a
// compare-and-swap. In that case Offer keeps the present document and returns
// *ErrFork.
func (k *Keeper) Offer(data []byte) (bool, error) {
	doc, err := fleet.Decode(data)
	if err != nil {
		return false, err
	}
	digest := Digest{doc.Revision, doc.Hash()}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasDocument && digest.Revision == k.digest.Revision && digest.Hash != k.digest.Hash {
		return false, &ErrFork{Revision: digest.Revision, Mine: k.digest.Hash, Theirs: digest.Hash}
	}
	if k.hasDocument && digest.Revision <= k.digest.Revision {
		return false, nil
	}
	k.doc, k.encoded, k.digest, k.hasDocument = doc, doc.Encode(), digest, true
	close(k.changed)
	k.changed = make(chan struct{})
	return true, nil
}

// Confirm records that the present document was compared with the key-value
// service or a peer at the time now.
func (k *Keeper) Confirm(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmedAt = now
}

// Stale reports whether there is no document, or the last comparison is older than
// limit. The process may then have been suspended or partitioned, so callers
// must not act on its document.
func (k *Keeper) Stale(now time.Time, limit time.Duration) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return !k.hasDocument || now.Sub(k.confirmedAt) > limit
}

// Document returns the present document. The caller must not modify it.
func (k *Keeper) Document() *fleet.Document {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.doc
}

// Digest returns the present document's digest, and whether there is a document.
func (k *Keeper) Digest() (Digest, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.digest, k.hasDocument
}

// Encoded returns the present document in its wire format.
func (k *Keeper) Encoded() []byte {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.encoded
}

// Changed returns a channel that is closed when the next document is adopted.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.changed
}
