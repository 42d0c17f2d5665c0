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
	kept := newPromptCaches(k, log)
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
