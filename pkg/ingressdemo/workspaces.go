package ingressdemo

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/hopwell/hopwell/pkg/quota"
	"github.com/hopwell/hopwell/platform/standin"
)

// demoWorkspace is a workspace of the demo with its part of the requests.
type demoWorkspace struct {
	name string
	part float64
	// limit is the tokens a second that it may use, with as many at once.
	limit float64
}

// demoWorkspaces are the demo's workspaces. The last sends more than twice what it may: at 12 requests
// a second, of which 0.6 have some 2,400 tokens, half of them are 8,600 tokens a second.
var demoWorkspaces = []demoWorkspace{{"counter", 0.3, 60000}, {"phone-desk", 0.2, 60000}, {"night-batch", 0.5, 4000}}

// plainTokens is what a lookup counts.
const plainTokens = 50

// key returns a workspace's key.
func (t *demoWorkspace) key() string { return "demo-key-" + t.name }

// workspaces returns the stand-ins' configuration of the workspaces.
func workspaces() []standin.Workspace {
	var out []standin.Workspace
	for _, t := range demoWorkspaces {
		out = append(out, standin.Workspace{Name: t.name, Keys: []string{t.key()}, Rate: t.limit, Burst: t.limit, PlainTokens: plainTokens})
	}
	return out
}

// pickWorkspace draws whose request the next one is.
func pickWorkspace(random *rand.Rand) *demoWorkspace {
	draw := random.Float64()
	for i := range demoWorkspaces {
		if draw -= demoWorkspaces[i].part; draw < 0 {
			return &demoWorkspaces[i]
		}
	}
	return &demoWorkspaces[len(demoWorkspaces)-1]
}

// authorize shows the key of the user's workspace.
func (u *user) authorize(r *http.Request) {
	if u.workspace != nil {
		r.Header.Set("Authorization", "Bearer "+u.workspace.key())
	}
}

// writeWorkspaces writes what the workspaces use: spent by all gateways, left as one of them
// counts it.
func (d *Demo) writeWorkspaces(w io.Writer) {
	if !d.options.Workspaces {
		return
	}
	spent, left := map[string]int64{}, map[string]quota.Status{}
	d.mu.Lock()
	for _, g := range d.gateways {
		if g == nil {
			continue
		}
		for _, s := range g.Ingress.Usage(len(demoWorkspaces)) {
			spent[s.Workspace] += s.Spent
			left[s.Workspace] = s
		}
	}
	d.mu.Unlock()
	fmt.Fprintln(w, "WORKSPACE\tLIMIT A SECOND\tSPENT\tLEFT\t")
	for _, t := range demoWorkspaces {
		s := left[t.name]
		fmt.Fprintf(w, "%s\t%.0f\t%d\t%.0f of %.0f\t\n", t.name, t.limit, spent[t.name], s.Level, s.Size)
	}
	fmt.Fprintln(w)
}
