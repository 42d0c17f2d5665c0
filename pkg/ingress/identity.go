package ingress

import (
	"errors"
	"fmt"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/workspace"
)

// Revocation holds the settings that stop revoked keys from being accepted while the gateway may
// have missed the revocation.
type Revocation struct {
	// After limits the age of the store's last confirmation that this gateway has the newest
	// configuration. Requests with a key are refused if it is older; 0 for no limit.
	After time.Duration
	// Confirmed returns the time, by boottime, of the last read of the store that found no newer
	// configuration; zero for never.
	Confirmed func() time.Time
}

// ErrUnconfirmed reports that a request was refused because its key may have been revoked without
// this gateway knowing.
type ErrUnconfirmed struct {
	// Age is the time since the last confirmation, Limit the longest allowed.
	Age, Limit time.Duration
}

// Error implements error.
func (e *ErrUnconfirmed) Error() string {
	return fmt.Sprintf("keys not confirmed: age=%s limit=%s", e.Age, e.Limit)
}

// unconfirmedRetryAfter is the Retry-After of a request whose key can't be confirmed. If only this
// gateway is cut off from the store, the balancer has moved the client to another one by then (it
// needs two health checks, one per second). A short outage of the store is over by then, too.
const unconfirmedRetryAfter = 2 * time.Second

// identify authenticates the request and sets its workspace, if its route requires a key. It fails
// with *workspace.ErrCredential or *ErrUnconfirmed.
func (x *exchange) identify() error {
	if x.table.Workspaces == nil || x.route.Public {
		return nil
	}
	if err := x.g.unconfirmed(); err != nil {
		return err
	}
	w, key, err := x.table.Workspaces.Authenticate(x.call.Credentials)
	if err != nil {
		return err
	}
	x.workspace, x.key = w, key
	x.fields = append(x.fields, decisionlog.F("workspace", w.Name), decisionlog.F("key", key.Fingerprint()))
	return nil
}

// unconfirmed returns *ErrUnconfirmed if the last confirmation of the keys is too old.
func (g *Ingress) unconfirmed() error {
	limit := g.options.Revocation.After
	if limit <= 0 {
		return nil
	}
	if age := boottime.Since(g.options.Revocation.Confirmed()); age > limit {
		return &ErrUnconfirmed{Age: age, Limit: limit}
	}
	return nil
}

// reconfirm checks again, right before a request is sent to a runner, that it may run. While it
// waited, its key may have been revoked, the process may have been suspended or be about to end, or
// requests with the same content may have crashed their runners.
func (x *exchange) reconfirm() error {
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	if err := x.checkDrain(); err != nil {
		return err
	}
	if x.workspace == nil {
		return nil
	}
	if err := x.g.unconfirmed(); err != nil {
		return err
	}
	newest := x.g.table.Load()
	if newest.Workspaces == nil || newest.Workspaces.ByKey(x.key) != nil {
		return nil
	}
	return &workspace.ErrCredential{Why: workspace.Unknown, Fingerprint: x.key.Fingerprint()}
}

// order returns the parameters that all calls of the request share.
func (x *exchange) order() CallOptions {
	o := CallOptions{TimeLeft: x.timeLeft(), Priority: x.priority(), KeysRequired: x.table.Workspaces != nil}
	if x.workspace != nil {
		o.Workspace = x.workspace.Name
	}
	return o
}

// priority returns the priority of the request, 0 being the highest. The workspace's setting
// overrides the route's.
func (x *exchange) priority() int {
	if x.workspace != nil && x.workspace.Priority != nil {
		return *x.workspace.Priority
	}
	return x.route.Priority
}

// notAllowed reports whether an attempt ended because the request may no longer be served.
func notAllowed(err error) bool {
	var credential *workspace.ErrCredential
	var unconfirmed *ErrUnconfirmed
	var notReady *ErrNotReady
	_, quarantined := quarantineLeft(err)
	return quarantined || errors.As(err, &notReady) || errors.As(err, &credential) || errors.As(err, &unconfirmed)
}
