package peers

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/runnerlimit"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

func TestRunnerLimitsSurviveEncoding(t *testing.T) {
	g := NewWithT(t)
	reports := []runnerlimit.Report{
		{Runner: "r", Statement: runnerlimit.Statement{Kind: runnerlimit.PrefillCall, Named: true, PerSecond: 2.9, Calls: 2}, NamedAgo: 40 * time.Millisecond, Sent: 7},
		{Runner: "s", Statement: runnerlimit.Statement{Kind: runnerlimit.RunCall, Named: true, PerSecond: 1, Calls: 1}, NamedAgo: time.Second, Ended: true, EndedAgo: 5 * time.Millisecond},
	}
	g.Expect(decodeLimits(encodeLimits(reports))).To(Equal(reports))
	g.Expect(decodeLimits([]*wirepb.RunnerLimit{{PerSecond: 1}, {Runner: "r", PerSecond: -1}, {Runner: "r", PerSecond: math.NaN()}, {Runner: "r", PerSecond: math.Inf(1)}})).To(BeEmpty())
}
