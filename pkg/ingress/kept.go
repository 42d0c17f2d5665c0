package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// promptCacheTTL is how long an engine's list of kept prompts is used: parts that
	// nobody uses give way within some hundred milliseconds under load.
	promptCacheTTL = 300 * time.Millisecond
	// promptCacheTimeout bounds the call for a list. An engine answers in a few milliseconds;
	// one that does not is of no use for the resumption either.
	promptCacheTimeout = 120 * time.Millisecond
	// maxPromptCacheCalls bounds the engines that are asked for one prompt, so that the cost of
	// a resumption does not grow with the fleet. Of more, some are asked, and the prompt may
	// be computed again.
	maxPromptCacheCalls = 64
)

// promptCaches knows which engines keep a prompt in their KV cache. It asks them when
// a stream is resumed: the gateway that passed it on before may be gone, with all it
// knew.
type promptCaches struct {
	engines Engines
	log     *decisionlog.Log

	mu    sync.Mutex
	lists map[string]*promptCacheList
}

// promptCacheList is one engine's answer, or the call for it that is under way.
type promptCacheList struct {
	asked time.Time
	// done is closed with the call's end; tokens is by prompt ID.
	done   chan struct{}
	tokens map[string]int
}

func newPromptCaches(e Engines, l *decisionlog.Log) *promptCaches {
	return &promptCaches{engines: e, log: l, lists: map[string]*promptCacheList{}}
}

// find returns the engine of a list that keeps most of a prompt, and how many tokens;
// nil if none does.
func (k *promptCaches) find(ctx context.Context, list []*runners.State, prompt string) (*runners.State, int) {
	if prompt == "" {
		return nil, 0
	}
	list = list[:min(len(list), maxPromptCacheCalls)]
	calls := make([]*promptCacheList, len(list))
	for i, s := range list {
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
			best, most = list[i], n
		}
	}
	return best, most
}

// ask returns an engine's list that is new enough, or a call for it. Requests that
// need it at the same time share the call.
func (k *promptCaches) ask(ctx context.Context, s *runners.State) *promptCacheList {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.lists[s.ID]; l != nil && now.Sub(l.asked) < promptCacheTTL {
		return l
	}
	l := &promptCacheList{asked: now, done: make(chan struct{})}
	k.lists[s.ID] = l
	go func() {
		defer close(l.done)
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), promptCacheTimeout)
		defer cancel()
		s.Called("", time.Now())
		tokens, err := k.engines.Kept(call, s)
		if err != nil {
			k.log.Write(decisionlog.KindFailed, "kept_prompts_unknown", decisionlog.F("runner", s.ID), decisionlog.F("error", err))
		}
		l.tokens = tokens
	}()
	return l
}

// sweep drops lists that are too old to be used.
func (k *promptCaches) sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, l := range k.lists {
		if now.Sub(l.asked) > promptCacheTTL {
			delete(k.lists, id)
		}
	}
}
