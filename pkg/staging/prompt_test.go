package staging

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

const ms = time.Millisecond

// busy is a decode engine with answers in progress and events each 45 ms, which computes a prompt of
// 5,000 tokens in 180 ms.
func busy(answers int) Decoder {
	return Decoder{PrefillSpeed: 55000, Running: answers, EventInterval: 45 * ms, AnswerTime: 3 * time.Second}
}

func prompt(tokens int) Prompt {
	return Prompt{Tokens: tokens, Target: 800 * ms, TargetLeft: 750 * ms, GapTarget: 300 * ms}
}

// Guards against prompts that delay ten answers because a prefill engine fails one prefill in six.
func TestBusyDecodeEngineReadsNoPromptForSmallRisk(t *testing.T) {
	g := NewWithT(t)
	failing := Prefiller{Expected: 150 * ms, Failures: 0.17, Timeout: 600 * ms}
	g.Expect(Place(prompt(5000), failing, busy(10)).UseLocal()).To(BeFalse())
	g.Expect(Place(prompt(5000), failing, busy(1)).UseLocal()).To(BeFalse())
	g.Expect(Place(prompt(5000), failing, busy(0)).UseLocal()).To(BeTrue(), "nobody is delayed")
	g.Expect(Place(prompt(200), failing, busy(10)).UseLocal()).To(BeTrue(), "a short prompt delays nobody noticeably")
}

// Guards against a request with little time left, whose lateness counted as that of many callers.
func TestRequestThatIsAlmostLateDelaysNoOthers(t *testing.T) {
	g := NewWithT(t)
	p := prompt(5000)
	p.TargetLeft = 40 * ms
	g.Expect(Place(p, Prefiller{Expected: 320 * ms, Timeout: 900 * ms}, busy(9)).UseLocal()).To(BeFalse())
}

// A queue of several targets' length at the prefill engines is relieved by decode engines with few answers.
func TestLongPrefillQueueIsRelieved(t *testing.T) {
	g := NewWithT(t)
	queued := Prefiller{Expected: 2 * time.Second, Timeout: 5 * time.Second}
	g.Expect(Place(prompt(5000), queued, busy(2)).UseLocal()).To(BeTrue())
	g.Expect(Place(prompt(5000), queued, busy(12)).UseLocal()).To(BeFalse())
}

// Prompts of twice the length take twice as long at a decode engine, which the gaps of its answers
// don't allow.
func TestLongerPromptsAreReadApart(t *testing.T) {
	g := NewWithT(t)
	failing := Prefiller{Expected: 500 * ms, Failures: 0.2, Timeout: 1300 * ms}
	g.Expect(Place(prompt(2500), failing, busy(3)).UseLocal()).To(BeTrue())
	g.Expect(Place(prompt(10000), failing, busy(3)).UseLocal()).To(BeFalse())
}

// While requests wait for room, delayed answers keep memory that others wait for.
func TestLackOfRoomCounts(t *testing.T) {
	g := NewWithT(t)
	at, free := Prefiller{Expected: 100 * ms, Failures: 0.3, Timeout: 500 * ms}, busy(8)
	p := Prompt{Tokens: 2000, Target: 800 * ms, TargetLeft: 750 * ms, GapTarget: 2 * time.Second}
	full := free
	full.Short = true
	g.Expect(Place(p, at, free).UseLocal()).To(BeTrue())
	g.Expect(Place(p, at, full).UseLocal()).To(BeFalse())
}

// Guards against prompts that are sent twice to a prefill engine that answers none, and are then computed at
// the decode engine anyway.
func TestPrefillEngineThatAlwaysFailsGetsNoPrompts(t *testing.T) {
	g := NewWithT(t)
	at := Prefiller{Expected: 150 * ms, Failures: 1, Timeout: 600 * ms}
	g.Expect(Place(prompt(5000), at, busy(10)).UseLocal()).To(BeTrue())
}

// Guards against a speed near zero, whose duration overflowed and counted as no time.
func TestSlowestDecodeEngineGetsNoPrompts(t *testing.T) {
	g := NewWithT(t)
	for _, speed := range []float64{0, 1e-300, 1e-9, 1} {
		d := busy(10)
		d.PrefillSpeed = speed
		g.Expect(Place(prompt(5000), Prefiller{Expected: 600 * ms, Timeout: time.Second}, d).UseLocal()).To(BeFalse(), "%g", speed)
	}
}

// A route without targets keeps the prefill engines.
func TestPromptWithoutTargetsIsComputedApart(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Place(Prompt{Tokens: 5000}, Prefiller{Expected: time.Second, Failures: 0.5, Timeout: time.Second}, busy(10)).UseLocal()).To(BeFalse())
}

// A decode engine gets a prompt the less readily the more answers it runs, and the more readily the
// more often the prefill engine fails.
func TestPlacementIsMonotonic(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		p := Prompt{Target: 800 * ms, Tokens: rapid.IntRange(1, 20000).Draw(t, "tokens"), TargetLeft: time.Duration(rapid.IntRange(-500, 2000).Draw(t, "left")) * ms, GapTarget: time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * ms}
		at := Prefiller{Expected: time.Duration(rapid.IntRange(1, 3000).Draw(t, "expected")) * ms, Failures: rapid.Float64Range(0, 0.9).Draw(t, "failures")}
		at.Timeout = 300*ms + 2*at.Expected
		d := busy(rapid.IntRange(0, 30).Draw(t, "running"))
		d.Short = rapid.Bool().Draw(t, "short")
		one := Place(p, at, d)
		if one.Apart < 0 || one.Local < 0 {
			t.Fatalf("negative cost: %+v", one)
		}
		more := d
		more.Running++
		if !one.UseLocal() && Place(p, at, more).UseLocal() {
			t.Fatal("more answers in progress made the decode engine preferable")
		}
		worse := at
		worse.Failures += 0.1
		if one.UseLocal() && p.TargetLeft > 0 && !Place(p, worse, d).UseLocal() {
			t.Fatal("more failures made the prefill engine preferable")
		}
	})
}

func BenchmarkPlace(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Place(prompt(5000), Prefiller{Expected: 150 * ms, Failures: 0.17, Timeout: 600 * ms}, busy(10))
	}
}
