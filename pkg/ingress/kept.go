package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// promptCacheTTL is the time for which an engine's list of cached prompts is used. Under load,
	// engines evict unused prompts within some hundred milliseconds.
	promptCacheTTL = 300 * time.Millisecond
	// promptCacheTimeout limits the call that fetches a list. An engine normally responds in a few
	// milliseconds; one that does not is of no use for the resumed stream either.
	promptCacheTimeout = 120 * time.Millisecond
	// maxPromptCacheCalls limits the engines asked for one prompt, so that the cost of a resumed
	// stream does not grow with the number of engines. If there are more, only some are asked, and
	// the prompt may be computed again.
	maxPromptCacheCalls = 64
)

// promptCaches finds the engines that have a prompt in their KV cache. It asks them when a stream
// is resumed, since the gateway that relayed the stream before may have been lost with its state.
type promptCaches struct {
	engines RunnerClient
	log     *decisionlog.Log
	// held bounds the memory of all lists.
	held *memory.Account

	mu    sync.Mutex
	lists map[string]*promptCacheList
}

// promptCacheList is an engine's list of cached prompts, or the pending call for it.
type promptCacheList struct {
	asked time.Time
	// done is closed when the call ends. tokens holds the number of cached tokens by prompt ID.
	done   chan struct{}
	tokens map[string]int
	// held is the memory that the list takes until it is removed.
	held memory.Usage
}

// cachedPromptCost is the memory that a prompt in a list takes beside its ID, in bytes.
const cachedPromptCost = 64

func newPromptCaches(e RunnerClient, l *decisionlog.Log, held *memory.Account) *promptCaches {
	return &promptCaches{engines: e, log: l, held: held, lists: map[string]*promptCacheList{}}
}

// find returns the one of the given engines that has the most tokens of a prompt in its cache, and
// their number; nil if none has any.
func (k *promptCaches) find(ctx context.Context, engines []*runners.State, prompt string) (*runners.State, int) {
	if prompt == "" {
		return nil, 0
	}
	engines = engines[:min(len(engines), maxPromptCacheCalls)]
	calls := make([]*promptCacheList, len(engines))
	for i, s := range engines {
		calls[i] = k.ask(ctx, s)
	}
	var best *runners.State
	most := 0
	for i, c := range calls {
		select {
		case <-c.done:
		case <-ctx.Done():
			return nil, 0
		}
		if n := c.tokens[prompt]; n > most {
			best, most = engines[i], n
		}
	}
	return best, most
}

// ask returns an engine's list, from an earlier call if that is recent enough. Concurrent requests
// share one call.
func (k *promptCaches) ask(ctx context.Context, s *runners.State) *promptCacheList {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if list := k.lists[s.ID]; list != nil && now.Sub(list.asked) < promptCacheTTL {
		return list
	}
	list := &promptCacheList{asked: now, done: make(chan struct{}), held: memory.Usage{Account: k.held}}
	k.remove(s.ID)
	k.lists[s.ID] = list
	go func() {
		defer close(list.done)
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), promptCacheTimeout)
		defer cancel()
		s.CallSent("", time.Now())
		tokens, err := k.engines.CachedPrompts(call, s)
		if err == nil {
			err = k.keep(s.ID, list, tokens)
		}
		if err != nil {
			k.log.Write(decisionlog.KindFailed, "kept_prompts_unknown", decisionlog.F("runner", s.ID), decisionlog.F("error", err))
		}
	}()
	return list
}

// keep stores the result of a call in its list, unless the list has been removed meanwhile. It fails with
// *memory.ErrFull if there is no memory for it.
func (k *promptCaches) keep(engine string, list *promptCacheList, tokens map[string]int) error {
	size := 0
	for id := range tokens {
		size += len(id) + cachedPromptCost
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lists[engine] != list {
		return nil
	}
	if err := list.held.Resize(int64(size)); err != nil {
		return err
	}
	list.tokens = tokens
	return nil
}

// remove removes the list of an engine. The caller holds the lock.
func (k *promptCaches) remove(engine string) {
	if list := k.lists[engine]; list != nil {
		list.held.Release()
		delete(k.lists, engine)
	}
}

// sweep removes lists that are too old to be used.
func (k *promptCaches) sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, l := range k.lists {
		if now.Sub(l.asked) > promptCacheTTL {
			k.remove(id)
		}
	}
}
