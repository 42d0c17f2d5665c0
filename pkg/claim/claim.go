// Package claim ensures that at most one of all requests with the same idempotency
// key runs in the fleet, across gateways, crashes and outages, if the requests must
// not be repeated. Claims are stored in the platform's key-value service.
// They are written in groups, so that the write rate does not grow with the
// traffic. All claims of a shard are committed by compare-and-swap on the shard's
// single head key, so they stay correct with concurrent writers.
package claim

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/platform"
)

const (
	// Shards is the number of head keys. It must be the same in all processes.
	Shards = 4
	// Keep is the minimum time for which a key stays claimed. Claims expire only
	// in sealed blocks, Keep after the newest claim of the block.
	Keep = time.Hour
	// Interval is the minimum time between the starts of two group commits of
	// one shard: 4 shards write at most 40 times per second.
	Interval = 100 * time.Millisecond
	// maxHeadEntries is the number of claims in a head above which the older
	// ones are moved to a sealed block.
	maxHeadEntries = 1200
	// releaseRetry is the delay between attempts of a failed release.
	releaseRetry = time.Second
)

// Key is the hash of an idempotency key and its workspace. At most one request
// may run under it.
type Key [16]byte

// NewKey hashes a client's idempotency key together with its workspace.
func NewKey(workspace, key string) Key {
	var out Key
	for i, seed := range []uint64{0, 1} {
		d := xxhash.NewWithSeed(seed)
		_, _ = d.WriteString(workspace + "\x00" + key)
		copy(out[i*8:], d.Sum(nil))
	}
	return out
}

// Shard returns the shard that the key belongs to.
func (k Key) Shard() int { return int(k[0]) % Shards }

// Claimer claims keys. It is implemented by Store and by clients of a Store in
// another process.
type Claimer interface {
	// Claim claims the key for the request unless another request holds it, and
	// returns the holder. After *ErrUnsettled the claim may have been committed.
	Claim(ctx context.Context, k Key, requestID string) (holder string, err error)
	// Release releases a key that the request holds. The caller must be certain
	// that the request did not run and never will.
	Release(ctx context.Context, k Key, requestID string) error
}

// Store claims keys in the key-value service.
type Store struct {
	shards [Shards]*shard
}

// NewStore returns a store. It makes no calls before the first operation.
func NewStore(kv platform.KV) *Store {
	s := &Store{}
	for i := range s.shards {
		s.shards[i] = newShard(i, kv)
	}
	return s
}

// Claim implements Claimer.
func (s *Store) Claim(ctx context.Context, k Key, requestID string) (string, error) {
	return s.shards[k.Shard()].submit(ctx, op{key: k, requestID: requestID})
}

// Release implements Claimer. It retries until it succeeds or the context ends,
// so that a release succeeds after an outage of the key-value service.
func (s *Store) Release(ctx context.Context, k Key, requestID string) error {
	for {
		_, err := s.shards[k.Shard()].submit(ctx, op{key: k, requestID: requestID, release: true})
		if err == nil {
			return nil
		}
		select {
		case <-time.After(releaseRetry):
		case <-ctx.Done():
			return err
		}
	}
}
