package ingress

import (
	"net/http"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/quota"
)

// charge takes what the request may use from its workspace's limit. It fails with
// *quota.ErrQuota.
func (x *exchange) chargeQuota() error {
	if x.workspace == nil || x.g.options.Quota == nil {
		return nil
	}
	cost := x.workspace.Limit.Cost(x.call.Prompt, x.call.MaxOut)
	if err := x.g.options.Quota.Admit(x.workspace, cost, time.Now()); err != nil {
		return err
	}
	x.cost = cost
	return nil
}

// refundQuota returns what was taken for a request that never ran.
func (x *exchange) refundQuota() {
	if x.cost > 0 && (x.life == nil || !x.life.MayHaveRun()) {
		x.g.options.Quota.GiveBack(x.workspace, x.cost, time.Now())
	}
}

// limit answers that a workspace has used up its limit, and when there is room again.
func (x *exchange) respondOverQuota(err *quota.ErrQuota) {
	x.respond(http.StatusTooManyRequests, err, decisionlog.F("retry_after", x.setRetryAfter(max(err.After, shortRetryAfter))))
}
