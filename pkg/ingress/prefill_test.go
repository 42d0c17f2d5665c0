package ingress

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/retrybudget"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/runners"
)

// A runner that loses responses is given up sooner than one that is only slow.
func TestPrefillTimeoutIsLongerForReliableRunner(t *testing.T) {
	g := NewWithT(t)
	d := runners.NewDirectory("a")
	d.Put(runners.Runner{ID: "r", Service: "s", Stage: runners.Prefill}, time.Now())
	r := d.All("s")[0]
	trusted := prefillTimeout(r, time.Second)
	r.Failed(time.Now())
	g.Expect(prefillTimeout(r, time.Second)).To(Equal(prefillSlack + prefillFactor*time.Second))
	g.Expect(trusted).To(BeNumerically(">", prefillTimeout(r, time.Second)))
}

// prefillCounter is a RunnerClient that computes prompts and counts them.
type prefillCounter struct {
	RunnerClient
	prefills int
}

func (c *prefillCounter) Prefill(context.Context, *runners.State, *Call, CallOptions) (PrefilledCache, error) {
	c.prefills++
	return PrefilledCache{Tokens: 5000}, nil
}

// newGeneration returns a request on the decode runner "d", which has a number of others in progress.
func newGeneration(c RunnerClient, others int) (*generation, *reservation) {
	g := New(Options{Runners: c, Pool: enginepool.DefaultOptions(), Log: decisionlog.New("g", io.Discard)})
	now := time.Now()
	g.Directory.Put(runners.Runner{ID: "d", Service: "s", Stage: runners.Decode}, now)
	g.Directory.Put(runners.Runner{ID: "p", Service: "s", Stage: runners.Prefill}, now)
	pool := g.pool("s")
	pool.Configure(enginepool.Spec{Memory: 75000, Slots: 16})
	pool.ReceiveSnapshot("other", enginepool.Snapshot{Engines: []enginepool.EngineLoad{{Runner: "d", Loads: make([]enginepool.Load, others)}}}, now)
	s := &generation{
		exchange: &exchange{
			g: g, call: &Call{ID: "x", Prompt: 5000}, ctx: context.Background(), arrived: now, service: "s", table: &routetable.Table{},
			route: &routetable.Route{LatencyTarget: 800 * time.Millisecond, GapTarget: 300 * time.Millisecond, MaxAttempts: 2},
		},
		pool: pool, budget: g.budget("s"), engine: &routetable.Engine{TokensPerEvent: 74}, failedPrefill: map[string]bool{},
		job: enginepool.Job{ID: "x", Prompt: 5000},
	}
	runner, err := pool.Wait(context.Background(), pool.NewWaiter(s.job, enginepool.Fresh))
	if err != nil {
		panic(err)
	}
	return s, &reservation{runner: runner}
}

// Guards against prompts that delay all answers of a decode runner because the best prefill runner failed
// one prefill lately.
func TestPromptDelaysNoAnswersForOneFailedPrefill(t *testing.T) {
	for others, apart := range map[int]int{0: 0, 8: 1} {
		g := NewWithT(t)
		c := &prefillCounter{}
		s, room := newGeneration(c, others)
		s.g.Directory.Find("p").Failed(time.Now())
		_, _, err := s.prefill(room)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.prefills).To(Equal(apart), "%d others", others)
	}
}

// Guards against repeated prefills that are not charged to the retry budget.
func TestPrefillOfASecondAttemptIsAnExtraSend(t *testing.T) {
	for slack, prefills := range map[float64]int{0: 1, 100: 2} {
		g := NewWithT(t)
		c := &prefillCounter{}
		s, room := newGeneration(c, 8)
		s.g.LimitRetries(retrybudget.Limits{Slack: slack, Window: time.Minute})
		left := s.budget.Left(time.Now())
		for range 2 {
			_, _, err := s.prefill(room)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(c.prefills).To(Equal(prefills), "slack %v", slack)
		g.Expect(left-s.budget.Left(time.Now())).To(BeEquivalentTo(prefills-1), "slack %v", slack)
	}
}
