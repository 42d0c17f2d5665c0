package ingress

import (
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/runners"
)

const (
	// passedOverFor is how long the steps of requests name a runner that said that it leaves.
	passedOverFor = 10 * time.Second
	// maxPassedOver bounds the runners that the steps of one choice name.
	maxPassedOver = 3
)

// logPassedOver records the runners of a stage that can't be chosen for what they said of themselves.
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
			decisionlog.F("known_for", n.Known), decisionlog.F("left", n.Left))
		if left--; left == 0 {
			return
		}
	}
}
