package peers

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/subset"
)

// member is another gateway in the membership list.
type member struct {
	name    string
	address *net.UDPAddr
	// incarnation and sequence are those of the newest datagram from it.
	incarnation, sequence uint64
	version               uint64
	lastSeen              time.Time
	alive                 bool
	domain                string
	// sent counts the datagrams to it. lastSent is the time of the last one, lastFull that of
	// the last one with the full state. needsFull is set when it lacks data of this gateway,
	// lostData when a datagram from it was lost and no full state has arrived since.
	sent                uint64
	lastSent, lastFull  time.Time
	needsFull, lostData bool
	// spendingRevision is the revision up to which this gateway's spending was sent to it.
	spendingRevision uint64
	// limitsRevision is the revision up to which the runners' rate limits were sent to it. limitsLeft is set if
	// there were more than one datagram takes.
	limitsRevision uint64
	limitsLeft     bool
	// lag is the share of time by which it runs late.
	lag float64
}

// Add adds another gateway to the membership list, unless the list has it.
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
		if known := len(x.members); known >= maxMembers {
			return memory.TooLarge("gateways in the membership list", int64(known)+1, maxMembers)
		}
		x.members[name] = &member{name: name, address: at, lastSeen: time.Now(), needsFull: true}
		x.memberships++
		x.addName(name)
	}
	return nil
}

// MemberCount returns the number of other gateways in the membership list, including silent ones.
func (x *Exchange) MemberCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.members)
}

// Names returns the sorted names of the other gateways in the membership list, including silent ones.
// The list must not be modified. Names takes no lock: it is called while engines are chosen.
func (x *Exchange) Names() []string { return *x.names.Load() }

// addName adds a name to the list that Names returns. The caller holds the lock.
func (x *Exchange) addName(name string) {
	list := *x.names.Load()
	at, _ := slices.BinarySearch(list, name)
	list = slices.Insert(slices.Clip(list), at, name)
	x.names.Store(&list)
}

// removeName removes a name from the list that Names returns. The caller holds the lock.
func (x *Exchange) removeName(name string) {
	list := slices.DeleteFunc(slices.Clone(*x.names.Load()), func(n string) bool { return n == name })
	x.names.Store(&list)
}

// Rank returns the number of live gateways whose names sort before this gateway's name.
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

// SameDomainCount returns the number of other live gateways in this gateway's failure domain.
func (x *Exchange) SameDomainCount() int {
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

// Addresses returns the addresses of the other gateways in the membership list, those with the
// newest configuration first.
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

// GatewaysOf returns the gateways that use an engine, including this one. The list must not be modified.
func (x *Exchange) GatewaysOf(engine string) []string { return x.subset.Load().GatewaysOf(engine) }

// sortedMembers returns the members sorted by name. The caller holds the lock, and must not modify
// the list.
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

// updateSubset recomputes the subset of engines after a gateway became alive or silent. The caller
// holds the lock.
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

// heartbeat returns the time between two datagrams to a gateway without changes. It grows with the
// number of gateways, so that the total rate of heartbeats does not.
func (x *Exchange) heartbeat() time.Duration {
	perGateway := heartbeatPerGateway
	if x.options.Quota != nil && x.options.Quota.Limited() {
		perGateway = limitedHeartbeatPerGateway
	}
	return max(minHeartbeat, time.Duration(len(x.members))*perGateway)
}

// sweep marks gateways as silent when they time out, and removes those that were silent for
// MemberTTL. It passes the members to the quota and to the table of rate limits.
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
		if silentFor > MemberTTL {
			delete(x.members, name)
			x.memberships++
			x.removeName(name)
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
