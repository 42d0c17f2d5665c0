package upstream

import "time"

const (
	// forgetFor is how long a runner is taken to forget idle connections after it failed a
	// request on one.
	forgetFor = 10 * time.Second
	// restPart is the part of the rest after which a connection failed that later ones
	// may rest.
	restPart = 0.5
)

// forgetful are the runners that failed requests on connections that had been idle, as
// one does that has forgotten them without closing them: by address, how long its
// connections may rest.
type forgetful map[string]rest

type rest struct {
	limit time.Duration
	until time.Time
}

// limit returns how long a connection to an address may rest.
func (f forgetful) limit(address string, now time.Time) time.Duration {
	if r, ok := f[address]; ok && now.Before(r.until) {
		return r.limit
	}
	return time.Duration(1<<63 - 1)
}

// note records that a request failed on a connection after a rest.
func (f forgetful) note(address string, rested time.Duration, now time.Time) {
	limit := min(f.limit(address, now), time.Duration(restPart*float64(rested)))
	f[address] = rest{limit: limit, until: now.Add(forgetFor)}
}

// sweep drops what has passed.
func (f forgetful) sweep(now time.Time) {
	for address, r := range f {
		if !now.Before(r.until) {
			delete(f, address)
		}
	}
}

// forgot notes that a request failed on a connection that had been idle, and closes the
// idle ones that rested as long: nothing need be sent on them to learn the same.
func (c *Client) forgot(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.forgets.note(k.address, k.rested, now)
	limit := c.forgets.limit(k.address, now)
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
