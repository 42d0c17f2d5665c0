package peers

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/hopwell/hopwell/pkg/quarantine"
)

// Guards against evidence that is lost because datagrams which several goroutines send overtake each other.
func TestPartEvidenceReachesOtherGatewaysAtOnce(t *testing.T) {
	g := NewWithT(t)
	a, b := newGateway(t, "a", 1), newGateway(t, "b", 1)
	var mu sync.Mutex
	got := map[uint64]quarantine.Crash{}
	var sound []quarantine.Sound
	var blames []quarantine.Blame
	b.options.ReceivePartEvidence = func(e quarantine.Evidence) {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range e.Crashes {
			got[c.Request] = c
		}
		sound, blames = append(sound, e.Sound...), append(blames, e.Blames...)
	}
	run(t, a)
	run(t, b)
	g.Expect(a.Add("b", b.address)).To(Succeed())
	g.Eventually(func() []string { return a.aliveAmong([]string{"b"}) }, "20s").Should(HaveLen(1))
	const crashes = 200
	parts := quarantine.Parts{7, 8}
	at := time.Now().Add(-time.Second)
	var senders sync.WaitGroup
	for i := range uint64(crashes) {
		senders.Go(func() {
			a.SendPartEvidence(quarantine.Evidence{Crashes: []quarantine.Crash{{Runner: 1, Request: i, Parts: parts, At: at}}}, time.Now())
		})
	}
	senders.Wait()
	a.SendPartEvidence(quarantine.Evidence{Sound: []quarantine.Sound{{Part: 7, At: at}},
		Blames: []quarantine.Blame{{Parts: parts, Since: at, Left: time.Minute}}}, time.Now())
	g.Eventually(func() int { mu.Lock(); defer mu.Unlock(); return len(got) }, "5s").Should(Equal(crashes))
	g.Eventually(func() int { mu.Lock(); defer mu.Unlock(); return len(sound) + len(blames) }, "5s").Should(Equal(2))
	mu.Lock()
	defer mu.Unlock()
	g.Expect(got[0].Parts).To(Equal(parts))
	g.Expect(got[0].At).To(BeTemporally("~", at, time.Second))
	g.Expect(blames[0].Parts).To(Equal(parts))
	g.Expect(blames[0].Left).To(Equal(time.Minute))
}

// Guards against a datagram that is too large to be sent, however much evidence is pending.
func TestEvidenceFitsDatagrams(t *testing.T) {
	g := NewWithT(t)
	parts := make(quarantine.Parts, quarantine.MaxParts)
	var e quarantine.Evidence
	for range 100 {
		e.Crashes = append(e.Crashes, quarantine.Crash{Runner: 1 << 63, Request: 1 << 63, Parts: parts})
		e.Blames = append(e.Blames, quarantine.Blame{Parts: parts, Left: quarantine.Duration})
		for range 20 {
			e.Sound = append(e.Sound, quarantine.Sound{Part: 1 << 63})
		}
	}
	a := newGateway(t, "a", 1)
	g.Expect(a.Add("b", a.address)).To(Succeed())
	a.members["b"].alive = true
	a.SendPartEvidence(e, time.Now())
	crashes, blamed, sound := 0, 0, 0
	for _, part := range split(a.outbox.take()["b"]) {
		g.Expect(proto.Size(part)).To(BeNumerically("<", maxDatagram-100))
		crashes += len(part.PartEvidence.Crashes)
		blamed += len(part.PartEvidence.Blamed)
		sound += len(part.PartEvidence.Sound)
	}
	g.Expect([]int{crashes, blamed, sound}).To(Equal([]int{100, 100, 2000}))
}

// Guards against a gateway that doesn't know whether others of its failure domain have processor time left.
func TestLagReachesGatewaysOfTheDomain(t *testing.T) {
	g := NewWithT(t)
	a, b, c := newGateway(t, "a", 1), newGateway(t, "b", 1), newGateway(t, "c", 1)
	c.options.Domain = "other"
	b.options.Lag = func() float64 { return 0.25 }
	for _, w := range []*gateway{a, b, c} {
		run(t, w)
	}
	g.Expect(a.Add("b", b.address)).To(Succeed())
	g.Expect(a.Add("c", c.address)).To(Succeed())
	g.Eventually(func() []string { return a.aliveAmong([]string{"b", "c"}) }, "20s").Should(HaveLen(2))
	g.Eventually(func() []float64 { return a.DomainLags(time.Now()) }, "5s").Should(Equal([]float64{0.25}))
	g.Expect(a.DomainLags(time.Now().Add(time.Minute))).To(BeEmpty(), "lags that are no longer current")
}
