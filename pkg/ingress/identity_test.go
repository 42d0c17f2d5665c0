package ingress

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/boottime"
	"github.com/hopwell/hopwell/pkg/routetable"
	"github.com/hopwell/hopwell/pkg/workspace"
)

// tableWithKeys returns a route table of the given version, with keys that belong to workspace "w".
func tableWithKeys(t *testing.T, version uint64, keys ...string) *routetable.Table {
	t.Helper()
	w := workspace.Workspace{Name: "w", Limit: workspace.Limit{Unit: workspace.Requests}}
	for _, k := range keys {
		w.Keys = append(w.Keys, workspace.DigestOf(k))
	}
	services := map[string]routetable.Service{"s": {Name: "s"}}
	target := []routetable.Target{{Service: "s", Weight: 1}}
	table, err := routetable.New(routetable.Config{Version: version, Services: services, Workspaces: []workspace.Workspace{w}, Routes: []routetable.Route{
		{Name: "closed", PathPrefix: "/closed/", Kind: routetable.Safe, Targets: target},
		{Name: "open", PathPrefix: "/open/", Kind: routetable.Safe, Targets: target, Public: true},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// newExchange returns a request to a path with the given values of the Authorization header.
func newExchange(g *Ingress, path string, credentials ...string) *exchange {
	table := g.Table()
	return &exchange{g: g, arrived: time.Now(), table: table, route: table.Match("", path), call: &Call{Credentials: credentials}}
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	g := NewWithT(t)
	in := New(Options{})
	in.SetTable(tableWithKeys(t, 1, "k"))
	g.Expect(newExchange(in, "/open/").identify()).To(Succeed())
	var bad *workspace.ErrCredential
	g.Expect(errors.As(newExchange(in, "/closed/").identify(), &bad)).To(BeTrue())
	x := newExchange(in, "/closed/", "Bearer k")
	g.Expect(x.identify()).To(Succeed())
	x.ctx = t.Context()
	g.Expect(x.order().Workspace).To(Equal("w"))
	g.Expect(x.order().KeysRequired).To(BeTrue())
}

func TestWorkspacePriorityOverridesRoutePriority(t *testing.T) {
	g := NewWithT(t)
	in := New(Options{})
	in.SetTable(tableWithKeys(t, 1, "k"))
	x := newExchange(in, "/closed/", "Bearer k")
	x.ctx, x.route.Priority = t.Context(), 3
	g.Expect(x.identify()).To(Succeed())
	g.Expect(x.order().Priority).To(Equal(3))
	seven := 7
	x.workspace.Priority = &seven
	g.Expect(x.order().Priority).To(Equal(7))
}

// A key that is revoked while its request waits is refused before the request is sent.
func TestKeyRevokedWhileWaitingIsRefused(t *testing.T) {
	g := NewWithT(t)
	in := New(Options{})
	in.SetTable(tableWithKeys(t, 1, "k"))
	x := newExchange(in, "/closed/", "Bearer k")
	g.Expect(x.identify()).To(Succeed())
	g.Expect(x.reconfirm()).To(Succeed())
	in.SetTable(tableWithKeys(t, 2, "another"))
	g.Expect(notAllowed(x.reconfirm())).To(BeTrue())
}

// Guards against accepting, after a suspension of the machine, keys that were revoked meanwhile:
// the monotonic clock stops during a suspension, so the last confirmation would look recent.
func TestKeysAreUnconfirmedAfterSuspension(t *testing.T) {
	g := NewWithT(t)
	confirmed := boottime.Now()
	in := New(Options{Revocation: Revocation{After: time.Second, Confirmed: func() time.Time { return confirmed }}})
	in.SetTable(tableWithKeys(t, 1, "k"))
	x := newExchange(in, "/closed/", "Bearer k")
	g.Expect(x.identify()).To(Succeed())
	t.Cleanup(boottime.SuspendForTest(5 * time.Second))
	var old *ErrUnconfirmed
	g.Expect(errors.As(x.reconfirm(), &old)).To(BeTrue())
	g.Expect(errors.As(newExchange(in, "/closed/", "Bearer k").identify(), &old)).To(BeTrue())
}

// If Revocation.After is set and the configuration is no longer confirmed, all keys are refused,
// also unknown ones, but never as invalid.
func TestUnconfirmedKeysAreNotReportedInvalid(t *testing.T) {
	g := NewWithT(t)
	confirmed := time.Now()
	in := New(Options{Revocation: Revocation{After: time.Second, Confirmed: func() time.Time { return confirmed }}})
	in.SetTable(tableWithKeys(t, 1, "k"))
	x := newExchange(in, "/closed/", "Bearer k")
	g.Expect(x.identify()).To(Succeed())
	confirmed = time.Now().Add(-2 * time.Second)
	var old *ErrUnconfirmed
	g.Expect(errors.As(x.reconfirm(), &old)).To(BeTrue(), "the confirmation became too old while the request waited")
	for _, credential := range []string{"Bearer k", "Bearer unknown", ""} {
		g.Expect(errors.As(newExchange(in, "/closed/", credential).identify(), &old)).To(BeTrue(), credential)
	}
	g.Expect(newExchange(in, "/open/").identify()).To(Succeed())
	open := New(Options{})
	open.SetTable(tableWithKeys(t, 1, "k"))
	g.Expect(newExchange(open, "/closed/", "Bearer k").identify()).To(Succeed(), "Revocation.After is not set")
}
