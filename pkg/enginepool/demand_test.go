package enginepool

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// recordResponses begins and ends n requests on an engine, with prompts of a length in tokens
// and a length hint.
func recordResponses(p *Pool, n, prompt, hint int, now time.Time) {
	for i := range n {
		id := "job" + string(rune('a'+i%26))
		e := p.engine("d1")
		e.own.set(id, &reservation{job: Job{ID: id, Prompt: prompt, Length: p.Lengths.Estimate(hint, 0)}})
		p.RecordTokens("d1", id, 1, now, now)
		e.own.remove(id)
	}
}

func TestPrefillShareDependsOnPromptAndResponseLengths(t *testing.T) {
	g := NewWithT(t)
	share := func(prompt, hint int) float64 {
		p, _ := pool(2, 1, 40000)
		recordResponses(p, 2*minResponses, prompt, hint, time.Now())
		s, known := p.PrefillShare()
		g.Expect(known).To(BeTrue())
		return s
	}
	usual := share(3000, 600)
	g.Expect(share(9000, 150)).To(BeNumerically(">", usual))
	g.Expect(share(500, 1500)).To(BeNumerically("<", usual))
	g.Expect(usual).To(And(BeNumerically(">", 0), BeNumerically("<", 1)))
}

func TestPrefillShareIsUnknownAtFirstAndFollowsLoadChange(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(2, 1, 40000)
	now := time.Now()
	_, known := p.PrefillShare()
	g.Expect(known).To(BeFalse())
	recordResponses(p, minResponses-1, 3000, 600, now)
	_, known = p.PrefillShare()
	g.Expect(known).To(BeFalse())
	recordResponses(p, 100, 3000, 600, now)
	before, _ := p.PrefillShare()
	recordResponses(p, 20, 9000, 150, now.Add(5*demandDecayTime))
	after, known := p.PrefillShare()
	g.Expect(known).To(BeTrue())
	g.Expect(after).To(BeNumerically(">", 1.5*before), "old requests hardly count")
}

// Guards against prefill engines that seem twice as fast as they are: of the prompts that other gateways
// reported ahead most are completed by the time the prompt is assigned.
func TestPrefillRateIsNotLearnedFromStaleBacklog(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(1, 1, 40000)
	now := time.Now()
	prefillOne := func(ahead int) {
		p.ReceiveSnapshot("other", Snapshot{Engines: []EngineLoad{{Runner: "p0", PrefillTokens: ahead}}}, now)
		_, _, err := p.BeginPrefill(Prompt{ID: "a", Tokens: 5000}, now)
		g.Expect(err).NotTo(HaveOccurred())
		now = now.Add(100 * time.Millisecond)
		p.EndPrefill("p0", "a", true, now)
	}
	prefillOne(0)
	for range 20 {
		prefillOne(10000)
	}
	g.Expect(p.Speed("p0", now).Prefill).To(BeNumerically("~", 50000, 1))
}

// Guards against too few prefill engines after a start: responses that began before the first rates were
// measured counted with ten times their true duration for a minute.
func TestPrefillShareUsesMeasuredRates(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(2, 1, 75000)
	recordResponses(p, 2*minResponses, 5000, 4500, time.Now())
	before, _ := p.PrefillShare()
	p.engine("d1").speed.observe(70, 70*time.Second/1500, time.Now())
	after, _ := p.PrefillShare()
	g.Expect(after).To(BeNumerically(">", 3*before))
}
