package enginepool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/runners"
)

// enginesOfTwoSpeeds returns a pool of engines, a third of which take twice as long, in both stages.
func enginesOfTwoSpeeds(prefill, decode int, now time.Time) *Pool {
	d := runners.NewDirectory("a")
	p := New("s", d, DefaultOptions())
	for i := range prefill + decode {
		r := runners.Runner{ID: fmt.Sprintf("e%04d", i), Service: "s", Stage: runners.Decode}
		speed := 1.0
		if i%3 == 0 {
			speed = 0.5
		}
		if i < prefill {
			r.Stage = runners.Prefill
			p.prefillRunner(r.ID).known = 50000 * speed
		} else {
			p.engine(r.ID).speed.observe(70, time.Duration(float64(40*time.Millisecond)/speed), now)
		}
		d.Put(r, now)
	}
	return p
}

// Speeds of prefill and of decode are compared by the fastest engines of both stages.
func TestRelativeSpeedsOfBothStagesAreComparable(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	p := enginesOfTwoSpeeds(12, 24, now)
	speeds := p.RelativeSpeeds(now)
	g.Expect(speeds).To(HaveLen(36))
	g.Expect(speeds["e0000"]).To(BeNumerically("~", 0.6, 0.01), "slow, prefill")
	g.Expect(speeds["e0001"]).To(BeNumerically("~", 1.2, 0.01), "fast, prefill")
	g.Expect(speeds["e0030"]).To(BeNumerically("~", 0.6, 0.01), "slow, decode")
	g.Expect(speeds["e0031"]).To(BeNumerically("~", 1.2, 0.01), "fast, decode")
}

// Where all prefill engines are slow, those that were measured in both stages give the ratio.
func TestEnginesMeasuredInBothStagesGiveTheRatio(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	p := enginesOfTwoSpeeds(0, 24, now)
	for _, id := range []string{"e0000", "e0003", "e0006"} {
		changed := p.directory.Find(id).Runner
		changed.Stage = runners.Prefill
		p.directory.Put(changed, now)
		p.prefillRunner(id).known = 25000
	}
	speeds := p.RelativeSpeeds(now)
	g.Expect(speeds["e0003"]).To(BeNumerically("~", 0.6, 0.01))
	g.Expect(speeds["e0004"]).To(BeNumerically("~", 1.2, 0.01))
}

// Guards against engines that all seem slow beside one whose prompts were found in the KV cache.
func TestOneEngineMeasuredFarTooFastHardlyMovesTheOthers(t *testing.T) {
	for _, count := range []int{3, 6, 34} {
		g := NewWithT(t)
		now := time.Now()
		p := enginesOfTwoSpeeds(count, 2*count, now)
		before := p.RelativeSpeeds(now)
		p.prefillRunner("e0001").known *= 100
		for id, v := range p.RelativeSpeeds(now) {
			if id != "e0001" {
				g.Expect(v).To(BeNumerically("~", before[id], 0.1), "%s of %d", id, 3*count)
			}
		}
	}
}

// An engine without a measurement has no relative speed.
func TestUnmeasuredEngineHasNoRelativeSpeed(t *testing.T) {
	g := NewWithT(t)
	p, _ := pool(2, 2, 40000)
	g.Expect(p.RelativeSpeeds(time.Now())).To(BeEmpty())
}

func BenchmarkRelativeSpeeds(b *testing.B) {
	for _, engines := range []int{46, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			now := time.Now()
			p := enginesOfTwoSpeeds(engines/4, engines-engines/4, now)
			b.ReportAllocs()
			for b.Loop() {
				p.RelativeSpeeds(now)
			}
		})
	}
}
