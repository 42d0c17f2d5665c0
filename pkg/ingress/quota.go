package ingress

import (
	"net/http"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/quota"
)

// chargeQuota charges the request to its workspace's quota. It fails with *quota.ErrQuota.
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

// refundQuota refunds the charge of a request that never ran.
func (x *exchange) refundQuota() {
	if x.cost > 0 && (x.life == nil || !x.life.MayHaveRun()) {
		x.g.options.Quota.Refund(x.workspace, x.cost, time.Now())
	}
}

// respondOverQuota responds with 429 and the time until the workspace's quota has room again.
func (x *exchange) respondOverQuota(err *quota.ErrQuota) {
	x.respond(http.StatusTooManyRequests, err, decisionlog.F("retry_after", x.setRetryAfter(spread(max(err.After, shortRetryAfter)))))
}
