package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// Bounds of one commit.
const (
	maxCommitAttempts = 6
	callTimeout       = time.Second
)

// op is a claim or release that waits to be committed.
type op struct {
	key       Key
	requestID string
	release   bool
	reply     chan result
}

type result struct {
	holder string
	err    error
}

// shard commits the claims of one shard in groups.
type shard struct {
	number int
	kv     platform.KV

	mu         sync.Mutex
	pending    []op
	committing bool
	lastCommit time.Time

	// The fields below are accessed only by the goroutine that runs commitPending.
	version uint64
	head    *wirepb.ClaimHead
	blocks  map[uint64]map[Key]string
}

func newShard(number int, kv platform.KV) *shard {
	return &shard{number: number, kv: kv, blocks: map[uint64]map[Key]string{}}
}

func headKey(shard int) string { return fmt.Sprintf("hopwell/claims/%d", shard) }

func blockKey(shard int, block uint64) string {
	return fmt.Sprintf("hopwell/claims/%d/%d", shard, block)
}

// submit adds an operation to the next group and waits for its result. If ctx ends
// first, the operation may still take effect.
func (s *shard) submit(ctx context.Context, o op) (string, error) {
	o.reply = make(chan result, 1)
	s.mu.Lock()
	s.pending = append(s.pending, o)
	if !s.committing {
		s.committing = true
		go s.commitPending()
	}
	s.mu.Unlock()
	select {
	case r := <-o.reply:
		return r.holder, r.err
	case <-ctx.Done():
		return "", &ErrUnsettled{Shard: s.number, Err: ctx.Err()}
	}
}

// commitPending commits groups until no operation is pending. Each commit starts
// at least Interval after the previous one; after a longer idle time it starts at
// once.
func (s *shard) commitPending() {
	for {
		time.Sleep(time.Until(s.lastCommit.Add(Interval)))
		s.mu.Lock()
		group := s.pending
		s.pending = nil
		if len(group) == 0 {
			s.committing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.lastCommit = time.Now()
		s.commit(group)
	}
}

// commit commits a group and sends the result of each operation to its caller.
func (s *shard) commit(group []op) {
	var err error
	for range maxCommitAttempts {
		var results []result
		results, err = s.tryCommit(group)
		if err == nil {
			for i, o := range group {
				o.reply <- results[i]
			}
			return
		}
		s.head = nil
		if !platform.IsConflict(err) {
			// The response was lost, so the swap may have taken effect. Reload the
			// head to find out; the outcome stays unknown if that fails too.
			if loadErr := s.load(); loadErr != nil {
				break
			}
		}
	}
	for _, o := range group {
		o.reply <- result{err: &ErrUnsettled{Shard: s.number, Err: err}}
	}
}

// tryCommit applies a group to the cached head and writes the result by
// compare-and-swap. A group that changes nothing needs no write. Before tryCommit
// reports that another request holds a key, or that a release found nothing to
// remove, it reads the head again, since another process may have changed it.
func (s *shard) tryCommit(group []op) ([]result, error) {
	fresh := s.head == nil
	if fresh {
		if err := s.load(); err != nil {
			return nil, err
		}
	}
	next := proto.Clone(s.head).(*wirepb.ClaimHead)
	results, changed, needsFreshHead := s.applyAll(next, group)
	if needsFreshHead && !fresh {
		s.head = nil
		return s.tryCommit(group)
	}
	if !changed {
		return results, nil
	}
	if len(next.Entries) > maxHeadEntries {
		if err := s.seal(next); err != nil {
			return nil, err
		}
	}
	return results, s.swap(next)
}

// applyAll applies a group to a head. NeedsFreshHead reports whether any key was
// held by another request, or any release found nothing to remove. These results are
// valid only for a head that was just read.
func (s *shard) applyAll(head *wirepb.ClaimHead, group []op) (results []result, changed, needsFreshHead bool) {
	results = make([]result, len(group))
	for i, o := range group {
		holder, wrote := s.apply(head, o)
		results[i].holder = holder
		changed = changed || wrote
		nothingReleased := o.release && !wrote
		needsFreshHead = needsFreshHead || nothingReleased || holder != "" && holder != o.requestID
	}
	return results, changed, needsFreshHead
}

// apply applies one operation to a head. Wrote reports whether it modified the
// head. An entry with the operation's own request ID was written by an earlier
// attempt of the operation.
func (s *shard) apply(head *wirepb.ClaimHead, o op) (holder string, wrote bool) {
	for i, e := range head.Entries {
		if Key(e.Key) != o.key {
			continue
		}
		if o.release && e.RequestId == o.requestID {
			head.Entries = append(head.Entries[:i:i], head.Entries[i+1:]...)
			return "", true
		}
		return e.RequestId, false
	}
	for _, b := range head.Blocks {
		if h, ok := s.blocks[b.Number][o.key]; ok {
			return h, false
		}
	}
	if o.release {
		return "", false
	}
	head.Entries = append(head.Entries, &wirepb.ClaimEntry{Key: o.key[:], RequestId: o.requestID, Unix: time.Now().Unix()})
	return o.requestID, true
}

// seal moves the older entries of a head to a new block and drops blocks older
// than Keep. The block is written before the head: it has no effect until the
// head refers to it. Its number is random, so that a block left over by a writer
// whose swap of the head failed does not collide with another one.
func (s *shard) seal(head *wirepb.ClaimHead) error {
	cut := len(head.Entries) - maxHeadEntries/4
	block := &wirepb.ClaimHead{Entries: head.Entries[:cut]}
	data, err := proto.Marshal(block)
	if err != nil {
		return err
	}
	number := rand.Uint64()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := s.kv.Swap(ctx, blockKey(s.number, number), 0, data, 2*Keep); err != nil {
		return err
	}
	now := time.Now()
	head.Entries = head.Entries[cut:]
	head.Blocks = append(unexpired(head.Blocks, now), &wirepb.ClaimBlock{Number: number, NewestUnix: now.Unix()})
	s.blocks[number] = holdersByKey(block)
	return nil
}

// unexpired returns the blocks whose newest claim is younger than Keep.
func unexpired(blocks []*wirepb.ClaimBlock, now time.Time) []*wirepb.ClaimBlock {
	var out []*wirepb.ClaimBlock
	for _, b := range blocks {
		if now.Sub(time.Unix(b.NewestUnix, 0)) < Keep {
			out = append(out, b)
		}
	}
	return out
}

func (s *shard) swap(next *wirepb.ClaimHead) error {
	data, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	version, err := s.kv.Swap(ctx, headKey(s.number), s.version, data, 0)
	if err != nil {
		return err
	}
	s.version, s.head = version, next
	return nil
}

// load reads the head and those of its blocks that are not cached.
func (s *shard) load() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	v, err := s.kv.Get(ctx, headKey(s.number))
	if err != nil {
		return err
	}
	head := &wirepb.ClaimHead{}
	if err := proto.Unmarshal(v.Data, head); err != nil {
		return err
	}
	cached := s.blocks
	s.blocks = map[uint64]map[Key]string{}
	for _, b := range unexpired(head.Blocks, time.Now()) {
		s.blocks[b.Number] = cached[b.Number]
		if err := s.loadBlock(b.Number); err != nil {
			return err
		}
	}
	s.version, s.head = v.Version, head
	return nil
}

func (s *shard) loadBlock(number uint64) error {
	if s.blocks[number] != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	v, err := s.kv.Get(ctx, blockKey(s.number, number))
	if err != nil {
		return err
	}
	block := &wirepb.ClaimHead{}
	if err := proto.Unmarshal(v.Data, block); err != nil {
		return err
	}
	s.blocks[number] = holdersByKey(block)
	return nil
}

// holdersByKey maps the keys of a block to the request IDs that hold them.
func holdersByKey(block *wirepb.ClaimHead) map[Key]string {
	m := make(map[Key]string, len(block.Entries))
	for _, e := range block.Entries {
		m[Key(e.Key)] = e.RequestId
	}
	return m
}
