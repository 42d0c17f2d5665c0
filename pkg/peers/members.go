package peers

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/subset"
)

// member is another gateway.
type member struct {
	name    string
	address *net.UDPAddr
	// incarnation and sequence are those of the newest datagram.
	incarnation, sequence uint64
	version               uint64
	lastSeen              time.Time
	alive                 bool
	domain                string
	// sent counts the datagrams to it; lastSent and lastFull are when the last one,
	// and the last one with everything, was sent. wantFull is set when it lacks
	// something; missing when something of its own was lost.
	sent                uint64
	lastSent, lastFull  time.Time
	needsFull, lostData bool
	// spendingRevision is the revision of the own spendingRevision up to which it was told.
	spendingRevision uint64
	// limitsRevision is the revision of the runners' limitsRevision up to which it was told.
	limitsRevision uint64
}

// Add records the address of another gateway.
func (x *Exchange) Add(name, address string) error {
	if name == x.options.Name {
		return nil
	}
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return &ErrAddress{Gateway: name, Address: address, Err: err}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.members[name] == nil {
		x.members[name] = &member{name: name, address: at, lastSeen: time.Now(), needsFull: true}
		x.memberships++
	}
	return nil
}

// Known returns how many other gateways are remembered, the silent ones too.
func (x *Exchange) Known() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.members)
}

// Names returns the names of the gateways that are remembered, the silent ones too.
func (x *Exchange) Names() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.sortedMembers()
	out := make([]string, 0, len(list))
	for _, m := range list {
		out = append(out, m.name)
	}
	return out
}

// Rank returns how many living gateways come before this one by name.
func (x *Exchange) Rank() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for name, m := range x.members {
		if m.alive && name < x.options.Name {
			n++
		}
	}
	return n
}

// Neighbours returns how many living gateways are in this one's failure domain.
func (x *Exchange) Neighbours() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, m := range x.members {
		if m.alive && m.domain == x.options.Domain {
			n++
		}
	}
	return n
}

// Addresses returns the addresses of the known gateways, those with the newest
// configuration first.
func (x *Exchange) Addresses() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := slices.Clone(x.sortedMembers())
	slices.SortStableFunc(list, func(a, b *member) int { return int(b.version) - int(a.version) })
	out := make([]string, 0, len(list))
	for _, m := range list {
		out = append(out, m.address.String())
	}
	return out
}

// NewestVersion returns the newest configuration version of the other gateways, 0 if unknown.
func (x *Exchange) NewestVersion() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	newest := uint64(0)
	for _, m := range x.members {
		newest = max(newest, m.version)
	}
	return newest
}

// Uses reports whether this gateway uses an engine; see package subset.
func (x *Exchange) Uses(engine string) bool { return x.subset.Load().Uses(engine) }

// sortedMembers returns the members by name, in a list that must not be changed. The caller holds the
// lock.
func (x *Exchange) sortedMembers() []*member {
	if x.byNameAt == x.memberships && x.byName != nil {
		return x.byName
	}
	list := make([]*member, 0, len(x.members))
	for _, m := range x.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int { return strings.Compare(a.name, b.name) })
	x.byName, x.byNameAt = list, x.memberships
	return list
}

// updateSubset makes the subsets anew after a gateway has come or gone. The caller holds
// the lock.
func (x *Exchange) updateSubset() {
	x.aliveNames = nil
	var others []string
	for _, m := range x.sortedMembers() {
		if m.alive {
			others = append(others, m.name)
		}
	}
	x.subset.Store(subset.New(x.options.Name, others))
}

// heartbeat returns the time between two datagrams to a gateway without news: it grows
// with the number of gateways, so that what all cost together does not.
func (x *Exchange) heartbeat() time.Duration {
	share := heartbeatPerGateway
	if x.options.Quota != nil && x.options.Quota.Limited() {
		share = limitedHeartbeatPerGateway
	}
	return max(minHeartbeat, time.Duration(len(x.members))*share)
}

// sweep notes which gateways have fallen silent, and drops those that were silent for
// long.
func (x *Exchange) sweep(now time.Time) {
	var silent []string
	x.mu.Lock()
	aliveFor := max(minAliveTime, aliveHeartbeats*x.heartbeat())
	for name, m := range x.members {
		silentFor := now.Sub(m.lastSeen)
		if m.alive && silentFor > aliveFor {
			m.alive = false
			silent = append(silent, name)
		}
		if silentFor > RememberFor {
			delete(x.members, name)
			x.memberships++
		}
	}
	if len(silent) > 0 {
		x.updateSubset()
	}
	known := len(x.members)
	x.updateQuotaMembers(now)
	x.updateLimitMembers()
	x.mu.Unlock()
	for _, name := range silent {
		x.options.Changed(name, Silent, known)
	}
}
