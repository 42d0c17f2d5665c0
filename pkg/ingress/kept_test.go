package ingress

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/runners"
)

// cachingEngines is a fake of the engines, one of which has a prompt in its cache. It counts the
// calls.
type cachingEngines struct {
	RunnerClient
	mu     sync.Mutex
	holder string
	calls  map[string]int
}

func (k *cachingEngines) CachedPrompts(_ context.Context, r *runners.State) (map[string]int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls[r.ID]++
	if r.ID == k.holder {
		return map[string]int{"p": 900}, nil
	}
	return map[string]int{"other": 100}, nil
}

func enginesOf(n int) []*runners.State {
	d := runners.NewDirectory("a")
	for i := range n {
		d.Put(runners.Runner{ID: fmt.Sprint("e", i), Service: "s", Stage: runners.Decode}, time.Now())
	}
	return d.Present("s", time.Now())
}

// Streams resumed within promptCacheTTL share one call to each engine, and the number of engines
// asked is limited.
func TestResumedStreamsShareBoundedCacheCalls(t *testing.T) {
	g := NewWithT(t)
	engines := enginesOf(3 * maxPromptCacheCalls)
	k := &cachingEngines{holder: engines[5].ID, calls: map[string]int{}}
	log := decisionlog.New("p", io.Discard)
	defer log.Close(time.Second)
	kept := newPromptCaches(k, log, memory.NewAccount("held", 1<<20))
	for range 10 {
		holder, tokens := kept.find(t.Context(), engines, "p")
		g.Expect(holder).To(Equal(engines[5]))
		g.Expect(tokens).To(Equal(900))
	}
	g.Expect(k.calls).To(HaveLen(maxPromptCacheCalls))
	g.Expect(k.calls[engines[5].ID]).To(BeNumerically("<=", 2), "shared for as long as a list is used")
	none, _ := kept.find(t.Context(), engines, "")
	g.Expect(none).To(BeNil())
}

// hoardingEngines are engines that all list a thousand prompts.
type hoardingEngines struct{ RunnerClient }

func (hoardingEngines) CachedPrompts(context.Context, *runners.State) (map[string]int, error) {
	out := map[string]int{}
	for i := range 1000 {
		out[fmt.Sprint("p", i)] = i
	}
	return out, nil
}

// Guards against lists of all engines that take all memory together until they are swept.
func TestListsOfCachedPromptsStayInTheirShare(t *testing.T) {
	g := NewWithT(t)
	held := memory.NewAccount("held", 1<<20)
	log := decisionlog.New("p", io.Discard)
	defer log.Close(time.Second)
	kept := newPromptCaches(hoardingEngines{}, log, held)
	for _, e := range enginesOf(3 * maxPromptCacheCalls) {
		<-kept.ask(t.Context(), e).done
	}
	g.Expect(held.Used()).To(And(BeNumerically(">", held.Bound()/2), BeNumerically("<=", held.Bound())))
	kept.sweep(time.Now().Add(time.Minute))
	g.Expect(held.Used()).To(BeZero())
}
