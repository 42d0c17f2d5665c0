package decisionlog

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/spectest"
)

// Any value that Write writes must be returned unchanged by Read.
func TestWrittenValuesAreParsedBack(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		l := New("p-1", &out)
		values := rapid.SliceOfN(rapid.String(), 1, 4).Draw(t, "values")
		fields := []Field{}
		for _, v := range values {
			fields = append(fields, F("key", v))
		}
		l.Write(KindFailed, "some_event", fields...)
		l.Close(10 * time.Second)
		lines, err := Read(strings.NewReader("12.5 node " + out.String()))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(lines).To(HaveLen(1))
		g.Expect(lines[0].Process).To(Equal("p-1"))
		g.Expect(lines[0].Event).To(Equal("some_event"))
		for i, p := range lines[0].Pairs {
			g.Expect(p.Value).To(Equal(strings.ToValidUTF8(values[i], "\ufffd")))
		}
	})
}

const sample = `
noise without any decision
  1.0 b time=2026-12-02T10:00:01.000Z process=b kind=failed event=send_failed request=r1 at=5.0ms runner=i-1 error="no answer: cause=EOF"
  0.5 b time=2026-12-02T10:00:00.500Z process=b kind=state event=runner_leaving runner=i-1 service=s
  0.4 c time=2026-12-02T10:00:00.400Z process=c kind=state event=runner_leaving runner=i-1 service=s
  0.6 b time=2026-12-02T10:00:00.600Z process=b kind=state event=runner_leaving runner=i-9 service=s
  1.1 b time=2026-12-02T10:00:01.100Z process=b kind=failed event=request_end request=r1 status=502 outcome=unknown took=9.0ms error="given up"
  1.2 b time=2026-12-02T10:00:01.200Z process=b kind=done event=request_end request=r2 status=200 outcome=done took=9.0ms
`

// Guards against an explanation of a resumed stream that does not tell at which version it began.
func TestExplanationOfResumedStreamHasItsBeginning(t *testing.T) {
	g := NewWithT(t)
	lines, err := Read(strings.NewReader(`
time=2026-12-02T10:00:01.000Z process=a kind=step event=decode_begin request=r1 runner=i-1 software=v1
time=2026-12-02T10:00:02.000Z process=b kind=failed event=request_end request=r2 origin_request=r1 status=503 outcome=not_run took=9.0ms cause=software_gone error="none"
`))
	g.Expect(err).NotTo(HaveOccurred())
	s, err := Explain(lines, "r2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Origin).To(HaveLen(1))
	var out bytes.Buffer
	s.Write(&out)
	g.Expect(out.String()).To(ContainSubstring("software=v1"))
}

func TestExplanationHasLinesContextAndCause(t *testing.T) {
	g := NewWithT(t)
	lines, err := Read(strings.NewReader(sample))
	g.Expect(err).NotTo(HaveOccurred())
	s, err := Explain(lines, "r1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Lines).To(HaveLen(2))
	g.Expect(s.Context).To(HaveLen(1))
	g.Expect(s.Outcome).To(Equal("unknown, status 502, after 9.0ms"))
	g.Expect(s.Cause).To(And(ContainSubstring("given up"), ContainSubstring("send_failed at i-1"), ContainSubstring("runner_leaving")))
	_, err = Explain(lines, "r3")
	var none *ErrNoRequest
	g.Expect(errors.As(err, &none)).To(BeTrue())
	g.Expect(none.Lines).To(Equal(6))
	_, err = Explain(lines, "")
	g.Expect(errors.As(err, &none)).To(BeTrue())
}

func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Fuzz(func(_ *testing.T, text string) {
		Parse(text)
	})
}
