package peers

import "time"

const (
	// permille is the unit of the lag in a datagram.
	permille = 1000
	// maxLagAge is the age up to which the lag of another gateway is current.
	maxLagAge = 3 * time.Second
)

// lagPermille returns this gateway's lag for a datagram.
func (x *Exchange) lagPermille() uint32 {
	if x.options.Lag == nil {
		return 0
	}
	return uint32(x.options.Lag() * permille)
}

// DomainLags returns the lags of the other live gateways of this gateway's failure domain, from which a
// datagram arrived lately.
func (x *Exchange) DomainLags(now time.Time) []float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []float64
	for _, m := range x.members {
		if m.alive && m.domain == x.options.Domain && now.Sub(m.lastSeen) <= maxLagAge {
			out = append(out, m.lag)
		}
	}
	return out
}
