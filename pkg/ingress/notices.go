package ingress

import (
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// passedOverFor is the time after a runner announced its departure in which requests log it as
	// passed over.
	passedOverFor = 10 * time.Second
	// maxPassedOver limits the runners that are logged as passed over in one choice.
	maxPassedOver = 3
)

// logPassedOver logs the runners of a stage that are no candidates because they are leaving or
// paused.
func (x *exchange) logPassedOver(stage runners.Stage) {
	left := maxPassedOver
	for _, n := range x.g.Directory.Notices.Withheld(passedOverFor, time.Now()) {
		runner := x.g.Directory.Find(n.Runner)
		if runner == nil || runner.Service != x.service || runner.Stage != stage {
			continue
		}
		why := "paused"
		if n.Leaving {
			why = "leaving"
		}
		x.logStep("passed_over", decisionlog.F("runner", n.Runner), decisionlog.F("why", why), decisionlog.F("told_by", n.From),
			decisionlog.F("known_for", n.KnownFor), decisionlog.F("left", n.Left))
		if left--; left == 0 {
			return
		}
	}
}
