package quota

import (
	"container/list"
	"math"
	"time"

	"github.com/hopwell/hopwell/pkg/workspace"
)

// account is the token bucket of one workspace and the spending counted in it. All amounts are in
// units of the workspace's limit.
type account struct {
	name  string
	key   Key
	limit workspace.Limit
	// size is the capacity of the bucket. level is its content without the amounts in withheld; a
	// negative level is debt.
	size, level float64
	// refillRate is the rate at which all gateways together refill the bucket, in units per
	// second.
	refillRate float64
	// refilledTo is the value of fleet.refillTime up to which the bucket was refilled, in
	// seconds.
	refilledTo float64
	// withheld holds, for each peer that is not alive, the amount that it may spend while this
	// gateway receives nothing from it.
	withheld amounts
	// spent is what this gateway has spent since its process started. reported is the last total
	// that each peer reported.
	spent    int64
	reported totals
	// adopted is set once the level was taken over from a settled peer, one that has seen all
	// spending of a window.
	adopted bool
	// lastRevision is the ledger's revision at the last spending of this gateway from the bucket.
	// recentElement is the account's element in Ledger.recent, nil before the first spending.
	lastRevision  uint64
	recentElement *list.Element
}

// resize sets a new limit. The bucket stays as full as it was, as a fraction of its size.
func (a *account) resize(limit workspace.Limit, allowance Allowance, shares Shares) {
	oldSize := a.size
	allowed := limit.Rate*allowance.Window.Seconds() + limit.Burst + allowance.excess(limit)
	a.limit = limit
	// The size is at least 1, so that one request can pass. The refill rate is lowered
	// accordingly, because a bucket lets through its size plus the refill in a window.
	a.size = max(limit.Burst+shares.Bucket*allowance.excess(limit), 1)
	a.refillRate = min(limit.Rate, max(0, allowed-a.size)/allowance.Window.Seconds())
	if oldSize <= 0 {
		return
	}
	scale := a.size / oldSize
	a.level *= scale
	a.withheld.scale(scale)
}

// refill adds the refill since the last call. refillTime is the fleet's current refill time, in
// seconds.
func (a *account) refill(refillTime float64) {
	a.level = min(a.level+a.refillRate*(refillTime-a.refilledTo), a.size-a.withheld.sum())
	a.refilledTo = refillTime
}

// take withdraws an amount, or returns it if it is negative.
func (a *account) take(amount float64) { a.level = min(a.level-amount, a.size-a.withheld.sum()) }

// withhold adds a fraction of a level to the amount withheld for a peer that is not alive. The
// caller subtracts it from a.level.
func (a *account) withhold(slot int, fraction, level float64) {
	a.withheld.set(slot, a.withheld.get(slot)+max(0, level)*fraction)
}

// release adds the amount withheld for a removed peer back to the level.
func (a *account) release(slot int) {
	a.level += a.withheld.get(slot)
	a.withheld.set(slot, 0)
}

// timeUntil returns how long it takes until the bucket holds an amount, at a fraction of its refill
// rate. The result is at most maxWait, or the maximum duration if nothing is refilled.
func (a *account) timeUntil(amount, fraction float64) time.Duration {
	missing := min(amount, a.size) - a.level
	if missing <= 0 {
		return 0
	}
	if a.refillRate*fraction <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(missing/(a.refillRate*fraction), maxWait.Seconds()) * float64(time.Second))
}

// maxWait is the longest wait that is reported to a client over its limit.
const maxWait = time.Minute
