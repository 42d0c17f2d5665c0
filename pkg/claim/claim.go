// Package claim makes sure that the key of a request that must not be repeated
// belongs to one request in the whole fleet, across gateways, crashes and
// outages. Claims live in the platform's key-value service. Many claims share
// one write, so that the write rate does not grow with the traffic, and every
// claim of a shard goes through a compare-and-swap of the shard's one head key,
// so that it stays right whoever writes.
package claim

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/platform"
)

const (
	// Shards is the number of head keys. It is the same in all processes.
	Shards = 4
	// Keep is how long a key stays claimed.
	Keep = time.Hour
	// Interval is the least time between two writes of one shard: 4 shards
	// write at most 40 times a second.
	Interval = 100 * time.Millisecond
	// sealEntries is the number of claims in the head above which they move
	// into a sealed block.
	sealEntries = 1200
	// releaseRetry is the wait before a failed release is tried again.
	releaseRetry = time.Second
)

// Key names what may run once: a workspace's idempotency key, hashed.
type Key [16]byte

// NewKey hashes a caller's key within its workspace.
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

// Claimer claims keys. A Store is one; so is a client of another process's.
type Claimer interface {
	// Claim gives the key to the request unless another one has it, and returns
	// the holder. *ErrUnsettled means that the claim may have been made.
	Claim(ctx context.Context, k Key, request string) (holder string, err error)
	// Release gives a key back that the request holds, since it certainly did
	// not run and never will.
	Release(ctx context.Context, k Key, request string) error
}

// Store claims keys in the key-value service.
type Store struct {
	shards [Shards]*shard
}

// NewStore returns a store; it does nothing until it is asked.
func NewStore(kv platform.KV) *Store {
	s := &Store{}
	for i := range s.shards {
		s.shards[i] = newShard(i, kv)
	}
	return s
}

// Claim implements Claimer.
func (s *Store) Claim(ctx context.Context, k Key, request string) (string, error) {
	return s.shards[k.Shard()].do(ctx, op{key: k, request: request})
}

// Release implements Claimer. While the key-value service is down it goes on
// trying until the context ends.
func (s *Store) Release(ctx context.Context, k Key, request string) error {
	for {
		_, err := s.shards[k.Shard()].do(ctx, op{key: k, request: request, release: true})
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
