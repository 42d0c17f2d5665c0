package losses

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/spectest"
)

const generation = " service=llm target=900.0ms gap=300.0ms prompt=3000 "

// sample is the logs of gateways a and b. b lost power while it served g5.
const sample = `
time=2026-12-02T10:00:01.000Z process=a kind=done event=request_end request=g1 status=200 took=1000.0ms first_event=200.0ms pause=60.0ms returning=false` + generation + `
time=2026-12-02T10:00:01.100Z process=a kind=done event=request_end request=g2 status=200 took=1000.0ms first_event=950.0ms pause=60.0ms returning=false` + generation + `
time=2026-12-02T10:00:01.200Z process=a kind=done event=request_end request=g3 status=200 took=1000.0ms first_event=200.0ms pause=400.0ms returning=false` + generation + `
time=2026-12-02T10:00:01.300Z process=a kind=failed event=request_end request=g4 status=503 took=198.0ms cause=no_room error="no room" returning=false` + generation + `
time=2026-12-02T10:00:01.400Z process=b kind=step event=decode_begin request=g5 at=200.0ms service=llm runner=e1
time=2026-12-02T10:00:02.500Z process=a kind=done event=request_end request=g6 status=200 took=100.0ms first_event=90.0ms resumed_by=client returning=true` + generation + `
time=2026-12-02T10:00:02.600Z process=a kind=done event=request_end request=g7 status=200 took=100.0ms first_event=90.0ms returning=true` + generation + `
time=2026-12-02T10:00:02.500Z process=a kind=failed event=prompt_wasted request=g6 runner=e1 reason=resumed_by_client tokens=3000
time=2026-12-02T10:00:02.600Z process=a kind=done event=request_end request=l1 status=500 took=80.0ms service=app target=300.0ms
time=2026-12-02T10:00:02.700Z process=a kind=failed event=request_end request=l2 status=502 took=80.0ms service=app target=300.0ms cause=answer_lost error=lost
time=2026-12-02T10:00:02.700Z process=a kind=failed event=request_end request=n1 status=404 took=0.0ms service="" cause=refused error="no route"
time=2026-12-02T10:00:02.550Z process=a kind=step event=prefill_local request=g7 expected=90.0ms failures=0.300 runner=e1 running=0
time=2026-12-02T10:00:02.000Z process=a kind=state event=pool service=llm prefill=3 decode=6 changing=0 reserved=0.500 waiting=2 reading=100
time=2026-12-02T10:00:02.200Z process=b kind=state event=pool service=llm prefill=3 decode=6 changing=0 reserved=0.700 waiting=4 reading=x
`

func newReport(t *testing.T, text string) *Report {
	lines, err := decisionlog.Read(strings.NewReader(text))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	start := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	return New(lines).Report(start, 2*time.Second)
}

func TestEachRequestHasOneCause(t *testing.T) {
	g := NewWithT(t)
	r := newReport(t, sample)
	g.Expect(r.Windows).To(HaveLen(2))
	first, second := r.Windows[0], r.Windows[1]
	g.Expect(first.Generations).To(Equal(Count{Total: 5, Lost: map[Cause]int{LateFirst: 1, LongPause: 1, NoRoom: 1, GatewayLost: 1}}))
	g.Expect(first.Generations.InTime()).To(Equal(1))
	g.Expect(second.Generations.Lost).To(Equal(map[Cause]int{Resumed: 1, Returned: 1}))
	g.Expect(second.Lookups.Lost).To(Equal(map[Cause]int{ServiceFailed: 1, AnswerLost: 1}))
	g.Expect(second.Wasted).To(Equal(map[string]int{"resumed_by_client": 3000}))
	g.Expect([]int{first.LocalPrefills, second.LocalPrefills}).To(Equal([]int{0, 1}))
	g.Expect(second.Engines.Reserved).To(BeNumerically("~", 0.6, 1e-9))
	g.Expect(second.Engines.Waiting).To(BeNumerically("~", 3, 1e-9))
}

func TestLostRequestsAreListedWithTimeAndCause(t *testing.T) {
	g := NewWithT(t)
	r := newReport(t, sample)
	worst := r.Worst(1)[0]
	g.Expect(worst.From).To(Equal(2 * time.Second))
	var out strings.Builder
	g.Expect(r.WriteLost(&out, r.Windows[0])).To(Succeed())
	g.Expect(out.String()).To(And(ContainSubstring("g5"), ContainSubstring("gateway_lost"), ContainSubstring("decoding at e1"), ContainSubstring("1.102")))
	g.Expect(out.String()).NotTo(ContainSubstring("g1"))
}

// Fields that can't be parsed count as 0, so the report must give their number.
func TestMalformedFieldsAreCounted(t *testing.T) {
	g := NewWithT(t)
	r := newReport(t, sample)
	var out strings.Builder
	g.Expect(r.Write(&out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("1 fields could not be parsed"))
	g.Expect(out.String()).To(MatchRegexp(`all\s+7\s+1\s+0.14`))
}

func TestReportIsDrawnAsSVG(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	g.Expect(newReport(t, sample).WriteSVG(&out)).To(Succeed())
	g.Expect(out.String()).To(And(ContainSubstring("<svg"), ContainSubstring(string(GatewayLost)), ContainSubstring("</svg>")))
	g.Expect(newReport(t, "nothing").WriteSVG(&out)).To(Succeed())
}

// For any request lines, each request must be counted exactly once.
func TestEveryRequestIsCountedOnce(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var text strings.Builder
		n := rapid.IntRange(0, 30).Draw(t, "requests")
		for i := range n {
			at := time.Date(2026, 12, 2, 10, 0, 1, i*int(50*time.Millisecond), time.UTC).Format("2006-01-02T15:04:05.000Z")
			status := rapid.SampledFrom([]string{"200", "500", "503", "0", "x"}).Draw(t, "status")
			cause := rapid.SampledFrom([]string{"", "no_room", "broken", "client_gone", "odd"}).Draw(t, "cause")
			text.WriteString("time=" + at + " process=a kind=done event=request_end request=r" + string(rune('a'+i)) + " service=s took=5.0ms status=" + status + " cause=" + cause + "\n")
		}
		lines, err := decisionlog.Read(strings.NewReader(text.String()))
		g.Expect(err).NotTo(HaveOccurred())
		total := New(lines).Report(time.Time{}, 300*time.Millisecond).Total()
		g.Expect(total.Lookups.Total).To(Equal(n))
		g.Expect(total.Lookups.InTime()).To(And(BeNumerically(">=", 0), BeNumerically("<=", n)))
	})
}

func TestRefusalsHaveSeparateCauses(t *testing.T) {
	g := NewWithT(t)
	r := newReport(t, `
time=2026-12-02T10:00:00.100Z process=a kind=failed event=request_end request=q1 status=429 took=0.0ms cause=over_limit error="quota used up" returning=false`+generation+`
time=2026-12-02T10:00:00.200Z process=a kind=failed event=request_end request=q2 status=401 took=0.0ms service=app cause=no_key error="no valid key"
time=2026-12-02T10:00:00.300Z process=a kind=failed event=request_end request=q3 status=503 took=0.0ms service=app cause=key_unconfirmed error="keys not confirmed"
time=2026-12-02T10:00:00.400Z process=a kind=failed event=request_end request=q4 status=503 took=0.0ms service=app cause=no_region error="no runner in the allowed regions"
time=2026-12-02T10:00:00.500Z process=a kind=failed event=request_end request=q5 status=503 took=0.0ms service=app cause=evacuated error="all runners are in evacuated domains"
time=2026-12-02T10:00:00.600Z process=a kind=failed event=request_end request=q6 status=503 took=0.0ms service=app cause=runner_limit error="runners take no more"
`)
	g.Expect(r.Windows[0].Generations.Lost).To(Equal(map[Cause]int{OverLimit: 1}))
	g.Expect(r.Windows[0].Lookups.Lost).To(Equal(map[Cause]int{NoKey: 1, KeyUnconfirmed: 1, NoRegion: 1, Evacuated: 1, RunnerLimit: 1}))
}

// Guards against a cause that the log has but no table shows, so that its requests seem to have been served.
func TestTablesShowEveryRefusal(t *testing.T) {
	for _, cause := range []Cause{NoRoom, OverLimit, NoKey, KeyUnconfirmed, Quarantined, NoRegion, Evacuated, RunnerLimit, RunnersUnavailable, RunnersFull, SoftwareUnknown, SoftwareGone, Refused} {
		g := NewWithT(t)
		r := newReport(t, `time=2026-12-02T10:00:00.100Z process=a kind=failed event=request_end request=q1 status=503 took=0.0ms service=app cause=`+string(cause)+` error="refused"`)
		var text strings.Builder
		g.Expect(r.Write(&text)).To(Succeed())
		g.Expect(text.String()).To(ContainSubstring(string(cause)))
	}
}
