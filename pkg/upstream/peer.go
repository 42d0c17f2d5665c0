package upstream

import "sync/atomic"

// Peer is what the caller knows of the process at the other end of a connection. The connection ends with that
// process, so an identity holds for all responses that arrive on it. A nil Peer has no identity.
type Peer struct {
	identity atomic.Pointer[string]
}

// Identify records the identity of the process.
func (p *Peer) Identify(identity string) {
	if p != nil {
		p.identity.Store(&identity)
	}
}

// Is reports whether the process is known to have an identity.
func (p *Peer) Is(identity string) bool {
	if p == nil {
		return false
	}
	known := p.identity.Load()
	return known != nil && *known == identity
}
