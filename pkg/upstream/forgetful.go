package upstream

import "time"

const (
	// idleLimitTTL is how long the idle limit of an address stays in force after the last
	// request that failed on an idle connection.
	idleLimitTTL = 10 * time.Second
	// idleLimitFactor is the new idle limit as a share of the idle time of the connection
	// that failed.
	idleLimitFactor = 0.5
)

// idleLimits holds, by address, how long connections may be idle before reuse. An address
// has a limit if requests failed on idle connections to it, as they do when a runner drops
// idle connections without closing them.
type idleLimits map[string]idleLimit

type idleLimit struct {
	limit   time.Duration
	expires time.Time
}

// limit returns how long a connection to an address may be idle before reuse. It returns the
// maximum duration if there is no limit.
func (l idleLimits) limit(address string, now time.Time) time.Duration {
	if r, ok := l[address]; ok && now.Before(r.expires) {
		return r.limit
	}
	return time.Duration(1<<63 - 1)
}

// record lowers the limit after a request failed on a connection that had been idle for idleFor.
func (l idleLimits) record(address string, idleFor time.Duration, now time.Time) {
	limit := min(l.limit(address, now), time.Duration(idleLimitFactor*float64(idleFor)))
	l[address] = idleLimit{limit: limit, expires: now.Add(idleLimitTTL)}
}

// sweep removes expired limits.
func (l idleLimits) sweep(now time.Time) {
	for address, r := range l {
		if !now.Before(r.expires) {
			delete(l, address)
		}
	}
}

// limitIdleTime records that a request failed on a connection that had been idle. It closes
// the connections to the same address that have reached the new limit, before further requests
// fail on them.
func (c *Client) limitIdleTime(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.idleLimits.record(k.address, k.idleFor, now)
	limit := c.idleLimits.limit(k.address, now)
	kept := c.idle[k.address][:0]
	for _, other := range c.idle[k.address] {
		if until := other.since.Add(limit); until.Before(other.until) {
			other.until = until
		}
		if now.Before(other.until) {
			kept = append(kept, other)
			continue
		}
		_ = other.Close()
	}
	c.idle[k.address] = kept
}
