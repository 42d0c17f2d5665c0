package losses

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const forecastSample = `
time=2026-12-02T10:00:00.400Z process=a kind=done event=request_end request=g1 status=200 took=400.0ms forecast_wait=200.0ms room_after=260.0ms returning=false` + generation + `
time=2026-12-02T10:00:00.500Z process=a kind=done event=request_end request=g2 status=200 took=400.0ms forecast_wait=200.0ms room_after=100.0ms returning=false` + generation + `
time=2026-12-02T10:00:00.600Z process=a kind=failed event=request_end request=g3 status=503 took=200.0ms forecast_wait=0.0ms kept=false retry_after=4000.0ms cause=no_room returning=false` + generation + `
time=2026-12-02T10:00:00.700Z process=b kind=failed event=request_end request=g4 status=503 took=1.0ms forecast_wait=none refused_at_once=true kept=true retry_after=2000.0ms cause=no_room returning=false` + generation + `
time=2026-12-02T10:00:03.000Z process=b kind=done event=request_end request=g5 status=200 took=900.0ms room_after=10.0ms returning=true` + generation + `
time=2026-12-02T10:00:03.100Z process=b kind=done event=request_end request=g6 status=200 took=400.0ms room_after=5.0ms returning=false` + generation + `
`

func TestForecastsAreComparedWithOutcomes(t *testing.T) {
	g := NewWithT(t)
	r := newReport(t, forecastSample)
	g.Expect(r.Windows).To(HaveLen(2))
	g.Expect(r.Windows[0].Forecast).To(Equal(Forecast{
		Waited: 3, Room: 2, Error: -20 * time.Millisecond, AbsoluteError: 80 * time.Millisecond, RefusedAtOnce: 1, Told: 2, Kept: 1,
	}))
	g.Expect(r.Windows[1].Forecast).To(Equal(Forecast{Returned: 1, ReturnedRoom: 1, ReturnWait: 10 * time.Millisecond}))
	var out strings.Builder
	g.Expect(r.Write(&out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("FORECAST"))
	out.Reset()
	g.Expect(r.WriteSVG(&out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("mean absolute error"))
}

func TestNoForecastTableWithoutForecasts(t *testing.T) {
	g := NewWithT(t)
	r := newReport(t, strings.ReplaceAll(sample, "returning=true", "returning=false"))
	var out strings.Builder
	g.Expect(r.Write(&out)).To(Succeed())
	g.Expect(out.String()).NotTo(ContainSubstring("FORECAST"))
}
