package peers

import (
	"math"
	"slices"
	"time"

	"github.com/hopwell/hopwell/pkg/enginepool"
	"github.com/hopwell/hopwell/pkg/fairness"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// minWaitingInterval and waitingPerGateway determine the time between two datagrams to a gateway
	// that only tell what waits here: the larger of minWaitingInterval and waitingPerGateway times the
	// number of members, so that their total rate is at most 100 a second.
	minWaitingInterval = 100 * time.Millisecond
	waitingPerGateway  = 10 * time.Millisecond
	// usesPerGateway determines the time between two reports of the use of workspaces to a gateway, at
	// most 160 bytes each: usesPerGateway times the number of members, and at least minUsesInterval.
	usesPerGateway  = 60 * time.Millisecond
	minUsesInterval = 300 * time.Millisecond
	// leastUrgentTTL is how long the report of a gateway's least urgent class is valid.
	leastUrgentTTL = 2 * time.Second
)

// waitingState is what a gateway was told of the requests that wait here, and what it reported.
type waitingState struct {
	// leastUrgent is the least urgent class, by service, that waits at the gateway or was served there
	// lately, as reported at the time at.
	leastUrgent map[string]fairness.Class
	at          time.Time
	// told holds the services for which the gateway was told of more urgent requests that wait here.
	told             map[string]bool
	sentAt, usesSent time.Time
}

// receiveWaiting records the least urgent classes of a message. The caller holds the lock.
func (w *waitingState) receiveWaiting(snapshots map[string]enginepool.Snapshot, now time.Time) {
	for service, s := range snapshots {
		if w.leastUrgent == nil {
			w.leastUrgent = map[string]fairness.Class{}
		}
		delete(w.leastUrgent, service)
		if n := len(s.Classes); n > 0 {
			w.leastUrgent[service] = slices.MaxFunc(s.Classes, func(a, b fairness.Waiting) int { return a.Class.Compare(b.Class) }).Class
		}
		w.at = now
	}
}

// due reports whether the gateway must be told what waits here for a service: requests that are more
// urgent than some that it serves, or no more of those that it was told of.
func (w *waitingState) due(service string, s enginepool.Snapshot, interval time.Duration, now time.Time) bool {
	if now.Sub(w.sentAt) < interval {
		return false
	}
	return w.told[service] || w.moreUrgent(service, s, now)
}

// moreUrgent reports whether requests wait here that are more urgent than some of the gateway.
func (w *waitingState) moreUrgent(service string, s enginepool.Snapshot, now time.Time) bool {
	least, ok := w.leastUrgent[service]
	if !ok || now.Sub(w.at) > leastUrgentTTL {
		return false
	}
	return slices.ContainsFunc(s.Classes, func(c fairness.Waiting) bool { return c.Count > 0 && c.Class.Compare(least) < 0 })
}

// recordSent records that the gateway is sent what waits here for a service.
func (w *waitingState) recordSent(service string, s enginepool.Snapshot, now time.Time) {
	if w.told == nil {
		w.told = map[string]bool{}
	}
	w.sentAt = now
	w.told[service] = w.moreUrgent(service, s, now)
}

// addWaiting returns, of the changes for a gateway, those that are sent: changes of engines with what
// waits here, and what waits here alone if that is due. The caller holds the lock.
func (x *Exchange) addWaiting(m *member, part, changed map[string]enginepool.Snapshot, now time.Time) map[string]enginepool.Snapshot {
	n := time.Duration(len(x.members))
	for service, s := range changed {
		p, included := part[service]
		if !included && !m.waiting.due(service, s, max(minWaitingInterval, n*waitingPerGateway), now) {
			continue
		}
		if !included {
			p = enginepool.Snapshot{Waiting: s.Waiting}
		}
		p.Classes = s.Classes
		if now.Sub(m.waiting.usesSent) >= max(minUsesInterval, n*usesPerGateway) && len(s.Uses) > 0 {
			p.Uses = s.Uses
			m.waiting.usesSent = now
		}
		m.waiting.recordSent(service, s, now)
		part[service] = p
	}
	return part
}

// waits reports whether requests wait here.
func waits(snapshots map[string]enginepool.Snapshot) bool {
	for _, s := range snapshots {
		if s.Waiting > 0 {
			return true
		}
	}
	return false
}

// encodeWaiting adds what waits here and the use of workspaces to a message.
func encodeWaiting(s enginepool.Snapshot, pool *wirepb.GatewayPool) {
	for _, c := range s.Classes {
		pool.WaitingClasses = append(pool.WaitingClasses, &wirepb.WaitingClass{
			Tier: uint32(c.Class.Tier), Priority: uint32(c.Class.Priority), Rank: uint32(c.Class.Rank),
			Count: uint32(c.Count), Tokens: uint64(c.Tokens), LongestMs: uint32(c.Longest.Milliseconds()),
		})
	}
	for _, u := range s.Uses {
		pool.Workspaces = append(pool.Workspaces, &wirepb.WorkspaceUse{Workspace: u.Workspace, Used: uint64(u.Used), Waiting: uint64(u.Waiting)})
	}
}

// bounded converts a number of tokens, so that sums over all gateways can't overflow.
func bounded(tokens uint64) int { return int(min(tokens, math.MaxInt32)) }

// decodeWaiting returns what waits at the sender of a message, and the use of workspaces there.
func decodeWaiting(pool *wirepb.GatewayPool) (classes []fairness.Waiting, uses []fairness.Use) {
	for _, c := range pool.WaitingClasses {
		classes = append(classes, fairness.Waiting{
			Class: fairness.Class{Tier: int(c.Tier), Priority: int(c.Priority), Rank: int(c.Rank)},
			Count: int(c.Count), Tokens: bounded(c.Tokens), Longest: time.Duration(c.LongestMs) * time.Millisecond,
		})
	}
	for _, u := range pool.Workspaces {
		uses = append(uses, fairness.Use{Workspace: u.Workspace, Used: bounded(u.Used), Waiting: bounded(u.Waiting)})
	}
	return classes, uses
}
