package ingress

import (
	"errors"
	"fmt"
	"time"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/quarantine"
	"github.com/hopwell/hopwell/pkg/workspace"
)

// Revocation says how keys that were taken away are kept out.
type Revocation struct {
	// After is how long ago the store may have been known to hold nothing newer before
	// requests with a key are refused; 0 for any time.
	After time.Duration
	// Confirmed returns when, by boottime, the store was asked last of which it is known that
	// it held nothing newer then; zero for never.
	Confirmed func() time.Time
}

// ErrUnconfirmed reports that a request was refused since its key may have been taken away
// without this gateway knowing.
type ErrUnconfirmed struct {
	// Age is how old the knowledge is, Limit how old it may be.
	Age, Limit time.Duration
}

// Error implements error.
func (e *ErrUnconfirmed) Error() string {
	return fmt.Sprintf("keys not confirmed: age=%s limit=%s", e.Age, e.Limit)
}

// unconfirmedRetryAfter is when a client may come back whose key can't be confirmed: the balancer
// has moved it to another gateway by then if just this one is cut off (two questions, one a
// second), and a short outage of the store is over.
const unconfirmedRetryAfter = 2 * time.Second

// identify finds the workspace that a request is for, where requests must prove it. It fails
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

// unconfirmed returns *ErrUnconfirmed if keys can't be relied on now.
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

// reconfirm checks once more that a request may run before it is sent to a runner: while it
// waited its key may have been taken away, the process may have stood still, or others like it
// may have crashed their runners.
func (x *exchange) reconfirm() error {
	if err := x.checkQuarantine(); err != nil {
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

// order returns what every send of the request has in common.
func (x *exchange) order() Order {
	o := Order{Left: x.timeLeft(), Priority: x.priority(), Keyed: x.table.Workspaces != nil}
	if x.workspace != nil {
		o.Workspace = x.workspace.Name
	}
	return o
}

// priority returns how urgent the request is, 0 most: its workspace's word goes before its
// route's.
func (x *exchange) priority() int {
	if x.workspace != nil && x.workspace.Priority != nil {
		return *x.workspace.Priority
	}
	return x.route.Priority
}

// notAllowed reports whether a try ended since the request may not be served any more.
func notAllowed(err error) bool {
	var credential *workspace.ErrCredential
	var unconfirmed *ErrUnconfirmed
	var held *quarantine.ErrQuarantined
	return errors.As(err, &credential) || errors.As(err, &unconfirmed) || errors.As(err, &held)
}
