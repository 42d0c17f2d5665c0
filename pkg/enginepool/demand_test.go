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
		e.own[id] = &reservation{job: Job{ID: id, Prompt: prompt, Length: p.Lengths.Estimate(hint, 0)}}
		p.RecordTokens("d1", id, 1, now, now)
		delete(e.own, id)
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
